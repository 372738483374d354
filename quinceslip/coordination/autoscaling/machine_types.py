"""Fetches the cloud's machine types, stores them, and determines which of them start services quickly."""

import logging

import msgspec

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import TARGET_CLOUD, Urgency
from quinceslip.coordination.actor.timing import SECOND
from quinceslip.coordination.shard.shard import Shard
from quinceslip.protocol import messages as m
from quinceslip.storage import records
from quinceslip.storage.records import RecordKind

log = logging.getLogger(__name__)

#: interval between two requests for the types: after an answer, and without one
REFRESH_PERIOD_US = 60 * SECOND
RETRY_PERIOD_US = 3 * SECOND
REQUEST_TIMEOUT_US = 3 * SECOND


class MachineTypeCatalog:
    """Keeps `Context.machine_types` and `Context.quick_types` up to date."""

    def __init__(self, ctx: Context, shards: dict[int, Shard]) -> None:
        self.ctx = ctx
        self.shards = shards
        self.next_request_us = 0

    def record_changed(self) -> None:
        """Handle a change of the stored record of machine types."""
        types = self.ctx.cache.by_kind[RecordKind.MACHINE_TYPES].get("")
        if types:
            self._replace_types(m.usable_machine_types(types))

    def request_if_due(self) -> None:
        """Request the machine types from the cloud if it is time."""
        if self.ctx.now_us < self.next_request_us:
            return
        self.next_request_us = self.ctx.now_us + RETRY_PERIOD_US
        self.ctx.call(
            TARGET_CLOUD,
            "GET",
            m.PATH_MACHINE_TYPES,
            None,
            self._on_types_answered,
            timeout_us=REQUEST_TIMEOUT_US,
            urgency=Urgency.BACKGROUND,
        )

    def update_quick_types(self) -> None:
        """Find the types that fetch the images of most open services within the wait that users accept."""
        placement = next(iter(self.shards.values())).placement
        specs = [job.spec for job in self.ctx.cache.open_services.values() if job.spec is not None]
        self.ctx.quick_types = {
            machine_type.label
            for machine_type in self.ctx.machine_types.values()
            if 2 * sum(placement.fetches_in_time(machine_type, spec) for spec in specs) > len(specs)
        }

    def _on_types_answered(self, status: int, body: bytes) -> None:
        if status != 200:
            return
        try:
            read = m.read_machine_types(body)
        except msgspec.DecodeError as error:
            log.error("cloud sent invalid machine types: %s", error)
            return
        is_first_answer = not self.ctx.machine_types
        self._replace_types(read)
        self.next_request_us = self.ctx.now_us + REFRESH_PERIOD_US
        mod_revision = self.ctx.cache.mod_revision(records.MACHINE_TYPES_KEY)
        # Types that exceed one record are not stored: with only some of them, users would be told that jobs never run.
        is_storable = not read.unusable and self.ctx.fits_value_limit(read.types)
        if (is_first_answer or mod_revision == 0) and is_storable:
            self.ctx.compare_and_swap(
                {records.MACHINE_TYPES_KEY: mod_revision},
                {records.MACHINE_TYPES_KEY: (read.types, None)},
                [],
                lambda status, failed_conditions: None,  # the next answer retries
            )

    def _replace_types(self, read: m.ReadMachineTypes) -> None:
        """Replace the known types; those of an answer that can't be used may still be offered as they were."""
        self.ctx.has_unusable_types = bool(read.unusable)
        if read.unusable:
            log.error("unusable machine types: %s", "; ".join(read.unusable))
        else:
            self.ctx.machine_types.clear()
        self.ctx.machine_types.update({machine_type.label: machine_type for machine_type in read.types})
        machine_records = self.ctx.cache.by_kind[RecordKind.MACHINE]
        for shard in self.shards.values():
            for worker in shard.workers.values():
                record = machine_records.get(worker.name)
                if record is not None:
                    worker.type = self.ctx.machine_types.get(record.type, worker.type)
            shard.needs_placement = True
