"""Workers of a shard and the attempts that may be on them."""

from dataclasses import dataclass, field

from quinceslip.coordination.shard_state.amounts import NO_RESOURCES, Resources
from quinceslip.coordination.shard_state.delivery import DeliveryTracker
from quinceslip.coordination.shard_state.preemptible_work import PreemptibleWork
from quinceslip.protocol import messages as m

#: tolerance for rounding errors in resource amounts
EPSILON = 1e-6


@dataclass(slots=True, eq=False)
class Attempt:
    """One launch of a task on one worker; compared by identity."""

    job_id: str
    index: int  # of the task in its job
    number: int  # rises with each attempt of a task, across terms too
    spec: m.JobSpec
    worker: str  # name of the worker that the launch is pinned to
    created_us: int  # when it was created: by a placement decision, or on adoption
    observed: bool = False  # whether its worker has reported it
    state: str = ""  # last reported state
    running_since_us: int = 0  # when it was first reported as running; 0: not yet
    end_cause: str = ""  # why it ended; empty: it has not ended
    stopping: bool = False  # whether it is to be stopped
    grace_s: float = 0.0  # time to save its progress when it is stopped
    direct_call_open: bool = False  # a direct call with its launch is in flight
    direct_call_token: int = 0  # fencing token of the last direct call with its launch; 0: there was none
    unanswered_call_token: int = 0  # token of the worker when an unanswered call with its launch was given up; 0: none
    answered_by_other_machine: bool = False  # another machine at its address carried out its launch
    given_up_us: int = 0  # when the last such call was given up, or answered by another machine
    sent: bool = False  # its launch or stop has been sent
    withheld: bool = False  # not to be sent before all tasks of its gang have a machine
    counted_usage: tuple[int, int, int, int] | None = None  # its usage as counted by the quotas
    counted_as_stopping: bool = False  # counted as stopping by the quotas
    name: str = ""  # JOB/INDEX, as on the wire
    priority: int = 0  # priority class of its job at launch

    def __post_init__(self) -> None:
        """Cache derived values that are read often."""
        self.name = f"{self.job_id}/{self.index}"
        self.priority = self.spec.priority


