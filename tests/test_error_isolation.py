"""An error that one job, record or request causes costs only itself."""

from typing import Any

import msgspec
import pytest

from quinceslip.coordination.actor.compare_and_swap import StoreWriter
from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import Call, CallResult, Effect, MessageFailedError, Reply, Tick, UserRequest
from quinceslip.coordination.controller.controller import Controller
from quinceslip.coordination.controller.read_barrier import CompletedRead, PendingRequest, ReadBarrier
from quinceslip.coordination.jobs.urgency import EffectiveUrgency, UrgencyCalculator
from quinceslip.protocol import messages as m
from quinceslip.protocol.messages import Event, Item
from quinceslip.protocol.settings import StateFacts, Tuning
from quinceslip.storage.cache import StoreCache
from quinceslip.storage.records import JobRecord, MachineRecord
from quinceslip.transport.actor import ActorThread
from tests.scenario.runner import Runner, run_scenario
from tests.simulation.inputs import settings_of

#: the job whose handling raises
FAULTY = "req-000009"

ALL_CONTROLLERS_END = f"""
errors not loaded
errors not applied
machines 3 m a
at 2 submit req-000001 service tasks=2 rank=production
at 3 submit {FAULTY} tasks=2 run=8 via=berth-0
at 4 submit req-000002 tasks=2 run=30 via=berth-0
at 8 crash berth-0 berth-1 berth-2 restart_after=6
at 17 submit req-000003 tasks=2 run=4 via=berth-0
at 17 submit req-000004 tasks=2 run=4 via=berth-1
run 90
expect done req-000002 req-000003 req-000004
expect running req-000001 2
"""


def test_inherited_job_that_raises_costs_only_itself(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: one inherited job ends the construction of its shard, whose leader then answers no worker.
    calculate = UrgencyCalculator.calculate

    def raise_for_faulty(self: UrgencyCalculator, job_id: str, job: JobRecord, spec: m.JobSpec) -> EffectiveUrgency:
        if job_id == FAULTY:
            raise ValueError(job_id)
        return calculate(self, job_id, job, spec)

    monkeypatch.setattr(UrgencyCalculator, "calculate", raise_for_faulty)
    run_scenario(ALL_CONTROLLERS_END)


def test_dependency_that_raises_costs_only_itself(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: one job ends the listing of dependencies, and those after it start before the jobs they wait for.
    def raise_for_faulty(self: Context, spec: m.JobSpec) -> int:
        if spec.job_id == FAULTY:
            raise ValueError(spec.job_id)
        return 1

    monkeypatch.setattr(Context, "expected_duration_us", raise_for_faulty)
    run_scenario(
        f"""
        errors not applied
        machines 3 m a
        at 2 submit req-000001 tasks=2 run=20
        at 3 submit {FAULTY} tasks=2 run=2 after=req-000001
        at 4 submit req-000010 tasks=2 run=2 after=req-000001
        at 5 submit req-000011 tasks=2 run=2 after=req-000010
        at 8 crash berth-0 berth-1 berth-2 restart_after=6
        run 90
        expect done req-000001 req-000010 req-000011
        """
    )


def test_request_that_raises_costs_none_that_share_its_read() -> None:
    # Guards against: the error of one poll leaves all polls that wait for the same read without an answer.
    controller = Controller(settings_of({**Runner().facts, "size": 1}), Tuning(), 0, 0)
    controller.ctx.cache.apply_listing([], 1, 1)
    barrier, continued = ReadBarrier(controller.ctx), list[int]()

    def raise_error() -> None:
        raise ValueError

    pending = [PendingRequest(1, 0, raise_error), PendingRequest(2, 0, lambda: continued.append(2))]
    barrier.awaiting_cache.append(CompletedRead(1, pending))
    barrier.cache_advanced()
    assert continued == [2]
    assert not barrier.awaiting_cache


def test_effects_before_an_error_are_carried_out() -> None:
    # Guards against: a call that a component waits for is never sent, since its message failed afterwards.
    carried_out: list[Effect] = []

    def handle(message: Any, now_us: int) -> list[Effect]:
        raise MessageFailedError([Reply(1, 200)])

    ActorThread(handle, carried_out.append, 10_000, 10)._process(Tick())
    assert carried_out == [Reply(1, 200)]


def test_failed_message_has_the_effects_up_to_its_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: a controller that loses the calls it has noted when the same message raises later.
    controller = Controller(settings_of({**Runner().facts, "size": 1}), Tuning(), 0, 0)

    def reply_and_raise(request: UserRequest) -> None:
        controller.ctx.reply(request.request, 200)
        raise ValueError(request.verb)

    monkeypatch.setitem(controller._message_handlers, UserRequest, reply_and_raise)
    with pytest.raises(MessageFailedError) as caught:
        controller.handle(UserRequest(7, "ready"), 1)
    assert caught.value.effects == [Reply(7, 200)]


def test_changes_of_a_write_are_reported_although_its_callback_raises() -> None:
    # Guards against: a record that is in the cache but was never handled, as no later message reports it again.
    facts = StateFacts(rps=1.0, write_rps=1.0, value_kb=16.0, txn_ops=16)
    reported: list[str] = []

    def callback(status: int, failed: list[str]) -> None:
        raise ValueError(status)

    writer = StoreWriter(0, 1_000_000, facts)
    writer.on_records_changed = reported.extend
    writer.compare_and_swap({}, {"q/job/req-1": (JobRecord("queued", 1), None)}, [], callback)
    (call,) = writer.effects
    assert isinstance(call, Call)
    with pytest.raises(ValueError, match="200"):
        writer.handle_result(CallResult(call.id, 200, b'{"ledger":5}'))
    assert reported == ["q/job/req-1"]


def item(key: str, value: object, mod_revision: int) -> Item:
    return Item(f"q/{key}", msgspec.Raw(msgspec.json.encode(value)), mod_revision)


def test_undecodable_record_costs_no_other_of_its_listing() -> None:
    # Guards against: one record of another version ends the listing for all.
    cache = StoreCache()
    good = JobRecord("done", 1, done=1)
    assert cache.apply_listing([item("job/req-1", 5, 1), item("job/req-2", good, 2)], 2, 2) == [
        "q/job/req-1",
        "q/job/req-2",
    ]
    assert cache.synced
    assert cache.is_undecodable_job("req-1")
    assert cache.job("req-2") == good
    assert cache.mod_revision("q/job/req-1") == 0  # a write that replaces it fails on its condition
    event = Event(3, "q/job/req-1", None, msgspec.Raw(msgspec.json.encode(good)))
    assert cache.apply_changes([event], 3) == ["q/job/req-1"]
    assert not cache.is_undecodable_job("req-1")


def test_no_decision_without_a_machine_record_that_cannot_be_decoded() -> None:
    # Guards against: tasks of a machine whose record can't be read are started elsewhere, or its batch is lost.
    cache = StoreCache()
    machine = MachineRecord(0, "m", "a", False)
    cache.apply_listing([item("roster/n-1", machine, 1)], 1, 1)
    bad = Event(2, "q/roster/n-1", None, msgspec.Raw(b'{"shard":"x"}'))
    job = Event(2, "q/job/req-1", None, msgspec.Raw(msgspec.json.encode(JobRecord("done", 1))))
    assert cache.apply_changes([bad, job], 2) == ["q/job/req-1"]
    assert not cache.synced
    assert cache.by_kind["roster"]["n-1"] == machine
    assert cache.mod_revision("q/roster/n-1") == 1
    cache.apply_changes([Event(3, None, "q/roster/n-1")], 3)
    assert cache.synced
