"""The records of the key-value store as this controller knows them, kept up to date by the watch."""

import logging
from collections.abc import Mapping
from typing import Any

import msgspec

from quinceslip.protocol.messages import QUEUED, Event, Item
from quinceslip.storage import records, task_sets
from quinceslip.storage.records import ADVISORY, KINDS, JobRecord, PartitionRecord, RecordKind, ShardRecord

log = logging.getLogger(__name__)

#: deletions that are remembered, so that older changes that come late don't bring the keys back
MAX_REMEMBERED_DELETIONS = 32_000

# Plain strings: what is done for each record costs less with them than with members of an enumeration.
_JOB, _SHARD, _PARTITION = RecordKind.JOB.value, RecordKind.SHARD.value, RecordKind.PARTITION.value


class StoreCache:
    """All records as this controller knows them, with the `mod_revision` of each.

    Own writes are applied when their answer comes, so the watch may bring them again, and may still bring older ones:
    the larger `mod_revision` wins.
    """

    #: kind and name of a key
    split_key = staticmethod(records.split_key)

    def __init__(self) -> None:
        self.kinds: dict[str, Any] = {str(kind): record_type for kind, record_type in KINDS.items()}
        #: store revision at the last page of the last listing; None before the first
        self.listing_revision: int | None = None
        #: store revision up to which all changes are known
        self.revision = 0
        #: records decoded so far: a long listing is one message, and counts as progress of the actor
        self.records_decoded = 0
        self.mod_revisions: dict[str, int] = {}
        #: the records of each kind by name
        self.by_kind: dict[str, dict[str, Any]] = {kind: {} for kind in self.kinds}
        #: store revision of each remembered deletion
        self.deleted: dict[str, int] = {}
        #: jobs that are neither done nor cancelled by their own records
        self.open_jobs: dict[str, JobRecord] = {}
        #: the services among them
        self.open_services: dict[str, JobRecord] = {}

    def register_kinds(self, kinds: Mapping[str, Any]) -> None:
        """Keep a subsystem's kinds of records as well; `kinds` gives the type of each."""
        self.kinds.update(kinds)
        for kind in kinds:
            self.by_kind.setdefault(kind, {})

    @property
    def synced(self) -> bool:
        """Whether all records are known as of one moment.

        Guard: the pages of a listing are of different moments, so they may show a shard as free and not yet what its
        last leader did before. Nothing is decided by them until the watch has brought what came in between.
        """
        return self.listing_revision is not None and self.revision >= self.listing_revision

    # Changes.

    def apply_listing(self, items: list[Item], revision: int, until: int = 0) -> list[str]:
        """Take a full listing, read from `revision` on up to `until`; returns every key that changed."""
        changed = self._remove_unlisted({item.key for item in items}, revision)
        for item in items:
            if self._apply(item.key, item.value, item.mod_revision):
                changed.append(item.key)
        self.revision = max(self.revision, revision)
        self.listing_revision = until
        return changed

    def _remove_unlisted(self, listed: set[str], revision: int) -> list[str]:
        """Remove the records that a listing would contain if they still existed."""
        gone = [key for key in self.mod_revisions if key not in listed and self.mod_revisions[key] <= revision]
        for key in gone:
            self._remove(key, revision)
        return gone

    def apply_changes(self, events: list[Event], revision: int) -> list[str]:
        """Take what the watch brought up to `revision`, oldest first; returns the keys that changed."""
        changed: list[str] = []
        for event in sorted(events, key=lambda event: event.mod_revision):
            if event.put is not None:
                if self._apply(event.put, event.value, event.mod_revision):
                    changed.append(event.put)
            elif event.delete is not None and self.delete(event.delete, event.mod_revision):
                changed.append(event.delete)
        if revision > self.revision:
            self.revision = revision
            if len(self.deleted) > MAX_REMEMBERED_DELETIONS:
                self.deleted.clear()
        return changed

    def _apply(self, key: str, raw: msgspec.Raw, mod_revision: int) -> bool:
        """Decode and store one record; returns whether it is news.

        An advisory record that can't be read counts as deleted; any other raises `msgspec.DecodeError`.
        """
        self.records_decoded += 1
        kind = key.split("/")[1]
        try:
            value = msgspec.json.decode(raw, type=self.kinds.get(kind, msgspec.Raw))
            return self.store(key, value, mod_revision)
        except msgspec.DecodeError as error:
            if kind not in ADVISORY:
                raise
            log.info("record unreadable and treated as absent key=%s error=%s", key, error)
            return self.delete(key, mod_revision)

    def store(self, key: str, value: Any, mod_revision: int) -> bool:
        """Keep the value of a key, unless something as new is known; returns whether it was kept."""
        if self._is_outdated(key, mod_revision):
            return False
        self.mod_revisions[key] = mod_revision
        kind, name = records.split_key(key)
        if kind in self.by_kind:
            self.by_kind[kind][name] = value
        if kind == _JOB:
            self._index_job(name, value)
        return True

    def delete(self, key: str, mod_revision: int) -> bool:
        """Forget a key, unless something as new is known; returns whether a record of it was known."""
        if self._is_outdated(key, mod_revision):
            return False
        return self._remove(key, mod_revision)

    def _is_outdated(self, key: str, mod_revision: int) -> bool:
        return mod_revision <= self.mod_revisions.get(key, 0) or mod_revision <= self.deleted.get(key, 0)

    def _remove(self, key: str, mod_revision: int) -> bool:
        self.deleted[key] = mod_revision
        known = self.mod_revisions.pop(key, None) is not None
        kind, name = records.split_key(key)
        if kind in self.by_kind:
            self.by_kind[kind].pop(name, None)
        if kind == _JOB:
            self._unindex_job(name)
        return known

    def _index_job(self, job_id: str, job: JobRecord) -> None:
        if job.state != QUEUED:
            self._unindex_job(job_id)
            return
        self.open_jobs[job_id] = job
        if job.spec is not None and job.spec.service:
            self.open_services[job_id] = job

    def _unindex_job(self, job_id: str) -> None:
        self.open_jobs.pop(job_id, None)
        self.open_services.pop(job_id, None)

    # Queries.

    def mod_revision(self, key: str) -> int:
        """Store revision of the last change of a key; 0 where no record of it is known."""
        return self.mod_revisions.get(key, 0)

    def job(self, job_id: str) -> JobRecord | None:
        """The record of a job."""
        return self.by_kind[_JOB].get(job_id)

    def shard(self, shard: int) -> ShardRecord | None:
        """The record of a shard; None while nobody leads it."""
        return self.by_kind[_SHARD].get(str(shard))

    def partition(self, shard: int, job_id: str) -> PartitionRecord | None:
        """The partition of an open job that a shard has, whichever record contains it."""
        job = self.job(job_id)
        if job is None or job.state != QUEUED:
            return None
        if job.shard == shard:
            return job.partition
        return self.by_kind[_PARTITION].get(f"{shard}/{job_id}")

    def partition_record_key(self, shard: int, job_id: str) -> str:
        """Key of the record that contains a shard's partition of a job: at the home shard that of the job itself."""
        job = self.job(job_id)
        if job is not None and job.shard == shard:
            return records.job_key(job_id)
        return records.partition_key(shard, job_id)

    def partitions(self, job_id: str) -> dict[int, PartitionRecord]:
        """All partitions of an open job, by shard."""
        job = self.job(job_id)
        if job is None or job.state != QUEUED:
            return {}
        found = {shard: self.partition(shard, job_id) for shard in {job.shard, *job.other_shards}}
        return {shard: partition for shard, partition in found.items() if partition is not None}

    def done_count(self, job_id: str) -> int:
        """How many tasks of a job are recorded as done, over all its partitions."""
        return sum(len(task_sets.decode(partition.done)) for partition in self.partitions(job_id).values())
