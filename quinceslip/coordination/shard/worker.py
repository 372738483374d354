"""Workers of a shard and the attempts that may be on them."""

from dataclasses import dataclass, field

from quinceslip.coordination.reconciliation.delivery import DeliveryTracker
from quinceslip.protocol import messages as m

EPSILON = 1e-6


@dataclass(slots=True, eq=False)
class Attempt:
    job_id: str
    index: int
    number: int
    spec: m.JobSpec
    worker: str
    sent_us: int
    observed: bool = False
    state: str = ""
    running_us: int = 0
    end_cause: str = ""  # cause, once it has exited
    stopping: bool = False
    grace_s: float = 0.0
    direct_call_open: bool = False  # a /do with its launch is in flight
    unanswered_term: int = 0  # a /do with its launch was never answered, sent under this term
    sent: bool = False  # its launch or halt went out already
    counted_usage: tuple[int, int, int, int] | None = None  # what quotas count of it
    counted_as_stopping: bool = False  # quotas count it among what was told to stop
    name: str = ""
    priority: int = 0

    def __post_init__(self) -> None:
        self.name = f"{self.job_id}/{self.index}"
        self.priority = self.spec.priority


@dataclass(slots=True, eq=False)
class Worker:
    name: str
    type: m.MachineType | None
    zone: str
    spot: bool
    endpoint: str = ""
    epoch: int = 0
    seq: int = 0
    last_own_heartbeat: tuple[int, int] = (0, 0)  # session and number of the last report of its own accord
    fencing_token: int = 0
    notice_us: int = 0
    lease_renewed_us: int = 0
    predecessor_renewed_us: int = 0  # the last answer of an earlier owner came by then
    unanswered: bool = False  # its last report was not answered, since it hears nothing
    last_contact_us: int = 0
    last_heartbeat_us: int = 0  # last report of its own accord
    registered_us: int = 0
    fenced: bool = False
    lease_expired: bool = False
    draining: str = ""
    deleting: bool = False
    command_open: bool = False  # a /do is in flight
    idle_us: int = 0
    reported_tasks: dict[str, m.TaskStatus] = field(default_factory=dict)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)
    task_failures: int = 0
    registered: bool = False  # its roster record says that it may hold tasks
    registering: bool = False
    delivery: DeliveryTracker = field(default_factory=DeliveryTracker)  # what it has proven to hear of us
    probing: bool = False
    next_probe_us: int = 0
    # Sums over the attempts that have not ended.
    running: int = 0
    used_cpus: float = 0.0
    used_gpus: float = 0.0
    used_memory_gb: float = 0.0
    production_cpus: float = 0.0  # of what a service may not preempt
    service_cpus: float = 0.0
    service_tasks: int = 0

    def add_usage(self, spec: m.JobSpec, by: int) -> None:
        self.running += by
        if not self.running:
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
        return [a for a in self.attempts.values() if not a.end_cause]

    def service_room(self) -> float:
        """CPUs that are free or held by what a service may preempt."""
        return self.type.cpus - self.production_cpus if self.type is not None else 0.0

    def free(self) -> tuple[float, float, float]:
        if self.type is None:
            return (0.0, 0.0, 0.0)
        return (
            self.type.cpus - self.used_cpus,
            self.type.gpus - self.used_gpus,
            self.type.memory_gb - self.used_memory_gb,
        )


def fits(free: tuple[float, float, float], spec: m.JobSpec) -> bool:
    return free[0] >= spec.cpus - EPSILON and free[1] >= spec.gpus - EPSILON and free[2] >= spec.memory_gb - EPSILON
