"""The thread that runs an actor: an inbox, a beat, and the effects carried out."""

import logging
import queue
import threading
from collections.abc import Callable
from typing import Any

from quinceslip.coordination.actor.effects import BatchEnd, Effect, Tick
from quinceslip.transport.clock import steady_us

log = logging.getLogger(__name__)

#: so many messages are taken before the actor acts on what they changed
BATCH = 32


class ActorThread:
    """Hands messages to `handle` one at a time, and the effects it returns to `carry_out`; a `Tick` every `beat_us`."""

    def __init__(
        self,
        handle: Callable[[Any, int], list[Effect]],
        carry_out: Callable[[Effect], None],
        beat_us: int,
        max_inbox: int,
    ) -> None:
        self.handle = handle
        self.carry_out = carry_out
        self.beat_us = beat_us
        self.max_inbox = max_inbox
        # Answers are a few for each call, and calls are bounded; only requests can come without end.
        self.inbox: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.turns = 0  # messages taken; while idle, one for each beat
        self.doing = ""
        self.thread = threading.Thread(target=self._run, name="actor", daemon=True)

    def start(self) -> None:
        """Begin to take messages."""
        self.thread.start()

    def post(self, message: Any) -> bool:
        """Requests from outside: refused when the inbox is full."""
        if self.inbox.qsize() >= self.max_inbox:
            return False
        self.inbox.put(message)
        return True

    def post_sure(self, message: Any) -> bool:
        """Answers to the actor's own calls: it waits for these, so they are never refused."""
        self.inbox.put(message)
        return True

    def _run(self) -> None:
        next_us = steady_us()
        taken = 0
        # Bound: none, it is the actor's life; whether it turns is watched (`transport/watchdog`).
        while True:
            now_us = steady_us()
            message: Any
            if now_us >= next_us:
                next_us = now_us + self.beat_us
                message = Tick()
            elif taken >= BATCH:
                message = BatchEnd()
            else:
                try:
                    message = self.inbox.get(block=not taken, timeout=(next_us - now_us) / 1e6)
                except queue.Empty:
                    if not taken:
                        continue
                    message = BatchEnd()
            taken = 0 if isinstance(message, BatchEnd) else taken + 1
            self.turns += 1
            self.doing = type(message).__name__
            try:
                effects = self.handle(message, steady_us())
            except Exception:
                # One bad message must not end the service; what it was is in the log.
                log.exception("while handling %s", type(message).__name__)
                continue
            for effect in effects:
                try:
                    self.carry_out(effect)
                except Exception:
                    # An actor's thread that has ended is a controller that does nothing and looks alive.
                    log.exception("while carrying out %s", type(effect).__name__)
