"""Simulations of the key-value store and the cloud, as far as a steady fleet needs them."""

from typing import Any, NamedTuple

import msgspec

from quinceslip.coordination.actor import effects as fx
from quinceslip.protocol import messages as m

OK = 200
NOT_FOUND = 404
CONFLICT = 409
UNAVAILABLE = 503

LEASE_ID = 1


class Answer(NamedTuple):
    """The answer to a call: HTTP status and body."""

    status: int
    body: Any


class SimulatedStore:
    """A key-value store that commits every transaction whose conditions hold."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.revision = 0
        self.writes = 0
        self._mod_revisions: dict[str, int] = {}
        self._unwatched_changes: list[m.Event] = []  # changes that no watch has returned yet

    def answer(self, call: fx.Call) -> Answer:
        """Handle one call."""
        if call.path == m.PATH_TXN:
            return self._transaction(msgspec.json.decode(msgspec.json.encode(call.body)))
        if call.path.startswith(m.PATH_KV):
            return Answer(NOT_FOUND, {"ledger": self.revision})
        return Answer(OK, {"hold": LEASE_ID})

    def _transaction(self, body: dict[str, Any]) -> Answer:
        failed_keys = [c["k"] for c in body["if"] if self._mod_revisions.get(c["k"], 0) != c["stamp"]]
        if failed_keys:
            return Answer(CONFLICT, {"failed": failed_keys, "ledger": self.revision})
        changes = body.get("then", [])
        self.revision += bool(changes)
        for change in changes:
            self._apply(change)
        return Answer(OK, {"ledger": self.revision})

    def _apply(self, change: dict[str, Any]) -> None:
        self.writes += 1
        if "write" in change:
            key = change["write"]
            self._mod_revisions[key] = self.revision
            value = msgspec.Raw(msgspec.json.encode(change["v"]))
            self._unwatched_changes.append(m.Event(self.revision, put=key, value=value))
        elif self._mod_revisions.pop(change["drop"], None):
            self._unwatched_changes.append(m.Event(self.revision, delete=change["drop"]))

    def drain_changes(self) -> list[m.Event]:
        """Return the changes since the previous call."""
        changes, self._unwatched_changes = self._unwatched_changes, []
        return changes


class SimulatedCloud:
    """A cloud with one machine type, of which it has no capacity left."""

    def __init__(self, machine_type: m.MachineType) -> None:
        """Create a cloud that offers `machine_type` only."""
        self._type = machine_type

    def answer(self, call: fx.Call) -> Answer:
        """Handle one call."""
        if call.path == m.PATH_MACHINE_TYPES:
            return Answer(OK, m.MachineTypes([self._type]))
        if call.method == "GET":
            return Answer(OK, m.MachineListing([], False))
        return Answer(UNAVAILABLE, {"error": "no capacity"})
