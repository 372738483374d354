"""Runs independent pieces of work one by one, so that a piece that raises costs only itself."""

import logging
from collections.abc import Callable

log = logging.getLogger(__name__)


def run_isolated(work: Callable[[], object], message: str, *arguments: object) -> bool:
    """Run one piece of work; returns False, after logging the error with this %-style message, if it raised."""
    try:
        work()
    except Exception:
        log.exception(message, *arguments)
        return False
    return True
