"""Answers to users that several kinds of requests share."""

from quinceslip.coordination.actor.context import Context


def reply_unavailable(ctx: Context, request: int) -> None:
    """Answer that nothing can be decided yet; the user may ask again."""
    ctx.reply(request, 503, {"error": "cannot decide yet"}, **{"Retry-After": "1"})


def reply_error(ctx: Context, request: int, status: int, error: str) -> None:
    """Answer with an error that a user can read."""
    ctx.reply(request, status, {"error": error})
