"""Delivery tracking against a model that knows which answers arrived; and which heartbeats are answered."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from quinceslip.coordination.shard_state.delivery import MAX_UNACKNOWLEDGED_ANSWERS, DeliveryTracker
from quinceslip.protocol import messages as m
from quinceslip.storage import records
from tests.scenario.runner import Runner


def heartbeat(epoch: int, seq: int, fencing_token: int, launches: set[str]) -> m.WorkerHeartbeat:
    return m.WorkerHeartbeat(
        "w",
        "10.0.0.1:1",
        "t",
        "z",
        epoch,
        seq,
        fencing_token,
        tasks=[m.TaskStatus(name, 1, m.RUNNING) for name in sorted(launches)],
    )


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 2), st.booleans(), st.booleans()), max_size=40))
@settings(deadline=None, database=None, derandomize=True)
def test_answer_is_acknowledged_only_if_it_arrived(steps: list[tuple[bool, int, bool, bool]]) -> None:
    """Guards against taking an answer for delivered when it was lost.

    Each step: whether the answer arrives, its number of launches, whether the term rises, and whether the session
    ends first.
    """
    delivery, fencing_token, term, epoch, running = DeliveryTracker(), 0, 1, 1, set[str]()
    # Since the last acknowledgement; and how many in a row, of those that must be acknowledged.
    answer_arrived, lost_answers = False, 0
    for number, (arrives, launches, term_rises, session_ends) in enumerate(steps):
        if session_ends:
            epoch, running = epoch + 1, set()
        report = heartbeat(epoch, number + 1, fencing_token, running)
        if delivery.heartbeat_received(report):
            assert answer_arrived
            answer_arrived = False
        assert (delivery.unacknowledged_answers >= MAX_UNACKNOWLEDGED_ANSWERS) <= (
            lost_answers >= MAX_UNACKNOWLEDGED_ANSWERS
        )
        term += term_rises
        orders = [m.launch(f"{number}/{i}", 1) for i in range(launches)]
        must_be_acknowledged = bool(orders) or term > fencing_token
        delivery.answer_sent(report, term, orders)
        if arrives:
            fencing_token, answer_arrived, lost_answers = term, True, 0 if must_be_acknowledged else lost_answers
            running |= {command.task for command in orders}
        elif must_be_acknowledged:
            lost_answers += 1
    if all(arrives and not session_ends for arrives, _, _, session_ends in steps):
        assert not delivery.suspect


def test_heartbeat_counts_once_and_overtaken_one_is_answered() -> None:
    """A direct reply overtakes a heartbeat whose sender still waits for its answer.

    The answer renews the worker's lease, so the controller must record that renewal too.
    """
    runner = Runner()
    for line in ("site size=1", "machines 1 m a", "at 2 submit req-000001 tasks=2 run=30", "run 6"):
        runner.execute_line(line)
    node = runner.w().controllers["berth-0"].actor
    assert node is not None
    shard = node.shards[0]
    worker = next(iter(shard.workers.values()))
    last = msgspec.convert(runner.w().workers[worker.name].heartbeat(), m.WorkerHeartbeat)
    later = msgspec.structs.replace(last, seq=last.seq + 2)
    overtaken = msgspec.structs.replace(last, seq=last.seq + 1)
    node.ctx.now_us += 1_000_000
    assert shard.receive_heartbeat(later, True) is None and worker.lease_renewed_us < node.ctx.now_us
    assert shard.receive_heartbeat(overtaken) is not None and worker.lease_renewed_us == node.ctx.now_us
    node.ctx.now_us += 1_000_000
    assert shard.receive_heartbeat(overtaken) is None and worker.lease_renewed_us < node.ctx.now_us  # a copy of it
    assert shard.receive_heartbeat(msgspec.structs.replace(overtaken, seq=overtaken.seq - 1)) is None  # an older one
    # An earlier owner may renew the lease until then; our answer, which may be lost, must not shorten that.
    worker.lease_renewed_us = predecessor_until_us = node.ctx.now_us + 9_000_000
    assert shard.receive_heartbeat(msgspec.structs.replace(last, seq=last.seq + 4), True) is None
    assert shard.receive_heartbeat(msgspec.structs.replace(last, seq=last.seq + 3)) is not None
    assert shard.receive_heartbeat(msgspec.structs.replace(last, seq=last.seq + 5)) is not None
    assert worker.lease_renewed_us == predecessor_until_us
    # The job is cancelled and the owner is in its grace period: this answer renews the lease too, so it has the stops.
    job = node.ctx.cache.job("req-000001")
    assert job is not None and {t.task for t in last.tasks} == {"req-000001/0", "req-000001/1"}
    node.ctx.cache.by_kind["job"]["req-000001"] = records.final_record(job, m.CANCELLED, 0)
    shard.persistence.load("req-000001")
    node.ctx.now_us += node.ctx.timing.leader_lease_us
    assert shard.receive_heartbeat(msgspec.structs.replace(last, seq=last.seq + 8), True) is None
    answer = shard.receive_heartbeat(msgspec.structs.replace(last, seq=last.seq + 7))
    assert answer is not None and not node.election.may_launch()
    assert {(command.op, command.task) for command in answer.commands} == {
        ("halt", "req-000001/0"),
        ("halt", "req-000001/1"),
    }
