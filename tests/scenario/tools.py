"""What several lines of scenarios need: comparisons, time limits, errors in the log, loops without a bound."""

import ast
import logging
import operator
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

COMPARE = {"==": operator.eq, "<=": operator.le, ">=": operator.ge}


def unbounded(source: str) -> list[int]:
    """Lines of loops and recursions beside which no comment or docstring begins with `Bound:`."""
    lines, found = source.splitlines(), []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.While):
            first, last = max(0, node.lineno - 3), node.lineno
        elif isinstance(node, ast.FunctionDef) and any(
            isinstance(call, ast.Call) and (ast.unparse(call.func) in (node.name, f"self.{node.name}"))
            for call in ast.walk(node)
        ):
            first, last = node.lineno - 1, node.end_lineno or node.lineno
        else:
            continue
        if not any("Bound: " in line for line in lines[first:last]):
            found.append(node.lineno)
    return found


@contextmanager
def at_once(seconds: float) -> Iterator[None]:
    """What takes longer fails instead of hanging the suite: it has a bound in steps, of which this is no measure."""

    def time_over(*_: Any) -> None:
        raise AssertionError(f"no end within {seconds:g} s")

    before = signal.signal(signal.SIGALRM, time_over)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, before)


@contextmanager
def collected_errors(found: list[str]) -> Iterator[None]:
    """Collect the messages that the program logs as errors meanwhile."""

    class Collector(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            found.append(record.getMessage())

    collector, logger = Collector(logging.ERROR), logging.getLogger("quinceslip")
    logger.addHandler(collector)
    try:
        yield
    finally:
        logger.removeHandler(collector)
