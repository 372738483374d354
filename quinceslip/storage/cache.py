"""The records of the key-value store as this controller knows them, kept up to date by the watch."""

import logging
from collections.abc import Mapping
from typing import Any

import msgspec

from quinceslip.protocol.messages import QUEUED, Event, Item
from quinceslip.storage import task_sets
from quinceslip.storage.records import ADVISORY, KINDS, JobRecord, PartitionRecord, ShardRecord

log = logging.getLogger(__name__)


class StoreCache:
    """All records as this node knows them, with the stamp of each."""

    def __init__(self) -> None:
        self.kinds: dict[str, Any] = dict(KINDS)
        self.listing_revision: int | None = (
            None  # the ledger up to which the last listing reaches; None before the first
        )
        self.revision = 0
        self.records_taken = 0  # records so far: a long listing is one message, and no standstill
        self.mod_revisions: dict[str, int] = {}
        self.by_kind: dict[str, dict[str, Any]] = {kind: {} for kind in KINDS}
        self.deleted: dict[str, int] = {}
        self.open_jobs: dict[str, JobRecord] = {}  # jobs that are not over
        self.open_services: dict[str, JobRecord] = {}  # the services among them

    def register_kind(self, kinds: Mapping[str, Any]) -> None:
        """Keep a subsystem's kinds of records as well."""
        self.kinds.update(kinds)
        for kind in kinds:
            self.by_kind.setdefault(kind, {})

    @property
    def synced(self) -> bool:
        """Whether all records are known as of one moment.

        Guard: the pages of a listing are of different moments, so they may show a shard as free and not yet what its
        last owner did before. Nothing is decided by them until the watch has brought what came in between.
        """
        return self.listing_revision is not None and self.revision >= self.listing_revision

    def apply_listing(self, items: list[Item], revision: int, until: int = 0) -> list[str]:
        """Take a full listing, read from `revision` on up to `until`; returns every key that changed."""
        fresh = {item.key for item in items}
        changed = [key for key in self.mod_revisions if key not in fresh and self.mod_revisions[key] <= revision]
        for key in changed:
            self._remove(key, revision)
        for item in items:
            if self._take(item.key, item.value, item.mod_revision):
                changed.append(item.key)
        self.revision = max(self.revision, revision)
        self.listing_revision = until
        return changed

    def apply_changes(self, events: list[Event], revision: int) -> list[str]:
        """Take what the watch brought, in order; returns the keys that changed."""
        changed: list[str] = []
        for event in sorted(events, key=lambda e: e.mod_revision):
            if event.put is not None:
                if self._take(event.put, event.value, event.mod_revision):
                    changed.append(event.put)
            elif event.delete is not None and self.delete(event.delete, event.mod_revision):
                changed.append(event.delete)
        if revision > self.revision:
            self.revision = revision
            if len(self.deleted) > 4000:
                self.deleted.clear()
        return changed

    def _take(self, key: str, raw: msgspec.Raw, mod_revision: int) -> bool:
        self.records_taken += 1
        kind = key.split("/")[1]
        try:
            return self.store(key, msgspec.json.decode(raw, type=self.kinds.get(kind, msgspec.Raw)), mod_revision)
        except msgspec.DecodeError as error:
            if kind not in ADVISORY:
                raise
            log.info("%s can't be read, and counts as none: %s", key, error)
            return self.delete(key, mod_revision)

    def store(self, key: str, value: Any, mod_revision: int) -> bool:
        # Own writes are applied when their answer comes, so the watch may bring them again,
        # and may still bring older ones: the larger stamp wins.
        if mod_revision <= self.mod_revisions.get(key, 0) or mod_revision <= self.deleted.get(key, 0):
            return False
        self.mod_revisions[key] = mod_revision
        kind, name = self.split(key)
        if kind in self.by_kind:
            self.by_kind[kind][name] = value
        if kind == "job":
            if value.state == QUEUED:
                self.open_jobs[name] = value
                if value.spec is not None and value.spec.service:
                    self.open_services[name] = value
            else:
                self.open_jobs.pop(name, None)
                self.open_services.pop(name, None)
        return True

    def delete(self, key: str, mod_revision: int) -> bool:
        if mod_revision <= self.mod_revisions.get(key, 0) or mod_revision <= self.deleted.get(key, 0):
            return False
        return self._remove(key, mod_revision)

    def _remove(self, key: str, mod_revision: int) -> bool:
        self.deleted[key] = mod_revision
        known = self.mod_revisions.pop(key, None) is not None
        kind, name = self.split(key)
        if kind in self.by_kind:
            self.by_kind[kind].pop(name, None)
        if kind == "job":
            self.open_jobs.pop(name, None)
            self.open_services.pop(name, None)
        return known

    @staticmethod
    def split(key: str) -> tuple[str, str]:
        """Kind and name of a key; `part` names stay "<shard>/<uid>"."""
        _, kind, *rest = key.split("/", 2)
        return kind, rest[0] if rest else ""

    def mod_revision(self, key: str) -> int:
        return self.mod_revisions.get(key, 0)

    def job(self, job_id: str) -> JobRecord | None:
        return self.by_kind["job"].get(job_id)

    def shard(self, shard: int) -> ShardRecord | None:
        return self.by_kind["shard"].get(str(shard))

    def partition(self, shard: int, job_id: str) -> PartitionRecord | None:
        """The chunk of a job that a shard holds, wherever it is kept."""
        job = self.job(job_id)
        if job is None or job.state != QUEUED:
            return None
        if job.shard == shard:
            return job.partition
        return self.by_kind["part"].get(f"{shard}/{job_id}")

    def partitions(self, job_id: str) -> dict[int, PartitionRecord]:
        job = self.job(job_id)
        if job is None or job.state != QUEUED:
            return {}
        found = {shard: self.partition(shard, job_id) for shard in {job.shard, *job.parts}}
        return {shard: partition for shard, partition in found.items() if partition is not None}

    def done_count(self, job_id: str) -> int:
        """How many tasks of a job are recorded as done, over all its partitions."""
        return sum(len(task_sets.decode(partition.done)) for partition in self.partitions(job_id).values())
