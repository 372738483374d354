"""Every file in scenarios/ is a test."""

from pathlib import Path

import pytest

from tests.scenario.runner import FOLDER, run_scenario


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.txt")), ids=lambda p: p.stem)
def test_scenario(path: Path) -> None:
    run_scenario(path.read_text(encoding="utf-8"))


def test_there_are_scenarios() -> None:
    assert len(list(FOLDER.glob("*.txt"))) >= 20