@dataclass(slots=True, eq=False)
class Worker:
    """One machine of a shard, with its reports, what it was sent, and its tasks; compared by identity.

    Fields are grouped by the component that writes them; a comment names the writer of an exception. Times are by the
    actor's clock.
    """

    # From the machine registry and the worker's own heartbeats.
    name: str
    type: m.MachineType | None  # None: the type is not known (yet), so it gets no tasks
    zone: str
    spot: bool  # may be reclaimed by the cloud at any time
    endpoint: str = ""  # address for direct commands

    # Reconciliation: the latest heartbeat that was applied.
    epoch: int = 0  # agent epoch: rises when the agent restarts or its lease expires
    seq: int = 0  # sequence number within the epoch
    last_own_heartbeat: tuple[int, int] = (0, 0)  # epoch and sequence number of the last periodic one
    fencing_token: int = 0  # the highest fencing token that the worker has seen
    granted_fencing_token: int = 0  # the highest token given to it alone; 0: none; written by the shard state
    notice_us: int = 0  # when the cloud reclaims it, as announced to it; 0: no notice

    # Reconciliation: its lease, and proof of contact.
    lease_renewed_us: int = 0  # latest time at which its lease may have been renewed
    predecessor_renewed_us: int = 0  # latest time at which an earlier leader may have renewed it
    heartbeat_unanswered: bool = False  # its last heartbeat was not answered, as it is unreachable
    last_contact_us: int = 0  # time of the last heartbeat or direct reply
    last_heartbeat_us: int = 0  # time of the last periodic heartbeat; written by the heartbeat receiver
    registered_us: int = 0  # when it joined the shard; written by the registration
    fenced: bool = False  # it has shown a term of this leader, so it drops what earlier leaders sent
    lease_expired: bool = False  # no task can run on it until it starts a new epoch

    # Autoscaling and consolidation.
    draining: str = ""  # reason for draining; empty: not drained; for a reclaim notice written by the reconciler
    deleting: bool = False  # its deletion was requested from the cloud
    command_open: bool = False  # a direct call is in flight; written by the command sender
    idle_since_us: int = 0  # since when it has had no attempts; written by the silence check

    # Reconciliation: tasks and images on it.
    reported_tasks: dict[str, m.TaskStatus] = field(default_factory=dict)  # last reported statuses, by task name
    attempts: dict[str, Attempt] = field(default_factory=dict)  # by task name; written by the shard state
    unmatched_reports: int = 0  # number of reported tasks that none of the attempts stands for
    preemption_awaits_slots: bool = False  # work is not preempted before its heartbeats list fewer tasks
    invalid_task_names: set[str] = field(default_factory=set)  # already logged; written by the adoption of tasks
    images: dict[str, float] = field(default_factory=dict)  # sizes of cached images in GB, least recently used first
    task_failures: int = 0  # failures on it of tasks whose jobs are not in a crash loop

    # Registration.
    registered: bool = False  # whether its registry record says that it may hold tasks

    # Delivery and probes, written by the command sender and the connectivity watch.
    delivery: DeliveryTracker = field(default_factory=DeliveryTracker)  # whether it receives what it is sent
    probing: bool = False  # a probe is in flight
    next_probe_us: int = 0  # earliest time of the next probe

    # Sums over the attempts that have not ended; written only by `add_usage`.
    live_attempt_count: int = 0
    used_cpus: float = 0.0
    used_gpus: float = 0.0
    used_memory_gb: float = 0.0
    production_cpus: float = 0.0  # of tasks of the highest priority class, which a service may not preempt
    service_cpus: float = 0.0
    service_tasks: int = 0

    # Derived from the attempts; None: to be computed on the next use. Dropped by the shard state and the reconciler.
    _preemptible_work: PreemptibleWork | None = field(default=None, init=False, repr=False)

    def add_usage(self, spec: m.JobSpec, sign: int) -> None:
        """Add the usage of an attempt (`sign` = 1), or remove it when the attempt ends (`sign` = -1)."""
        self.live_attempt_count += sign
        if not self.live_attempt_count:
            # Floating-point sums drift: reset them to exactly zero on an empty machine.
            self.used_cpus = self.used_gpus = self.used_memory_gb = 0.0
            self.production_cpus = self.service_cpus = 0.0
            self.service_tasks = 0
            return
        self.used_cpus += sign * spec.cpus
        self.used_gpus += sign * spec.gpus
        self.used_memory_gb += sign * spec.memory_gb
        if spec.priority == 0:
            self.production_cpus += sign * spec.cpus
        if spec.service:
            self.service_cpus += sign * spec.cpus
            self.service_tasks += sign

    def live_attempts(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [attempt for attempt in self.attempts.values() if not attempt.end_cause]

    def preemptible_work(self) -> PreemptibleWork:
        """Return what may be stopped here for other tasks, kept until `attempts_changed` is called."""
        if self._preemptible_work is None:
            self._preemptible_work = PreemptibleWork(self.live_attempts())
        return self._preemptible_work

    def attempts_changed(self) -> None:
        """Note that an observed attempt was added, has ended, has begun to run or was removed."""
        self._preemptible_work = None

    def attempt_stopped(self, attempt: Attempt) -> None:
        """Note that an attempt on this machine is stopping, or that its grace period has become shorter."""
        if self._preemptible_work is not None and self.attempts.get(attempt.name) is attempt:
            self._preemptible_work.attempt_stopped(attempt)

    def service_room(self) -> float:
        """Return the CPUs that are free or used by tasks that a service may preempt."""
        return self.type.cpus - self.production_cpus if self.type is not None else 0.0

    def has_room_for(self, spec: m.JobSpec) -> bool:
        """Whether one task of the job fits beside the attempts that have not ended, and its heartbeats can list it."""
        return self.free_task_slots() > 0 and fits(self.free(), spec)

    def listed_tasks(self) -> int:
        """Return how many tasks its heartbeats list, those included that it was sent since the last one."""
        return len(self.attempts) + self.unmatched_reports

    def free_task_slots(self) -> int:
        """Return how many more tasks it may get without others being stopped for them; negative if it has too many."""
        return m.MAX_PLACED_TASKS - self.listed_tasks()

    def free(self) -> Resources:
        """Return the resources that no attempt takes; nothing if the machine type is unknown."""
        if self.type is None:
            return NO_RESOURCES
        return (
            self.type.cpus - self.used_cpus,
            self.type.gpus - self.used_gpus,
            self.type.memory_gb - self.used_memory_gb,
        )


def fits(free: Resources, spec: m.JobSpec) -> bool:
    """Whether one task of the job fits into the resources in `free`."""
    return free[0] >= spec.cpus - EPSILON and free[1] >= spec.gpus - EPSILON and free[2] >= spec.memory_gb - EPSILON
