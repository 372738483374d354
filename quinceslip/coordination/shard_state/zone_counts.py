"""How many tasks of each job may be running in each zone, updated whenever an attempt starts or ends."""

from collections.abc import Iterable, Mapping

from quinceslip.coordination.shard_state.worker import Attempt, Worker

_NO_COUNTS: Mapping[str, int] = {}


class ZoneCounts:
    """Counts of attempts by job and zone; each attempt is counted at most once."""

    def __init__(self) -> None:
        self._by_job: dict[str, dict[str, int]] = {}
        self._zone_of: dict[Attempt, str] = {}

    def add(self, attempt: Attempt, zone: str) -> None:
        """Count an attempt in a zone, instead of any zone in which it was counted before."""
        self.remove(attempt)
        self._zone_of[attempt] = zone
        counts = self._by_job.setdefault(attempt.job_id, {})
        counts[zone] = counts.get(zone, 0) + 1

    def remove(self, attempt: Attempt) -> None:
        """Stop counting an attempt, if it is counted."""
        zone = self._zone_of.pop(attempt, None)
        if zone is None:
            return
        counts = self._by_job[attempt.job_id]
        counts[zone] -= 1
        if not counts[zone]:
            del counts[zone]
        if not counts:
            del self._by_job[attempt.job_id]

    def of_job(self, job_id: str) -> Mapping[str, int]:
        """Return the counts of one job by zone, without zones in which it has none."""
        return self._by_job.get(job_id, _NO_COUNTS)

    def worker_moved(self, worker: Worker, attempts: Iterable[Attempt]) -> None:
        """Count the attempts of a worker that are counted in the zone in which it is now."""
        for attempt in attempts:
            if attempt in self._zone_of:
                self.add(attempt, worker.zone)
