"""Runs every file in scenarios/ as a test."""

from pathlib import Path

import pytest

from tests.scenario.runner import FOLDER, run_scenario


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.txt")), ids=lambda p: p.stem)
def test_scenario(path: Path) -> None:
    run_scenario(path.read_text(encoding="utf-8"))


def test_scenario_files_are_found() -> None:
    assert len(list(FOLDER.glob("*.txt"))) >= 20
