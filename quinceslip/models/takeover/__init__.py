"""Model checker for the failover of one shard: its leaders and workers, explored exhaustively to a given depth.

Real code: `Reconciler` (heartbeats, inheritance, ends of attempts) and `CommandSender` (answers to heartbeats, direct
commands). Modelled: workers that follow the protocol's rules for fencing tokens, epochs and leases (`workers`), a
network that delays heartbeats and direct commands without limit and loses answers (`network`), leaders that crash and
are succeeded under a higher term (`leader`), and a key-value store that keeps the results of tasks (`store`): it may
apply an unanswered write at any later time, if its conditions (the versions of the shard's and the job's records)
still hold. Placement is unrestricted: a pending task may go to any worker that has shown the term.

Checked in every state: no task runs on two workers, no task starts after its result was recorded, no worker drops a
result before it was recorded, and every task can still be completed once no more faults occur.

States are rebuilt by replaying their history from the initial state, so that pending callbacks are real closures, too.
Terms, attempt numbers and sequence numbers are compared by order only (`state_key`), so histories that differ in
nothing else lead to the same state.
"""

from quinceslip.models.takeover.search import explore
from quinceslip.models.takeover.steps import parse_steps

__all__ = ["explore", "parse_steps"]
