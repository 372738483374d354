"""What the parts of a node's actor share: settings, the view, and calls with their answers."""

import hashlib
import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from quinceslip.coordination.actor.effects import UNKNOWN, Call, CallResult, Effect, Reply, Urgency
from quinceslip.coordination.actor.timing import SECOND, Timing, micros
from quinceslip.dependencies.graph import Graph
from quinceslip.dependencies.graph import Urgency as JobUrgency
from quinceslip.liveness import stall_records
from quinceslip.protocol import messages
from quinceslip.protocol.settings import Settings, Team, Tuning
from quinceslip.storage.cache import StoreCache

log = logging.getLogger(__name__)

#: a way is planned as the estimates say: longer ones make whatever comes before an urgent job as urgent at once
WAY_PART = 1.0
#: so many transactions that the state service refused are remembered, to be sent no second time
MAX_REJECTED_CHANGES = 1000

Done = Callable[[int, bytes], None]
CompareAndSwapDone = Callable[[int, list[str]], None]


class Context:
    """Shared by the parts of one node; owned by its one actor thread."""

    def __init__(self, settings: Settings, tuning: Tuning, now_us: int, wall_us: int) -> None:
        self.settings = settings
        self.tuning = tuning
        self.timing = Timing(settings)
        self.limits = settings.facts.state.lasting()
        self.cache = StoreCache()
        self.graph = Graph(self.cache.job, self._urgency, self.expected_duration_us)
        self.effects: list[Effect] = []
        self.now_us = now_us
        self.wall_offset_us = wall_us - now_us
        self.started_us = now_us
        self.calls: dict[int, Done] = {}
        self.next_id = 0
        self.types: dict[str, messages.MachineType] = {}
        self.on_records_changed: Callable[[Iterable[str]], None] = lambda keys: None
        #: whether all controllers act by a level (`quinceslip.feature_gate`)
        self.feature_active: Callable[[int], bool] = lambda level: False
        self.store_ok_us = 0
        self.state_bad_us = 0
        self.timeout_us = micros(tuning.request_timeout_s)
        self.quick_types: set[str] = set()
        self.teams = {t.name: t for t in settings.facts.teams}
        self.active_part = ""  # of the tick, while it runs: where the actor is, for whoever sees it stand still
        self.records_applied = 0
        self.rejected_changes: dict[bytes, None] = {}  # digests of changes that the state service does not take
        self.rejected_again: list[
            CompareAndSwapDone
        ] = []  # who sent such changes again, and is told so at the next tick

    # What the graph of jobs asks: as it is before anything runs, by the estimates of the jobs' owners.

    def _urgency(self, spec: messages.JobSpec, at_us: int) -> JobUrgency:
        """A job's own; its due times that count from its submission alone, since the others start with it."""
        dues = (
            []
            if spec.deadline_s is None
            else sorted(
                {
                    spec.deadline_s,
                    *(
                        spec.deadline_s * o.times
                        for o in self.settings.facts.objectives
                        if o.kind == "deadline" and o.job_class == spec.job_class
                    ),
                }
            )
        )
        return JobUrgency(spec.priority, tuple(at_us + micros(due_s) for due_s in dues))

    def expected_duration_us(self, spec: messages.JobSpec) -> int:
        """How long a job takes once it may start: its image, its tasks, the writes at both ends."""
        rate = min((t.fetch_gb_per_s for t in self.types.values()), default=1.0)
        return micros(WAY_PART * spec.estimate_s + spec.image_gb / max(rate, 0.01)) + 2 * SECOND

    @property
    def wall_us(self) -> int:
        return self.now_us + self.wall_offset_us

    def starts_quickly(self, kind: messages.MachineType | None) -> bool:
        """Whether services start there soon enough; any type is, where none is quick."""
        return kind is not None and (not self.quick_types or kind.label in self.quick_types)

    def is_suspended(self, part: str) -> bool:
        """Whether this controller stood still in that part so lately that it is left out (`standstill.notes`)."""
        note = self.cache.by_kind["standstill"].get(self.settings.label)
        return stall_records.rests(note, part, self.wall_us, self.timing.worker_lease_us)

    def progress(self) -> int:
        """Grows while a long message is taken: a listing of all records is no standstill."""
        return self.cache.records_taken + self.records_applied

    def team(self, name: str) -> Team | None:
        return self.teams.get(name)

    def call(
        self,
        target: str,
        method: str,
        path: str,
        body: Any,
        done: Done,
        timeout_us: int = 0,
        writes: int = 0,
        urgency: Urgency = Urgency.USER,
    ) -> None:
        self.next_id += 1
        self.calls[self.next_id] = done
        self.effects.append(
            Call(target, self.next_id, method, path, body, timeout_us or self.timeout_us, writes, urgency)
        )

    def handle_result(self, answer: CallResult) -> None:
        done = self.calls.pop(answer.id, None)
        if done is not None:
            done(answer.status, answer.body)

    def reply(self, request: int, status: int, body: Any = None, **headers: str) -> None:
        self.effects.append(Reply(request, status, body, headers))

    def store_available(self) -> bool:
        """Whether the state service answered this node lately."""
        return self.now_us - self.store_ok_us < 3 * SECOND and self.cache.synced

    def note_store_status(self, status: int) -> None:
        if status in (200, 404, 409):
            self.store_ok_us = self.now_us
        elif status != 429:
            self.state_bad_us = self.now_us

    def compare_and_swap(
        self,
        conditions: dict[str, int],
        puts: Mapping[str, tuple[Any, int | None]],
        drops: list[str],
        done: CompareAndSwapDone,
        urgency: Urgency = Urgency.REST,
    ) -> None:
        """One conditional write. On success the view has it before `done` runs.

        What the state service does not take for its size is answered 400, and logged as an error; the same changes
        are not sent again. An expired lease is answered 400 too, and says nothing of the changes.
        """
        request = messages.compare_and_swap_request(conditions, puts, drops)
        if self.rejected_changes and _digest(request) in self.rejected_changes:
            self.rejected_again.append(done)  # later, as every answer: callers set their marks after the call as well
            return

        def finish(status: int, body: bytes) -> None:
            self.note_store_status(status)
            if status in (400, 413) and messages.NO_LEASE not in body:
                status = 400
                self._reject(request, body)
            failed: list[str] = []
            keys: list[str] = []
            if status in (200, 409):
                try:
                    answer = msgspec.json.decode(body, type=messages.CompareAndSwapAnswer)
                except msgspec.DecodeError as error:
                    log.error("state service answered a transaction with nonsense: %s", error)
                    done(UNKNOWN, [])
                    return
                failed = answer.failed
                if status == 200:
                    keys += [k for k, (v, _) in puts.items() if self.cache.store(k, v, answer.revision)]
                    keys += [k for k in drops if self.cache.delete(k, answer.revision)]
            done(status, failed)
            self.on_records_changed(keys)

        self.call("state", "POST", messages.PATH_TXN, request, finish, writes=len(puts) + len(drops), urgency=urgency)

    def _reject(self, request: dict[str, Any], why: bytes) -> None:
        changes = request["then"]
        keys = [change.get("write") or change["drop"] for change in changes]
        sizes = [len(msgspec.json.encode(change["v"])) for change in changes if "v" in change]
        log.error(
            "state service refused %d changes with %d conditions, the largest value of %d bytes: %s: %s",
            len(changes),
            len(request["if"]),
            max(sizes, default=0),
            ", ".join(keys),
            why[:200].decode("utf-8", "replace"),
        )
        self.rejected_changes[_digest(request)] = None
        if len(self.rejected_changes) > MAX_REJECTED_CHANGES:
            del self.rejected_changes[next(iter(self.rejected_changes))]

    def answer_rejected_again(self) -> None:
        spared, self.rejected_again = self.rejected_again, []
        for done in spared:
            done(400, [])

    def fits_record(self, value: Any) -> bool:
        """Whether a value is within the limit on values, also the one that is announced."""
        return len(msgspec.json.encode(value)) <= self.limits.value_kb * 1024

    def delete_unneeded(self, keys: list[str]) -> None:
        """Drop records that nothing reads any more, as many at a time as a transaction takes.

        Once: what fails is left behind, and costs its bytes alone.
        """
        for start in range(0, len(keys), self.limits.txn_ops):
            batch = keys[start : start + self.limits.txn_ops]
            self.compare_and_swap({k: self.cache.mod_revision(k) for k in batch}, {}, batch, lambda s, f: None)


def _digest(request: dict[str, Any]) -> bytes:
    """Of what a transaction changes; its conditions have no part in its size."""
    return hashlib.blake2b(msgspec.json.encode(request["then"]), digest_size=16).digest()
