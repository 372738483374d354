"""The context that the parts of a controller share: settings, clocks, the cache, and outgoing calls."""

from collections.abc import Callable

from quinceslip.coordination.actor.compare_and_swap import StoreWriter
from quinceslip.coordination.actor.timing import SECOND, Timing, micros
from quinceslip.dependencies.graph import DependencyGraph
from quinceslip.dependencies.urgency import Urgency as JobUrgency
from quinceslip.liveness import stall_records
from quinceslip.protocol import messages
from quinceslip.protocol.settings import Settings, Team, Tuning
from quinceslip.storage.records import RecordKind

#: time that a job takes besides its tasks and its image: the writes at its start and end
JOB_OVERHEAD_US = 2 * SECOND
#: assumed rate of fetching images while no machine type is known, and the lower bound of the assumed rate
DEFAULT_FETCH_GB_PER_S = 1.0
MIN_FETCH_GB_PER_S = 0.01


class Context(StoreWriter):
    """State and services shared by the parts of one controller; owned by its actor thread.

    The parts send requests (`call`) and write to the store (`compare_and_swap`) through it, and read shared state
    from it. Times are microseconds of the monotonic clock, except for `wall_us`.
    """

    def __init__(self, settings: Settings, tuning: Tuning, now_us: int, wall_us: int) -> None:
        super().__init__(now_us, micros(tuning.request_timeout_s), settings.facts.state.lowest_limits())
        self.settings = settings
        self.tuning = tuning
        self.timing = Timing(settings)
        self.started_us = now_us
        self.wall_offset_us = wall_us - now_us
        self.teams = {team.name: team for team in settings.facts.teams}
        #: the cloud's machine types by label, and the labels of those on which services start fast enough
        self.machine_types: dict[str, messages.MachineType] = {}
        #: whether the cloud may offer types that are not known here, as it described some in a way that can't be used
        self.has_unusable_types = False
        self.quick_types: set[str] = set()
        self.graph = DependencyGraph(self.cache.job, self._job_urgency, self.expected_duration_us)
        #: whether a feature level is active in all controllers (`quinceslip.feature_gate`)
        self.feature_active: Callable[[int], bool] = lambda level: False
        #: the part of the tick that is running, for the watchdog's report of a stall
        self.active_part = ""
        self.records_applied = 0

    @property
    def wall_us(self) -> int:
        """The wall clock at the current message."""
        return self.now_us + self.wall_offset_us

    def team(self, name: str) -> Team | None:
        """The team of this name, or None if the settings have no such team."""
        return self.teams.get(name)

    def starts_quickly(self, machine_type: messages.MachineType | None) -> bool:
        """Whether services start fast enough on this type; true for any type while none is known to be fast."""
        return machine_type is not None and (not self.quick_types or machine_type.label in self.quick_types)

    # Callbacks of the dependency graph: a job before any of its tasks runs, by the estimates of its owner.

    def _job_urgency(self, spec: messages.JobSpec, accepted_us: int) -> JobUrgency:
        """The urgency of a job that was accepted at `accepted_us`, regardless of the jobs that depend on it.

        It covers only the due times that count from submission; others count from the start of the job.
        """
        due_times_us = tuple(accepted_us + micros(due_s) for due_s in self._due_times_s(spec))
        return JobUrgency(spec.priority, due_times_us)

    def _due_times_s(self, spec: messages.JobSpec) -> list[float]:
        """The deadline of a job, and its multiples in service-level objectives, in ascending order."""
        if spec.deadline_s is None:
            return []
        due_times_s = {spec.deadline_s}
        for objective in self.settings.facts.objectives:
            if objective.kind == "deadline" and objective.job_class == spec.job_class:
                due_times_s.add(spec.deadline_s * objective.times)
        return sorted(due_times_s)

    def expected_duration_us(self, spec: messages.JobSpec) -> int:
        """Expected duration of a job once it may start: its image, its tasks, and the writes at its start and end.

        The owner's estimate gets no margin: a longer one would make every job before an urgent job urgent at once.
        """
        fetch_rates = (machine_type.fetch_gb_per_s for machine_type in self.machine_types.values())
        lowest_rate = max(min(fetch_rates, default=DEFAULT_FETCH_GB_PER_S), MIN_FETCH_GB_PER_S)
        return micros(spec.estimated_run_s + spec.image_gb / lowest_rate) + JOB_OVERHEAD_US

    # Liveness.

    def is_suspended(self, part: str) -> bool:
        """Whether a part is skipped because this controller stalled in it recently (`liveness.stall_records`)."""
        stall_record = self.cache.by_kind[RecordKind.STALL].get(self.settings.label)
        return stall_records.is_suspended(stall_record, part, self.wall_us, self.timing.worker_lease_us)

    def progress_count(self) -> int:
        """A counter that grows while a long message is handled, so that a full listing is not taken for a stall."""
        return self.cache.records_decoded + self.records_applied
