"""What a worker has proven to hear, against a worker that knows what reached it; and which reports are answered."""

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
def test_a_proof_needs_an_answer_that_arrived(steps: list[tuple[bool, int, bool, bool]]) -> None:
    """Steps: whether the answer arrives, launches in it, whether the term rises, whether the session ends before."""
    delivery, fencing_token, term, epoch, there = DeliveryTracker(), 0, 1, 1, set[str]()
    arrived, in_vain = False, 0  # since the last proof; in a row, of the answers that had to show something
    for number, (arrives, launches, rises, ends) in enumerate(steps):
        if ends:
            epoch, there = epoch + 1, set()
        said = heartbeat(epoch, number + 1, fencing_token, there)
        if delivery.heartbeat_received(said):
            assert arrived
            arrived = False
        assert (delivery.unacknowledged_answers >= MAX_UNACKNOWLEDGED_ANSWERS) <= (
            in_vain >= MAX_UNACKNOWLEDGED_ANSWERS
        )
        term += rises
        orders = [m.launch(f"{number}/{i}", 1) for i in range(launches)]
        due = bool(orders) or term > fencing_token
        delivery.answer_sent(said, term, orders)
        if arrives:
            fencing_token, arrived, in_vain = term, True, 0 if due else in_vain
            there |= {o.task for o in orders}
        elif due:
            in_vain += 1
    if all(arrives and not ends for arrives, _, _, ends in steps):
        assert not delivery.suspect


def test_a_report_counts_once_and_one_that_was_overtaken_is_answered() -> None:
    """A direct reply overtakes a report whose sender still waits: the answer renews its lease, and so the books."""
    runner = Runner()
    for line in ("site size=1", "machines 1 m a", "at 2 submit req-000001 tasks=2 run=30", "run 6"):
        runner.execute_line(line)
    node = runner.w().controllers["berth-0"].actor
    assert node is not None
    shard = node.shards[0]
    worker = next(iter(shard.workers.values()))
    last = msgspec.convert(runner.w().workers[worker.name].heartbeat(), m.WorkerHeartbeat)
    later = msgspec.structs.replace(last, seq=last.seq + 2)
    own = msgspec.structs.replace(last, seq=last.seq + 1)
    node.ctx.now_us += 1_000_000
    assert shard.receive_heartbeat(later, True) is None and worker.lease_renewed_us < node.ctx.now_us
    assert shard.receive_heartbeat(own) is not None and worker.lease_renewed_us == node.ctx.now_us
    node.ctx.now_us += 1_000_000
    assert shard.receive_heartbeat(own) is None and worker.lease_renewed_us < node.ctx.now_us  # a copy of it
    assert shard.receive_heartbeat(msgspec.structs.replace(own, seq=own.seq - 1)) is None  # an older one
    # What an owner before us may renew until then is not taken back by an answer of ours, which may be lost.
    worker.lease_renewed_us = until_us = node.ctx.now_us + 9_000_000
    assert shard.receive_heartbeat(msgspec.structs.replace(last, seq=last.seq + 4), True) is None
    assert shard.receive_heartbeat(msgspec.structs.replace(last, seq=last.seq + 3)) is not None
    assert shard.receive_heartbeat(msgspec.structs.replace(last, seq=last.seq + 5)) is not None
    assert worker.lease_renewed_us == until_us
    # Its job is withdrawn, and the owner is in its grace: that answer renews the lease too, so it says what is over.
    job = node.ctx.cache.job("req-000001")
    assert job is not None and {t.task for t in last.tasks} == {"req-000001/0", "req-000001/1"}
    node.ctx.cache.by_kind["job"]["req-000001"] = records.final_record(job, m.CANCELLED, 0)
    shard.persistence.load("req-000001")
    node.ctx.now_us += node.ctx.timing.leader_lease_us
    assert shard.receive_heartbeat(msgspec.structs.replace(last, seq=last.seq + 8), True) is None
    said = shard.receive_heartbeat(msgspec.structs.replace(last, seq=last.seq + 7))
    assert said is not None and not node.election.may_launch()
    assert {(c.op, c.task) for c in said.commands} == {("halt", "req-000001/0"), ("halt", "req-000001/1")}
