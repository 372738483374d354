"""Helpers of scenario lines: comparisons, time limits, logged errors and unbounded loops."""

import ast
import logging
import operator
import signal
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from quinceslip.coordination.leadership.claims import TOKENS_PER_TERM
from tests.simulation.store import SimulatedStore

COMPARE = {"==": operator.eq, "<=": operator.le, ">=": operator.ge}


def undocumented_loops(source: str) -> list[int]:
    """Return the lines of loops and recursive functions that have no comment or docstring with `Bound: `."""
    lines, undocumented = source.splitlines(), []
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
            undocumented.append(node.lineno)
    return undocumented


@contextmanager
def time_limit(seconds: float) -> Iterator[None]:
    """Fail a test that takes longer, so that it cannot hang the suite. This does not measure the bound in steps."""

    def fail(*_: Any) -> None:
        raise AssertionError(f"not finished within {seconds:g} s")

    previous = signal.signal(signal.SIGALRM, fail)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous)


@contextmanager
def collected_errors(errors: list[str]) -> Iterator[None]:
    """Append the messages of logged errors to `errors` while the context is open."""

    class Collector(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            errors.append(record.getMessage())

    collector, logger = Collector(logging.ERROR), logging.getLogger("quinceslip")
    logger.addHandler(collector)
    try:
        yield
    finally:
        logger.removeHandler(collector)


def terms_given(store: SimulatedStore) -> int:
    """The number of terms that have been given to leaders; each takes `TOKENS_PER_TERM` numbers from the counter."""
    counter: int = store.data["q/term"].value["term"]
    return -(-counter // TOKENS_PER_TERM)
