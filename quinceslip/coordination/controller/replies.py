"""Replies to users that several kinds of requests share."""

from quinceslip.coordination.actor.context import Context


def reply_unavailable(ctx: Context, request: int) -> None:
    """Answer that the request cannot be decided yet and may be retried."""
    ctx.reply(request, 503, {"error": "cannot decide yet"}, **{"Retry-After": "1"})


def reply_error(ctx: Context, request: int, status: int, error: str) -> None:
    """Answer with an error message for the user."""
    ctx.reply(request, status, {"error": error})
