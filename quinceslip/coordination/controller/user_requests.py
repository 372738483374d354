"""Requests of users, each dispatched by its verb to the component that answers it."""

from collections.abc import Callable, Sequence
from enum import StrEnum

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.effects import UserRequest
from quinceslip.coordination.controller.cancellations import Cancellations
from quinceslip.coordination.controller.job_status import JobStatusReader
from quinceslip.coordination.controller.polls import Polls
from quinceslip.coordination.controller.read_barrier import ReadBarrier
from quinceslip.coordination.controller.submissions import Submissions
from quinceslip.coordination.controller.subsystem import Subsystem
from quinceslip.coordination.load_balancing.load_balancer import LoadBalancer
from quinceslip.coordination.shard.shard import Shard


class UserVerb(StrEnum):
    """What a user asks for: the verb of a `UserRequest`."""

    SUBMIT = "submit"
    MALFORMED = "malformed"  # a submission that cannot be parsed, except for its job id
    POLL = "poll"
    CANCEL = "cancel"
    READY = "ready"  # whether users should be sent here


class UserRequests:
    """Answers the users of this controller."""

    def __init__(
        self,
        ctx: Context,
        shards: dict[int, Shard],
        load_balancer: LoadBalancer,
        subsystems: Sequence[Subsystem],
        is_ready: Callable[[], bool],
    ) -> None:
        self.ctx = ctx
        self.is_ready = is_ready
        status = JobStatusReader(ctx, shards)
        self.barrier = ReadBarrier(ctx)
        self.polls = Polls(ctx, status, self.barrier)
        self.submissions = Submissions(ctx, load_balancer, subsystems, status, self.polls)
        self.cancellations = Cancellations(ctx, status, self.barrier, self.polls)
        self._handlers: dict[str, Callable[[UserRequest], None]] = {
            UserVerb.SUBMIT: self._submit,
            UserVerb.MALFORMED: self._reject_malformed,
            UserVerb.POLL: self._poll,
            UserVerb.CANCEL: self._cancel,
            UserVerb.READY: self._reply_ready,
        }

    @property
    def read_barriers(self) -> int:
        """Number of reads started for read barriers so far."""
        return self.barrier.reads_started

    def handle(self, request: UserRequest) -> None:
        """Answer a request, at once or after the reads and writes that it needs."""
        self._handlers[request.verb](request)

    def tick(self) -> None:
        """Retry cancellations and continue requests that wait for a read barrier."""
        self.cancellations.tick()
        self.barrier.tick()

    def cache_advanced(self) -> None:
        """Called when the store cache has applied changes."""
        self.barrier.cache_advanced()

    def _submit(self, request: UserRequest) -> None:
        self.submissions.submit(request.request, request.spec)

    def _reject_malformed(self, request: UserRequest) -> None:
        self.polls.poll_or_error(request.request, request.job_id, 400, request.spec.reason)

    def _poll(self, request: UserRequest) -> None:
        self.polls.poll(request.request, request.job_id)

    def _cancel(self, request: UserRequest) -> None:
        self.cancellations.cancel(request.request, request.job_id)

    def _reply_ready(self, request: UserRequest) -> None:
        self.ctx.reply(request.request, 200 if self.is_ready() else 503)
