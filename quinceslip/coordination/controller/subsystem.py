"""The interface through which a further subsystem takes part in a controller's actor.

A subsystem owns its own records and state. It gets the actor's messages through these methods, in the actor's thread,
acts through `Context` like every other part, and does no I/O of its own. Where it is switched off it is not made at
all, so nothing of it is loaded.
"""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.protocol import messages as m

if TYPE_CHECKING:
    from quinceslip.coordination.shard.shard import Shard


class Subsystem:
    """Does nothing at every point; each subsystem overrides what concerns it."""

    #: kinds of records it owns (the part of a key after PREFIX), with their types; no other part writes them
    kinds: Mapping[str, Any] = {}
    #: questions to this controller that it answers, by the last part of their path
    questions: tuple[str, ...] = ()

    def shard_gained(self, shard: "Shard") -> None:
        """This controller leads a shard, after a start or a failover."""

    def shard_lost(self, index: int) -> None:
        """This controller no longer leads a shard."""

    def record_changed(self, kind: str, name: str) -> None:
        """One of its records changed in the cache."""

    def tick(self) -> None:
        """About ten times a second."""

    def batch_ended(self) -> None:
        """A batch of messages was handled and every shard has placed what it can."""

    def rejection_reason(self, spec: m.JobSpec) -> str | None:
        """Why a job can never run, for the 422 to its user; None if it may run."""
        return None

    def answer(self, question: str, after: str) -> Any:
        """The answer to one of `questions`; `after` continues a page."""
        return None


#: makes a subsystem out of what a controller shares with it: the context, its leadership, and the shards that it leads
SubsystemFactory = Callable[[Context, LeaderElection, "dict[int, Shard]"], Subsystem]
