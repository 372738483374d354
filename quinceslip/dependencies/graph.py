"""Which open jobs wait for which, derived from the job records alone.

A job is *ready* once the record of every job that it depends on was seen as done, which is final, so any sighting is
enough. It is *withdrawn* once one of them is withdrawn, directly or through others: that is final too, so every node
that has seen the records says so, and no message carries it. A job that is ready can never become withdrawn by another,
since what is done is never withdrawn (docs/pipelines.md).

Urgency flows backward: a job is as urgent as the most urgent open job that needs it, and due so early that the longest
estimated way behind it is left. What a job that joins or leaves changes is looked at anew for those before it only.

A plain class: no I/O, no clock, no thread; owned by the view's owner, the actor. Times are wall clock, in microseconds.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from quinceslip.protocol.messages import CANCELLED, DONE, QUEUED, JobSpec
from quinceslip.storage.records import JobRecord


@dataclass(frozen=True, slots=True)
class Urgency:
    """How a job is to be treated; `dues_us` are the moments by which it should be done, earliest first."""

    priority: int
    dues_us: tuple[int, ...] = ()

    def before(self, run_us: int) -> "Urgency":
        """What a job of that urgency and run time asks of those that it needs."""
        return Urgency(self.priority, tuple(due - run_us for due in self.dues_us))

    def merged(self, other: "Urgency") -> "Urgency":
        """The more urgent of both, due time by due time."""
        longer, shorter = sorted((self.dues_us, other.dues_us), key=len, reverse=True)
        dues = tuple(min(due, shorter[place]) if place < len(shorter) else due for place, due in enumerate(longer))
        return Urgency(min(self.priority, other.priority), dues)


@dataclass(slots=True)
class Entry:
    """An open job that depends on others, or that others depend on."""

    own: Urgency
    run_us: int
    needs: frozenset[str] = frozenset()
    unfinished: set[str] = field(default_factory=set)  # of these, not yet seen as done
    urgency: Urgency = Urgency(9)
    ready_us: int = 0  # when the last of them ended, by their records


@dataclass(slots=True)
class Changes:
    """What a batch of records has brought about."""

    ready: list[str] = field(default_factory=list)  # jobs that wait no longer
    urgency_changed: list[str] = field(default_factory=list)  # open jobs whose urgency is another one


class Graph:
    def __init__(
        self,
        job: Callable[[str], JobRecord | None],
        urgency: Callable[[JobSpec, int], Urgency],
        run_us: Callable[[JobSpec], int],
    ) -> None:
        self._job = job
        self._urgency = urgency
        self._run_us = run_us
        self.entries: dict[str, Entry] = {}
        self.dependents: dict[str, set[str]] = {}  # open jobs, by what they need; of open jobs and unknown ones only
        self.cancelled: dict[str, None] = {}  # open by their own records, and withdrawn by another's; oldest first
        self._stale: set[str] = set()  # jobs whose urgency is to be looked at anew
        self._grown: list[tuple[str, str]] = []  # jobs that another one needs as well since the last look, and that one
        self._ready: list[str] = []

    # What is asked.

    def is_waiting(self, job_id: str) -> bool:
        """Whether a job may not start yet, or never will: some job before it was not seen as done."""
        entry = self.entries.get(job_id)
        return entry is not None and bool(entry.unfinished)

    def is_cancelled(self, job_id: str) -> bool:
        """Whether an open job is withdrawn since one that it needs is; for ever."""
        return job_id in self.cancelled

    def urgency(self, job_id: str) -> Urgency | None:
        """Of an open job that others need; None: its own alone."""
        entry = self.entries.get(job_id)
        return entry.urgency if entry is not None and self.dependents.get(job_id) else None

    def ready_us(self, job_id: str) -> int:
        """When the last job that it needed ended, by the records; 0 where it needed none or they do not say."""
        entry = self.entries.get(job_id)
        return entry.ready_us if entry is not None else 0

    # What the records say.

    def records_changed(self, job_ids: Sequence[str]) -> Changes:
        """Take news of these jobs' records; a listing as well as a change, in any order."""
        for job_id in job_ids:
            record = self._job(job_id)
            if record is None:
                continue
            if record.state == QUEUED:
                entry = self.entries.get(job_id)
                # Guard: it may be known already, as what another one needs. A listing brings them in any order.
                if record.spec is not None and record.spec.waits_on and (entry is None or not entry.needs):
                    self._add_waiting_job(job_id, record)
                elif entry is None and job_id in self.dependents:
                    self._entry_for(job_id, record)
            else:
                self._job_finished(job_id, record)
        ready, self._ready = self._ready, []
        # Two of a batch may be a job and what it needed last: it may be over by now, or withdrawn by another's record.
        return Changes(
            [u for u in dict.fromkeys(ready) if u in self.entries and not self.entries[u].unfinished],
            self._propagate_urgency(),
        )

    def _entry_for(self, job_id: str, record: JobRecord) -> Entry:
        """An open job that others need, or that needs others."""
        assert record.spec is not None
        if job_id not in self.entries:
            own = self._urgency(record.spec, record.at_us)
            self.entries[job_id] = Entry(own, self._run_us(record.spec), urgency=own)
            # Where others named it before this node knew of it.
            self._grown += [(job_id, behind) for behind in self.dependents.get(job_id, ())]
        return self.entries[job_id]

    def _add_waiting_job(self, job_id: str, record: JobRecord) -> None:
        assert record.spec is not None
        entry = self._entry_for(job_id, record)
        entry.needs = frozenset(record.spec.waits_on)
        for other in entry.needs:
            before = self._job(other)
            if before is not None and before.state == DONE:
                entry.ready_us = max(entry.ready_us, before.at_us)
                continue
            entry.unfinished.add(other)
            if before is not None and before.state == CANCELLED:
                self._cancel([job_id])
                continue
            self.dependents.setdefault(other, set()).add(job_id)
            if before is not None:
                self._entry_for(other, before)
            if other in self.cancelled:
                self._cancel([job_id])
            self._grown.append((other, job_id))

    def _job_finished(self, job_id: str, record: JobRecord) -> None:
        """A job is done or withdrawn by its own record."""
        entry = self.entries.pop(job_id, None)
        self.cancelled.pop(job_id, None)
        for other in entry.needs if entry is not None else ():
            behind = self.dependents.get(other)
            if behind is not None:
                behind.discard(job_id)
                self._urgency_source_lost(other, job_id, entry)
                if not behind:
                    del self.dependents[other]
        waiting = self.dependents.pop(job_id, set())
        if record.state == CANCELLED:
            self._cancel(sorted(waiting))
            return
        for behind_uid in sorted(waiting):
            after = self.entries[behind_uid]
            after.unfinished.discard(job_id)
            after.ready_us = max(after.ready_us, record.at_us)
            if not after.unfinished:
                self._ready.append(behind_uid)

    def _cancel(self, job_ids: list[str]) -> None:
        """These and all behind them, without recursion."""
        # Bound: each job is taken once, when it is not withdrawn yet.
        while job_ids:
            job_id = job_ids.pop()
            if job_id not in self.cancelled and job_id in self.entries:
                self.cancelled[job_id] = None
                for other in self.entries[job_id].needs:
                    self._urgency_source_lost(other, job_id, self.entries[job_id])
                job_ids += sorted(self.dependents.get(job_id, ()))

    # Urgency.

    def _urgency_source_lost(self, job_id: str, behind: str, after: Entry | None) -> None:
        """What `behind` asked of a job counts no more; it is looked at anew where that was part of its urgency."""
        entry = self.entries.get(job_id)
        if entry is None or after is None:
            return
        asked = after.urgency.before(after.run_us)
        if asked.priority <= entry.urgency.priority or any(
            mine == due for mine, due in zip(entry.urgency.dues_us, asked.dues_us, strict=False)
        ):
            self._stale.add(job_id)

    def _propagate_urgency(self) -> list[str]:
        """Urgency of what has changed, and of those before it where that changes."""
        urged: dict[str, None] = {}
        grown, self._grown = self._grown, []
        # Bound: jobs name accepted ones alone, so there is no circle; each turn that goes on makes a job more urgent.
        while grown:
            job_id, behind = grown.pop()
            entry, after = self.entries.get(job_id), self.entries.get(behind)
            if entry is None or after is None or behind in self.cancelled:
                continue
            found = entry.urgency.merged(after.urgency.before(after.run_us))
            if found != entry.urgency:
                entry.urgency = found
                urged[job_id] = None
                grown += [(other, job_id) for other in entry.needs]
        stale, self._stale = self._stale, set()
        # Bound: jobs name accepted ones alone, so there is no circle; each turn that goes on changes an urgency.
        while stale:
            job_id = stale.pop()
            entry = self.entries.get(job_id)
            if entry is None:
                continue
            found = entry.own
            for behind in self.dependents.get(job_id, ()):
                after = self.entries.get(behind)
                if after is not None and behind not in self.cancelled:
                    found = found.merged(after.urgency.before(after.run_us))
            if found != entry.urgency:
                entry.urgency = found
                urged[job_id] = None
                stale |= entry.needs
        return list(urged)
