"""The thread that runs an actor: its inbox, a regular tick, and the effects carried out."""

import logging
import queue
import threading
from collections.abc import Callable
from typing import Any

from quinceslip.coordination.actor.effects import BatchEnd, Effect, Tick
from quinceslip.transport.clock import steady_us

log = logging.getLogger(__name__)

#: so many messages are taken before the actor acts on what they changed
MAX_BATCH_MESSAGES = 32


class ActorThread:
    """Hands messages to `handle` one at a time, and the effects it returns to `carry_out`.

    A `Tick` comes every `tick_period_us`, a `BatchEnd` after the messages that were there.
    """

    def __init__(
        self,
        handle: Callable[[Any, int], list[Effect]],
        carry_out: Callable[[Effect], None],
        tick_period_us: int,
        max_inbox: int,
    ) -> None:
        self.handle = handle
        self.carry_out = carry_out
        self.tick_period_us = tick_period_us
        self.max_inbox = max_inbox
        # Answers are a few for each call, and calls are bounded; only requests can come without end.
        self.inbox: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.turns = 0  # messages taken; while idle, one for each tick
        self.current_message_type = ""  # type of the message that is handled, or was last
        self.thread = threading.Thread(target=self._run, name="actor", daemon=True)
        self._next_tick_us = 0
        self._batch_messages = 0  # taken since the last `BatchEnd`

    def start(self) -> None:
        """Begin to take messages."""
        self.thread.start()

    def post(self, message: Any) -> bool:
        """A request from outside: refused, with False, when the inbox is full."""
        if self.inbox.qsize() >= self.max_inbox:
            return False
        self.inbox.put(message)
        return True

    def post_always(self, message: Any) -> bool:
        """An answer to one of the actor's own calls: it waits for these, so they are never refused."""
        self.inbox.put(message)
        return True

    def _run(self) -> None:
        self._next_tick_us = steady_us()
        # Bound: none, it is the actor's life; whether it turns is watched (`transport/watchdog`).
        while True:
            message = self._next_message()
            if message is not None:
                self._take(message)

    def _next_message(self) -> Any:
        """The next message: a tick that is due, the end of a batch, or one from the inbox; None where none came."""
        now_us = steady_us()
        if now_us >= self._next_tick_us:
            self._next_tick_us = now_us + self.tick_period_us
            return Tick()
        if self._batch_messages >= MAX_BATCH_MESSAGES:
            return BatchEnd()
        try:
            return self.inbox.get(block=not self._batch_messages, timeout=(self._next_tick_us - now_us) / 1e6)
        except queue.Empty:
            return BatchEnd() if self._batch_messages else None

    def _take(self, message: Any) -> None:
        """Handle one message and carry out its effects; what fails is logged, and the actor goes on."""
        self._batch_messages = 0 if isinstance(message, BatchEnd) else self._batch_messages + 1
        self.messages_handled += 1
        self.current_message_type = type(message).__name__
        try:
            effects = self.handle(message, steady_us())
        except Exception:
            # One bad message must not end the service; what it was is in the log.
            log.exception("while handling %s", type(message).__name__)
            return
        for effect in effects:
            try:
                self.carry_out(effect)
            except Exception:
                # An actor's thread that has ended is a controller that does nothing and looks alive.
                log.exception("while carrying out %s", type(effect).__name__)
