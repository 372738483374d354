"""Calls to the outside world with their pending results, and replies to requests, while one message is handled."""

from collections.abc import Callable
from typing import Any

from quinceslip.coordination.actor.effects import Call, CallResult, Effect, Reply, Urgency

#: called with the status (HTTP, or a `CallOutcome`) and the body of the answer
CallCallback = Callable[[int, bytes], None]


class CallSender:
    """Collects the effects of the message that is being handled, and remembers who waits for the result of a call."""

    def __init__(self, now_us: int, timeout_us: int) -> None:
        #: the steady clock at the message that is being handled
        self.now_us = now_us
        #: the default timeout of a call
        self.timeout_us = timeout_us
        self.effects: list[Effect] = []
        self._pending_calls: dict[int, CallCallback] = {}
        self._last_call_id = 0

    def call(
        self,
        target: str,
        method: str,
        path: str,
        body: Any,
        on_result: CallCallback,
        timeout_us: int = 0,
        writes: int = 0,
        urgency: Urgency = Urgency.USER,
    ) -> None:
        """Send a request; `on_result` is called once, by the `CallResult` message that answers it."""
        self._last_call_id += 1
        self._pending_calls[self._last_call_id] = on_result
        self.effects.append(
            Call(target, self._last_call_id, method, path, body, timeout_us or self.timeout_us, writes, urgency)
        )

    def handle_result(self, result: CallResult) -> None:
        """Pass a result on to whoever waits for it; a second result for the same call is ignored."""
        on_result = self._pending_calls.pop(result.id, None)
        if on_result is not None:
            on_result(result.status, result.body)

    def reply(self, request: int, status: int, body: Any = None, **headers: str) -> None:
        """Answer a request."""
        self.effects.append(Reply(request, status, body, headers))
