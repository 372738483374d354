"""A cache of all records in the key-value store, kept up to date by the watch."""

import logging
from collections.abc import Mapping
from functools import lru_cache
from typing import Any

import msgspec

from quinceslip.protocol.messages import QUEUED, Event, Item
from quinceslip.storage import records, task_sets
from quinceslip.storage.records import (
    ADVISORY,
    KINDS,
    SELF_CONTAINED,
    JobRecord,
    PartitionRecord,
    RecordKind,
    ShardRecord,
)

log = logging.getLogger(__name__)

#: maximum remembered deletions; they keep late events with older changes from restoring deleted keys
MAX_REMEMBERED_DELETIONS = 32_000
#: sizes of encoded task sets that are kept, as many users may ask about one job; a set takes up to 16 KB
MAX_CACHED_TASK_COUNTS = 64

# Plain strings, since they are cheaper than enum members in code that runs for each record.
_JOB, _SHARD, _PARTITION = RecordKind.JOB.value, RecordKind.SHARD.value, RecordKind.PARTITION.value


class StoreCache:
    """A copy of all records, with the `mod_revision` of each.

    This controller's own writes are applied as soon as they are answered. The watch may deliver them again, and may
    still deliver older changes afterwards, so the larger `mod_revision` wins.
    """

    split_key = staticmethod(records.split_key)

    def __init__(self) -> None:
        self.kinds: dict[str, Any] = {str(kind): record_type for kind, record_type in KINDS.items()}
        #: store revision of the last page of the latest listing; None before the first listing
        self.listing_revision: int | None = None
        #: store revision up to which all changes are known
        self.revision = 0
        #: number of records decoded so far; shows the actor's progress while it handles a long listing as one message
        self.records_decoded = 0
        self.mod_revisions: dict[str, int] = {}
        #: the records of each kind by name
        self.by_kind: dict[str, dict[str, Any]] = {kind: {} for kind in self.kinds}
        #: store revision of each remembered deletion
        self.deleted: dict[str, int] = {}
        #: store revision of each record that can't be decoded, except advisory ones
        self.undecodable: dict[str, int] = {}
        #: those of them without which no decision is safe
        self._undecodable_essential: set[str] = set()
        #: jobs that are neither done nor cancelled by their own records
        self.open_jobs: dict[str, JobRecord] = {}
        #: the services among `open_jobs`
        self.open_services: dict[str, JobRecord] = {}

    def register_kinds(self, kinds: Mapping[str, Any]) -> None:
        """Add a subsystem's kinds of records; `kinds` has the record type of each."""
        self.kinds.update(kinds)
        for kind in kinds:
            self.by_kind.setdefault(kind, {})

    @property
    def synced(self) -> bool:
        """Whether the cache is a consistent snapshot, on which decisions may be based.

        Guard: the pages of a listing are read at different revisions, so they may show a shard as free without the
        earlier changes of its last leader. The listing is not used until the watch has delivered the changes made
        while it was read.
        """
        return (
            self.listing_revision is not None
            and self.revision >= self.listing_revision
            and not self._undecodable_essential
        )

    # Changes.

    def apply_listing(self, items: list[Item], revision: int, last_page_revision: int = 0) -> list[str]:
        """Apply a full listing and return the keys that changed.

        `revision` and `last_page_revision` are the store revisions of its first and last page.
        """
        changed = self._remove_unlisted({item.key for item in items}, revision)
        for item in items:
            if self._apply(item.key, item.value, item.mod_revision):
                changed.append(item.key)
        self.revision = max(self.revision, revision)
        self.listing_revision = last_page_revision
        return changed

    def _remove_unlisted(self, listed: set[str], revision: int) -> list[str]:
        """Remove records that are missing from a listing and not newer than it; returns their keys."""
        known = self.mod_revisions | self.undecodable
        deleted = [key for key in known if key not in listed and known[key] <= revision]
        for key in deleted:
            self._remove(key, revision)
        return deleted

    def apply_changes(self, events: list[Event], revision: int) -> list[str]:
        """Apply the events of the watch up to `revision`, oldest first; returns the keys that changed."""
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
                self.deleted = dict(self.undecodable)
        return changed

    def _apply(self, key: str, raw: msgspec.Raw, mod_revision: int) -> bool:
        """Decode and store one record; returns whether the cache changed.

        A record that can't be decoded costs no other record: see `ADVISORY` and `SELF_CONTAINED`.
        """
        self.records_decoded += 1
        kind = key.split("/")[1]
        try:
            value = msgspec.json.decode(raw, type=self.kinds.get(kind, msgspec.Raw))
            return self.store(key, value, mod_revision)
        except (msgspec.DecodeError, RecursionError) as error:
            if kind in ADVISORY:
                log.info("cannot decode advisory record, treated as absent key=%s error=%s", key, error)
                return self.delete(key, mod_revision)
            return self._record_undecodable(key, kind, mod_revision, error)

    def store(self, key: str, value: Any, mod_revision: int) -> bool:
        """Store a record unless the known change of its key is as new or newer; returns whether it was stored."""
        if self._is_outdated(key, mod_revision):
            return False
        self.mod_revisions[key] = mod_revision
        if self.undecodable:
            self._forget_undecodable(key)
        kind, name = records.split_key(key)
        if kind in self.by_kind:
            self.by_kind[kind][name] = value
        if kind == _JOB:
            self._index_job(name, value)
        return True

    def _record_undecodable(self, key: str, kind: str, mod_revision: int, error: Exception) -> bool:
        """Note that a record can't be decoded; returns whether the cache changed.

        Guard: it does not get this `mod_revision`, so every write that would replace it fails on its condition.
        Otherwise a version that does not know the record would overwrite it.
        """
        if self._is_outdated(key, mod_revision):
            return False
        log.error("cannot decode record key=%s revision=%d error=%s", key, mod_revision, error)
        is_self_contained = kind in SELF_CONTAINED
        if is_self_contained:
            self._remove(key, mod_revision)
        else:
            self._undecodable_essential.add(key)
        self.undecodable[key] = mod_revision
        return is_self_contained

    def delete(self, key: str, mod_revision: int) -> bool:
        """Delete a record unless the known change of its key is as new or newer; returns whether there was one."""
        if self._is_outdated(key, mod_revision):
            return False
        return self._remove(key, mod_revision)

    def _is_outdated(self, key: str, mod_revision: int) -> bool:
        return mod_revision <= self.mod_revisions.get(key, 0) or mod_revision <= self.deleted.get(key, 0)

    def _forget_undecodable(self, key: str) -> None:
        self.undecodable.pop(key, None)
        self._undecodable_essential.discard(key)

    def _remove(self, key: str, mod_revision: int) -> bool:
        self.deleted[key] = mod_revision
        self._forget_undecodable(key)
        existed = self.mod_revisions.pop(key, None) is not None
        kind, name = records.split_key(key)
        if kind in self.by_kind:
            self.by_kind[kind].pop(name, None)
        if kind == _JOB:
            self._unindex_job(name)
        return existed

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
        """Return the store revision of the last change of a key; 0 if it has no record."""
        return self.mod_revisions.get(key, 0)

    def is_undecodable_job(self, job_id: str) -> bool:
        """Whether a job has a record that can't be decoded, so that it is accepted but nothing else is known of it."""
        return bool(self.undecodable) and records.job_key(job_id) in self.undecodable

    def job(self, job_id: str) -> JobRecord | None:
        """Return the record of a job."""
        return self.by_kind[_JOB].get(job_id)

    def shard(self, shard: int) -> ShardRecord | None:
        """Return the record of a shard; None if no controller leads it."""
        return self.by_kind[_SHARD].get(str(shard))

    def partition(self, shard: int, job_id: str) -> PartitionRecord | None:
        """Return a shard's partition of an open job, from the job's record or the partition's own."""
        job = self.job(job_id)
        if job is None or job.state != QUEUED:
            return None
        if job.shard == shard:
            return job.partition
        return self.by_kind[_PARTITION].get(f"{shard}/{job_id}")

    def partition_record_key(self, shard: int, job_id: str) -> str:
        """Return the key of the record that contains a shard's partition of a job; at the home shard, the job's."""
        job = self.job(job_id)
        if job is not None and job.shard == shard:
            return records.job_key(job_id)
        return records.partition_key(shard, job_id)

    def partitions(self, job_id: str) -> dict[int, PartitionRecord]:
        """Return all partitions of an open job by shard."""
        job = self.job(job_id)
        if job is None or job.state != QUEUED:
            return {}
        found = {shard: self.partition(shard, job_id) for shard in {job.shard, *job.other_shards}}
        return {shard: partition for shard, partition in found.items() if partition is not None}

    def done_count(self, job_id: str) -> int:
        """Return the number of tasks of a job that are recorded as done in any of its partitions."""
        return sum(_count_tasks(partition.done) for partition in self.partitions(job_id).values())


@lru_cache(maxsize=MAX_CACHED_TASK_COUNTS)
def _count_tasks(encoded: str) -> int:
    """Return the number of tasks in an encoded set; 0 if it can't be read."""
    try:
        return len(task_sets.decode(encoded))
    except ValueError:
        return 0
