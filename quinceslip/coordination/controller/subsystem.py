"""The interface of optional subsystems of a controller's actor.

A subsystem owns its own records and state. It receives the actor's messages through these methods, in the actor's
thread, acts through `Context` like every other component, and does no I/O itself. A subsystem that is switched off is
not created, so none of its code is loaded.
"""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.protocol import messages as m

if TYPE_CHECKING:
    from quinceslip.coordination.shard.shard import Shard


class Subsystem:
    """Base class whose methods do nothing; each subsystem overrides those that it needs."""

    #: kinds of records it owns (the part of a key after PREFIX), with their types; no other component writes them
    kinds: Mapping[str, Any] = {}
    #: queries to this controller that it answers, by the last segment of their path
    questions: tuple[str, ...] = ()

    def shard_gained(self, shard: "Shard") -> None:
        """Called when this controller starts to lead a shard, after a start or a failover."""

    def shard_lost(self, index: int) -> None:
        """Called when this controller stops leading a shard."""

    def record_changed(self, kind: str, name: str) -> None:
        """Called when one of its records changed in the cache."""

    def tick(self) -> None:
        """Called about ten times a second."""

    def batch_ended(self) -> None:
        """Called when a batch of messages is handled and every shard has placed what it can."""

    def rejection_reason(self, spec: m.JobSpec) -> str | None:
        """Return why a job can never run, for the 422 to its user; None if it may run."""
        return None

    def answer(self, question: str, after: str) -> Any:
        """Return the answer to one of `questions`; `after` says where the next page starts."""
        return None


#: creates a subsystem from what a controller shares with it: the context, the election, and the shards that it leads
SubsystemFactory = Callable[[Context, LeaderElection, "dict[int, Shard]"], Subsystem]
