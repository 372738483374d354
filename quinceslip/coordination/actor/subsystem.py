"""The one way in which a further subsystem hangs on a controller's actor.

A subsystem owns its own records and state. It gets the actor's messages through these methods, in the
actor's thread, acts through `Context` like every other part, and does no I/O of its own. Where it is
switched off it is not made at all, so nothing of it is loaded.
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

    #: kinds of records it owns (the part of a key after PREFIX); no other part writes them
    kinds: Mapping[str, Any] = {}
    #: questions to this controller that it answers, by the last part of their path
    questions: tuple[str, ...] = ()

    def shard_gained(self, shard: "Shard") -> None:
        """A shard is ours, after a start or a takeover."""

    def shard_lost(self, index: int) -> None:
        """A shard is no longer ours."""

    def record_changed(self, kind: str, name: str) -> None:
        """One of its records changed in the view."""

    def tick(self) -> None:
        """About ten times a second."""

    def batch_ended(self) -> None:
        """A batch of messages was taken and every shard has placed what it can."""

    def never_runs_reason(self, spec: m.JobSpec) -> str | None:
        """Why a job can never run, for its 422; None if it may."""
        return None

    def answer(self, question: str, after: str) -> Any:
        """The answer to one of `questions`; `after` continues a page."""
        return None


#: makes a subsystem out of what a node shares with it: context, rights, and the shards that are its own
SubsystemFactory = Callable[[Context, LeaderElection, "dict[int, Shard]"], Subsystem]
