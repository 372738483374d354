"""Workers of a shard and the attempts that may be on them."""

from dataclasses import dataclass, field

from quinceslip.coordination.shard_state.delivery import DeliveryTracker
from quinceslip.protocol import messages as m

#: differences of resource amounts below this come from rounding
EPSILON = 1e-6

#: amounts of CPUs, GPUs and memory in GB
Resources = tuple[float, float, float]

NO_RESOURCES: Resources = (0.0, 0.0, 0.0)


@dataclass(slots=True, eq=False)
class Attempt:
    """One launch of a task on one worker; compared by identity."""

    job_id: str
    index: int  # of the task in its job
    number: int  # rises with each attempt of a task, across terms too
    spec: m.JobSpec
    worker: str  # name of the worker that its launch is pinned to
    sent_us: int  # when it was decided, or first reported by its worker
    observed: bool = False  # its worker has reported it
    state: str = ""  # as last reported
    running_since_us: int = 0  # when it was first reported as running; 0: not yet
    end_cause: str = ""  # cause, once it has exited
    stopping: bool = False  # it is to be stopped
    grace_s: float = 0.0  # what it gets to save its progress when it is stopped
    direct_call_open: bool = False  # a direct command with its launch is in flight
    unanswered_call_term: int = 0  # a direct command with its launch was never answered, given up under this term
    answered_by_other_machine: bool = (
        False  # one was carried out by another machine, which has the worker's address now
    )
    given_up_us: int = 0  # when the last of these two was learnt
    sent: bool = False  # its launch or stop was sent already
    counted_usage: tuple[int, int, int, int] | None = None  # what quotas count of it
    counted_as_stopping: bool = False  # quotas count it among those that are stopping
    name: str = ""  # JOB/INDEX, as on the wire
    priority: int = 0  # priority class of its job when it was launched

    def __post_init__(self) -> None:
        """Derive what is asked for often."""
        self.name = f"{self.job_id}/{self.index}"
        self.priority = self.spec.priority


@dataclass(slots=True, eq=False)
class Worker:
    """One machine of a shard: what it reported, what it was sent, and what is on it; compared by identity.

    Fields stand in groups by what writes them; a comment names the writer where it is another one. Times are those of
    the actor's clock.
    """

    # From the machine registry and the worker's own heartbeats.
    name: str
    type: m.MachineType | None  # None: of a type that is not known (yet), so it gets no tasks
    zone: str
    spot: bool  # may be reclaimed by the cloud at any time
    endpoint: str = ""  # address for direct commands

    # Reconciliation: the latest heartbeat that was applied.
    epoch: int = 0  # agent epoch: rises when the agent starts anew or its lease expires
    seq: int = 0  # number within the epoch
    last_own_heartbeat: tuple[int, int] = (0, 0)  # epoch and number of the last one that was no direct reply
    fencing_token: int = 0  # the highest term that it has seen
    notice_us: int = 0  # when the cloud reclaims it, by its own notice; 0: no notice

    # Reconciliation: its lease, and proof of contact.
    lease_renewed_us: int = 0  # nothing renewed its lease later than this
    predecessor_renewed_us: int = 0  # the last answer of an earlier leader was given by then
    heartbeat_unanswered: bool = False  # its last heartbeat got no answer, since none reaches it
    last_contact_us: int = 0  # last heartbeat or direct reply
    last_heartbeat_us: int = 0  # last heartbeat that was no direct reply; written by the heartbeat receiver
    registered_us: int = 0  # when it joined the shard; written by the registration
    fenced: bool = False  # it has shown our term, so it drops what earlier leaders sent
    lease_expired: bool = False  # nothing of ours can run on it until it starts a new epoch

    # Autoscaling and consolidation.
    draining: str = ""  # why it gets no new tasks (by a reclaim notice: the reconciler); empty: it is not drained
    deleting: bool = False  # the cloud was asked to delete it
    command_open: bool = False  # a direct command is in flight; written by the command sender
    idle_since_us: int = 0  # it has had no attempts since then; written by the silence check

    # Reconciliation: tasks and images on it.
    reported_tasks: dict[str, m.TaskStatus] = field(default_factory=dict)  # by name, as last reported
    attempts: dict[str, Attempt] = field(default_factory=dict)  # by name; written by the shard state
    odd_task_names: set[str] = field(default_factory=set)  # reported and logged; written by the adoption of tasks
    images: dict[str, float] = field(default_factory=dict)  # cached images, least recently used first, in GB
    task_failures: int = 0  # failures here of tasks whose jobs are sound

    # Registration.
    registered: bool = False  # its registry record says that it may hold tasks

    # Delivery and probes, written by the command sender and the connectivity watch.
    delivery: DeliveryTracker = field(default_factory=DeliveryTracker)  # which of our answers it has acknowledged
    probing: bool = False  # a probe is in flight
    next_probe_us: int = 0  # not before then

    # Sums over the attempts that have not ended; written by `add_usage` alone.
    live_attempt_count: int = 0
    used_cpus: float = 0.0
    used_gpus: float = 0.0
    used_memory_gb: float = 0.0
    production_cpus: float = 0.0  # of the highest priority class, which a service may not preempt
    service_cpus: float = 0.0
    service_tasks: int = 0

    def add_usage(self, spec: m.JobSpec, by: int) -> None:
        """Count an attempt that begins to take room (`by` = 1), or one that ends (`by` = -1)."""
        self.running += by
        if not self.live_attempt_count:
            # Sums of decimal amounts drift; an empty machine is exactly empty.
            self.used_cpus = self.used_gpus = self.used_memory_gb = 0.0
            self.production_cpus = self.service_cpus = 0.0
            self.service_tasks = 0
            return
        self.used_cpus += by * spec.cpus
        self.used_gpus += by * spec.gpus
        self.used_memory_gb += by * spec.memory_gb
        if spec.priority == 0:
            self.production_cpus += by * spec.cpus
        if spec.service:
            self.service_cpus += by * spec.cpus
            self.service_tasks += by

    def live_attempts(self) -> list[Attempt]:
        """Attempts that have not ended."""
        return [attempt for attempt in self.attempts.values() if not attempt.end_cause]

    def service_room(self) -> float:
        """CPUs that are free or used by what a service may preempt."""
        return self.type.cpus - self.production_cpus if self.type is not None else 0.0

    def free(self) -> Resources:
        """What no attempt takes; nothing where the machine type is not known."""
        if self.type is None:
            return NO_RESOURCES
        return (
            self.type.cpus - self.used_cpus,
            self.type.gpus - self.used_gpus,
            self.type.memory_gb - self.used_memory_gb,
        )


def fits(free: Resources, spec: m.JobSpec) -> bool:
    """Whether one task of the job has room in `free`."""
    return free[0] >= spec.cpus - EPSILON and free[1] >= spec.gpus - EPSILON and free[2] >= spec.memory_gb - EPSILON
