"""Explores exhaustively, to a stated depth, what the leader of one shard and its workers can do to each other.

Real: `Reconciler` (heartbeats, inheritance, ends of attempts) and `CommandSender` (answers to heartbeats, direct
commands). Modelled: workers that keep to the protocol's fencing tokens, epochs and leases (`workers`), a network that
delays heartbeats and direct commands without limit and loses answers (`network`), leaders that crash and are followed
by another one under a higher term (`leader`), and a key-value store that keeps the results of tasks (`store`): it
applies writes that were never answered at any time, if their conditions (the versions of the shard's and of the job's
record) still hold. Placement is free: a pending task may go to any worker that has shown the term.

Checked in every state: no task runs on two workers, none is started after its result was recorded, no result is
dropped by its worker before that, and every task can still be completed from there once no more faults occur.

States are rebuilt by playing their history from the start, so that pending callbacks are as real as the rest. Terms,
attempts and sequence numbers count by their order only (`state_key`), so histories that differ in nothing else lead
to one state.
"""

from quinceslip.models.takeover.search import explore
from quinceslip.models.takeover.steps import parse_steps

__all__ = ["explore", "parse_steps"]
