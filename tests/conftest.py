"""Pytest hooks: mark the tests that are known to fail as expected failures, and print them."""

import pytest

from tests.known_red import KnownRed, known_red


def _known_red_by_node_id() -> dict[str, KnownRed]:
    try:
        return {entry.node_id: entry for entry in known_red()}
    except ValueError as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from error


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect an assertion error of each known test. One that passes fails the run, unless it is intermittent."""
    known = _known_red_by_node_id()
    for item in items:
        entry = known.get(item.nodeid)
        if entry is not None:
            reason = f"{entry.cause}; issue {entry.issue}"
            strict = not entry.is_intermittent
            item.add_marker(pytest.mark.xfail(strict=strict, raises=AssertionError, reason=reason))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list after every run, with the outcome of each intermittent test."""
    outcomes = {
        report.nodeid: outcome
        for category, outcome in (("xfailed", "failed"), ("xpassed", "passed"))
        for report in terminalreporter.getreports(category)
    }
    for entry in _known_red_by_node_id().values():
        outcome = f" ({outcomes.get(entry.node_id, 'not run')} this time)" if entry.is_intermittent else ""
        terminalreporter.write_line(
            f"known red{outcome}: {entry.node_id}: {entry.cause}; issue {entry.issue}; seen: {entry.seen}; "
            f"seed {entry.seed}: {entry.command}"
        )
