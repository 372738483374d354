"""What the parts of a controller's actor share: settings, clocks, the cache, and access to the outside world."""

from collections.abc import Callable

from quinceslip.coordination.actor.compare_and_swap import CompareAndSwapCallback, StoreWriter
from quinceslip.coordination.actor.timing import SECOND, Timing, micros
from quinceslip.dependencies.graph import DependencyGraph
from quinceslip.dependencies.urgency import Urgency as JobUrgency
from quinceslip.liveness import stall_records
from quinceslip.protocol import messages
from quinceslip.protocol.settings import Settings, Team, Tuning

#: a job takes so long beside its tasks and its image: the writes at both ends
JOB_OVERHEAD_US = 2 * SECOND
#: assumed rate of fetching images while no machine type is known, and the least that is reckoned with
DEFAULT_FETCH_GB_PER_S = 1.0
MIN_FETCH_GB_PER_S = 0.01

#: the name from before `compare_and_swap` became a module
CompareAndSwapDone = CompareAndSwapCallback


class Context(StoreWriter):
    """Shared by the parts of one controller; owned by its one actor thread.

    The parts call the outside world through it (`calls`), write to the store (`compare_and_swap`), and read here what
    concerns them all. Times are microseconds of the steady clock, except for `wall_us`.
    """

    def __init__(self, settings: Settings, tuning: Tuning, now_us: int, wall_us: int) -> None:
        super().__init__(now_us, micros(tuning.request_timeout_s), settings.facts.state.lasting())
        self.settings = settings
        self.tuning = tuning
        self.timing = Timing(settings)
        self.started_us = now_us
        self.wall_offset_us = wall_us - now_us
        self.teams = {team.name: team for team in settings.facts.teams}
        #: the cloud's machine types by label, and those of them on which services start soon enough
        self.machine_types: dict[str, messages.MachineType] = {}
        self.quick_types: set[str] = set()
        self.graph = DependencyGraph(self.cache.job, self._job_urgency, self.expected_duration_us)
        #: whether all controllers act by a level (`quinceslip.feature_gate`)
        self.feature_active: Callable[[int], bool] = lambda level: False
        #: the part of the tick that runs, for whoever sees the actor stall
        self.active_part = ""
        self.records_applied = 0

    @property
    def wall_us(self) -> int:
        """The wall clock at the message that is being handled."""
        return self.now_us + self.wall_offset_us

    def team(self, name: str) -> Team | None:
        """A team by its name; None if the settings have none of that name."""
        return self.teams.get(name)

    def starts_quickly(self, machine_type: messages.MachineType | None) -> bool:
        """Whether services start there soon enough; on any type, where none is quick."""
        return machine_type is not None and (not self.quick_types or machine_type.label in self.quick_types)

    # What the dependency graph asks of a job: as it is before anything runs, by the estimates of the jobs' owners.

    def _job_urgency(self, spec: messages.JobSpec, at_us: int) -> JobUrgency:
        """The urgency of a job that was accepted at `at_us`, apart from the jobs that need it.

        Of its due times, only those that count from its submission: the others start with the job.
        """
        due_times_us = tuple(at_us + micros(due_s) for due_s in self._due_times_s(spec))
        return JobUrgency(spec.priority, due_times_us)

    def _due_times_s(self, spec: messages.JobSpec) -> list[float]:
        """The deadline of a job and its multiples that service-level objectives name, in order."""
        if spec.deadline_s is None:
            return []
        due_times_s = {spec.deadline_s}
        for objective in self.settings.facts.objectives:
            if objective.kind == "deadline" and objective.job_class == spec.job_class:
                due_times_s.add(spec.deadline_s * objective.times)
        return sorted(due_times_s)

    def expected_duration_us(self, spec: messages.JobSpec) -> int:
        """How long a job takes once it may start: its image, its tasks, the writes at both ends.

        The estimate counts as it is: a longer time would make whatever comes before an urgent job as urgent at once.
        """
        rates = (machine_type.fetch_gb_per_s for machine_type in self.machine_types.values())
        slowest = max(min(rates, default=DEFAULT_FETCH_GB_PER_S), MIN_FETCH_GB_PER_S)
        return micros(spec.estimated_run_s + spec.image_gb / slowest) + JOB_OVERHEAD_US

    # Liveness.

    def is_suspended(self, part: str) -> bool:
        """Whether this controller stalled in that part so lately that it is left out (`liveness.stall_records`)."""
        note = self.cache.by_kind["standstill"].get(self.settings.label)
        return stall_records.is_suspended(note, part, self.wall_us, self.timing.worker_lease_us)

    def progress_count(self) -> int:
        """Grows while a long message is handled: a listing of all records is no stall."""
        return self.cache.records_taken + self.records_applied
