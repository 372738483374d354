"""Settings with amounts at the ends of their range: a controller starts, or one line names the field."""

import configparser
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from quinceslip.coordination.actor.effects import StoreListing, Tick
from quinceslip.coordination.controller.controller import Controller
from quinceslip.protocol.settings import SettingsError, Team, Tuning, load_settings, load_tuning
from quinceslip.quota.amounts import UNLIMITED
from quinceslip.quota.level_reader import platform_cap
from quinceslip.subsystems import subsystem_factories
from quinceslip.transport import capacity
from tests.inputs import settings_text

FILE_END = """
[facts.limits]
cpu_share = 1.0
memory_mb = 256.0
[facts.state.next]
rps = 100.0
write_rps = 15.0
value_kb = 8.0
[[facts.objectives]]
kind = "deadline"
class = "batch"
within_s = 60.0
share = 0.5
times = 2.0
"""
TEAM = 'name = "team"\ncpus = 1.0\ncpus_max = 2.0\ngpus = 1.0\ngpus_max = 2.0'
SETTINGS = settings_text().replace('name = "team"', TEAM) + FILE_END
EXTREMES = ["inf", "1.7976931348623157e308", "5e-324"]


def amount_lines(text: str) -> Iterator[str]:
    """Yield the lines that set an amount."""
    for line in text.splitlines():
        name, separator, value = line.partition(" = ")
        if separator and name and value.replace(".", "").isdigit() and "." in value:
            yield line


def start(settings_path: Path, tuning: Tuning) -> None:
    """Start a controller and let some time pass, without its sockets."""
    settings = load_settings(settings_path)
    factories = subsystem_factories(settings, configparser.ConfigParser(interpolation=None))
    controller = Controller(settings, tuning, 0, 0, factories)
    assert capacity.request_threads(settings.facts.limits) > 0
    assert capacity.max_api_connections(settings.facts.limits) > 0
    controller.handle(StoreListing([], 1, 0, 1), 1)
    for now_us in range(0, 60_000_000, 1_000_000):
        controller.handle(Tick(), now_us)


@pytest.mark.parametrize("value", EXTREMES)
@pytest.mark.parametrize("line", sorted(set(amount_lines(SETTINGS))))
def test_extreme_amount_of_the_platform(
    line: str, value: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against: an amount such as `inf` for "no limit" ends the start of a controller with a stack.
    path = tmp_path / "service.toml"
    name = line.partition(" = ")[0]
    path.write_text(SETTINGS.replace(line, f"{name} = {value}"))
    try:
        start(path, Tuning())
    except SettingsError as error:
        assert name.removesuffix("_max") in str(error)  # a limit below the guarantee is an error of the guarantee
    assert not caplog.records


@pytest.mark.parametrize("value", EXTREMES)
@pytest.mark.parametrize(
    "field", [f for f in msgspec.structs.fields(Tuning) if f.type is not bool], ids=lambda f: f.name
)
def test_extreme_amount_of_the_operators(
    field: Any, value: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against: an amount of the operators' file that the clock can't represent ends the start with a stack.
    path, operators = tmp_path / "service.toml", tmp_path / "operators.ini"
    path.write_text(SETTINGS)
    operators.write_text(f"[quinceslip]\n{field.name} = {value}\n")
    try:
        start(path, load_tuning(operators))
    except SettingsError as error:
        assert field.name in str(error)
    assert not caplog.records


def test_tiny_limit_of_a_team_is_no_unlimited_one() -> None:
    # Guards against: a limit that is rounded to 0, which means unlimited.
    assert platform_cap(Team("team", cpus_max=0.0004))[0] == 1
    assert platform_cap(Team("team"))[0] == UNLIMITED
