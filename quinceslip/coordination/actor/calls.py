"""Outgoing calls and their pending results, and replies to requests."""

from collections.abc import Callable
from typing import Any

from quinceslip.coordination.actor.effects import Call, CallResult, Effect, Reply, Urgency

#: called with the status (an HTTP status or a `CallOutcome`) and the body of the response
CallCallback = Callable[[int, bytes], None]


class CallSender:
    """Collects the effects of the current message, and keeps the callbacks of pending calls."""

    def __init__(self, now_us: int, timeout_us: int) -> None:
        #: the monotonic clock at the current message
        self.now_us = now_us
        #: default timeout of a call
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
        """Send a request; `on_result` is called once, when its `CallResult` message arrives."""
        self._last_call_id += 1
        self._pending_calls[self._last_call_id] = on_result
        self.effects.append(
            Call(target, self._last_call_id, method, path, body, timeout_us or self.timeout_us, writes, urgency)
        )

    def handle_result(self, result: CallResult) -> None:
        """Run the callback of the call; a second result for the same call is ignored."""
        on_result = self._pending_calls.pop(result.id, None)
        if on_result is not None:
            on_result(result.status, result.body)

    def reply(self, request: int, status: int, body: Any = None, **headers: str) -> None:
        """Answer a request."""
        self.effects.append(Reply(request, status, body, headers))
