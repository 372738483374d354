"""The thread that runs an actor: reads its inbox, sends it ticks and carries out its effects."""

import logging
import queue
import threading
from collections.abc import Callable
from typing import Any

from quinceslip.coordination.actor.effects import BatchEnd, Effect, MessageFailedError, Tick
from quinceslip.transport.clock import steady_us

log = logging.getLogger(__name__)

#: messages handled before a `BatchEnd` lets the actor act on what they changed
MAX_BATCH_MESSAGES = 32


class ActorThread:
    """Passes messages to `handle` one at a time, and the effects that it returns to `carry_out`.

    Adds a `Tick` every `tick_period_us`, and a `BatchEnd` when the inbox is empty or `MAX_BATCH_MESSAGES` were handled.
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
        # Only requests are limited (see `post`): the actor's own calls are bounded, and each yields only a few answers.
        self.inbox: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.messages_handled = 0  # while idle, one for each tick
        self.current_message_type = ""  # of the message being handled, else of the last one
        self.thread = threading.Thread(target=self._run, name="actor", daemon=True)
        self._next_tick_us = 0
        self._batch_messages = 0  # handled since the last `BatchEnd`

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def post(self, message: Any) -> bool:
        """Enqueue a request from outside; returns False, without enqueueing it, when the inbox is full."""
        if self.inbox.qsize() >= self.max_inbox:
            return False
        self.inbox.put(message)
        return True

    def post_always(self, message: Any) -> bool:
        """Enqueue an answer to one of the actor's own calls. The actor waits for it, so it is never refused."""
        self.inbox.put(message)
        return True

    def _run(self) -> None:
        self._next_tick_us = steady_us()
        # Bound: none, it runs as long as the actor; the watchdog checks its progress (`transport/watchdog.py`).
        while True:
            message = self._next_message()
            if message is not None:
                self._process(message)

    def _next_message(self) -> Any:
        """Return a tick that is due, the end of a batch, or the next message of the inbox; None if none arrived."""
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

    def _handle(self, message: Any) -> list[Effect]:
        """Return the effects of a message; of one that can't be handled, those up to its failure."""
        try:
            return self.handle(message, steady_us())
        except MessageFailedError as error:
            # A message that can't be handled must not end the service.
            log.exception("error while handling %s", type(message).__name__)
            return error.effects
        except Exception:
            log.exception("error while handling %s", type(message).__name__)
            return []

    def _process(self, message: Any) -> None:
        """Handle one message and carry out its effects; exceptions are logged, and the actor continues."""
        self._batch_messages = 0 if isinstance(message, BatchEnd) else self._batch_messages + 1
        self.messages_handled += 1
        self.current_message_type = type(message).__name__
        for effect in self._handle(message):
            try:
                self.carry_out(effect)
            except Exception:
                # If the actor's thread ended, the controller would look alive but do nothing.
                log.exception("error while carrying out %s", type(effect).__name__)
