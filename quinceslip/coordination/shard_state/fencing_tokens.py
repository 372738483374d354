"""Fencing tokens of one leadership: which token the messages to each worker carry.

A worker drops whatever carries a token below the highest that it has seen. A term comes with `TOKENS_PER_TERM` tokens,
so that a leader can make one worker drop earlier messages without claiming a higher term for the whole shard.
"""

from typing import TYPE_CHECKING

from quinceslip.coordination.leadership.claims import TOKENS_PER_TERM
from quinceslip.coordination.shard_state.worker import Attempt, Worker

if TYPE_CHECKING:
    from quinceslip.coordination.shard_state.state import ShardState


class FencingTokens:
    """The tokens that the leader of a shard gives to its workers. Owned by the shard state."""

    def __init__(self, state: "ShardState") -> None:
        self._state = state
        self._highest_of_launches = 0  # of a direct call with a launch; 0: there was none

    @property
    def last(self) -> int:
        """The highest token of the present term; every later term of any shard is above it."""
        return self._state.term + TOKENS_PER_TERM - 1

    def current(self, worker: Worker) -> int:
        """Return the token that messages to a worker carry now; it never falls."""
        return max(self._state.term, worker.granted_fencing_token, worker.fencing_token)

    def accepted_after(self, shown: int) -> int:
        """Return the lowest token of this term that is not below `shown`, or the last one if there is none."""
        return min(max(self._state.term, shown), self.last)

    def raise_above(self, worker: Worker, token: int) -> bool:
        """Let messages to a worker carry a token above `token`; returns False if that needs a higher term first.

        Once the worker has seen the new token, it drops every direct call with a lower one, however late it arrives.
        """
        if self.current(worker) > token:
            return True
        if token >= self.last:
            self._state.raise_term()
            return False
        worker.granted_fencing_token = token + 1
        return True

    def launch_called(self, attempt: Attempt, token: int) -> None:
        """Record the token of a direct call with a launch of the attempt."""
        attempt.direct_call_token = token
        self._highest_of_launches = max(self._highest_of_launches, token)

    def fence_new_worker(self, worker: Worker) -> None:
        """Let messages to a new machine carry a token above those of all direct calls with launches so far.

        It may have the address of a lost machine, where late copies of calls to that one may still arrive.
        """
        self.raise_above(worker, self._highest_of_launches)
