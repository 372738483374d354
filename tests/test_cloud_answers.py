"""Answers of the cloud with entries that can't be used: each costs only itself."""

from typing import Any

import msgspec
import pytest

from quinceslip.protocol import messages as m
from tests.scenario.runner import Runner
from tests.scenario.tools import collected_errors

TYPE = {"label": "m", "vcpus": 16, "gpus": 0, "memGb": 64, "price": 1, "startupS": 10, "yards": ["a"]}


@pytest.mark.parametrize(
    ("entry", "reason"),
    [
        (5, "object"),
        ({"label": "x"}, "vcpus"),
        (TYPE | {"label": "x", "startupS": 1.7e308}, "x: startupS = 1.7e+308"),
        (TYPE | {"label": "x", "vcpus": -1, "price": 1e300}, "x: vcpus = -1, price = 1e+300"),
    ],
)
def test_unusable_machine_type_costs_no_other(entry: Any, reason: str) -> None:
    # Guards against: one machine type that can't be used leaves the controllers without any, and all users with 503.
    read = m.read_machine_types(msgspec.json.encode({"builds": [entry, TYPE]}))
    assert [machine_type.label for machine_type in read.types] == ["m"]
    assert len(read.unusable) == 1
    assert reason in read.unusable[0]


def test_machine_of_which_only_the_name_is_readable_stays_listed() -> None:
    # Guards against: one malformed entry hides all machines, or its absence proves that its machine is gone.
    good = {"uid": "n-1", "status": "running", "ageS": 5.0}
    bad = {"uid": "n-2", "status": 7, "ageS": "old"}
    page = m.read_machine_listing(msgspec.json.encode({"berths": [good, bad], "hasNext": True}))
    assert page.more
    assert [(machine.machine, machine.status) for machine in page.machines] == [
        ("n-1", "running"),
        ("n-2", m.HOST_UNREADABLE),
    ]
    with pytest.raises(msgspec.DecodeError):
        m.read_machine_listing(msgspec.json.encode({"berths": [good, {"status": "running"}]}))


def test_unusable_types_and_machines_of_the_cloud_end_no_work() -> None:
    # Guards against: extreme amounts of a machine type end the periodic work, or a job gets a final 422 for lack of it.
    runner, errors = Runner(), list[str]()
    with collected_errors(errors):
        for line in ("site size=1", "machines 1 m a", "run 0.001"):
            runner.execute_line(line)
        world = runner.w()
        world.types["huge"] = world.types["m"] | {"label": "huge", "vcpus": 1.7e308, "startupS": 1.7e308}
        world.types["tiny"] = world.types["m"] | {"label": "tiny", "vcpus": 0, "price": 1e9, "lowPrice": 5e-324}
        world.cloud.machines["n-900000"] = {"uid": "n-900000", "status": None, "born": 0}
        for line in (
            "at 2 submit req-000001 tasks=40 run=4",
            "at 2 submit req-000002 service tasks=2 cpus=0 memory=0 rank=production",
            "at 2 submit req-000003 cpus=5000",
            "run 60",
            "expect done req-000001",
            "expect running req-000002 2",
            "expect http_status req-000003 503",
        ):
            runner.execute_line(line)
    assert 422 not in runner.statuses["req-000003"]
    assert all("unusable machine types: huge" in error for error in errors), errors


def test_listed_machine_that_cannot_be_adopted_keeps_no_other_from_it() -> None:
    # Guards against: the search for machines to adopt tries the first again and again, though it can't be adopted.
    runner, errors = Runner(), list[str]()
    with collected_errors(errors):
        for line in ("site size=1", "machines 1 m a", "run 1"):
            runner.execute_line(line)
        world = runner.w()
        for name in ("a name with spaces", "n-900000"):
            host = {"endpoint": "10.1.9.9:9000", "build": "m", "yard": "a", "loaners": False, "born": 0}
            world.cloud.machines[name] = {**host, "uid": name, "status": "running"}
        runner.execute_line("run 60")
    assert world.store.change_requests["q/roster/n-900000"] >= 1
    assert all("rejected 1 changes" in error for error in errors), errors
