"""The state that the lines of one scenario share."""

from collections.abc import Callable
from typing import Any, NamedTuple

from tests.scenario.fields import Fields
from tests.simulation.controller import SimulatedController
from tests.simulation.tracing import Trace
from tests.simulation.world import World


class InitialMachines(NamedTuple):
    """Machines that run from the start."""

    number: int
    kind: str
    zone: str
    spot: bool


class Action(NamedTuple):
    """A line `at T VERB ...`."""

    at_s: float
    verb: str
    args: list[str]
    named: dict[str, Any]


class OpenPoll(NamedTuple):
    """A poll that waits for its answer: whom it asked, and in which life of the process."""

    controller: SimulatedController
    incarnation: int


class RunnerState:
    """The state of one run that all lines share."""

    def __init__(self) -> None:
        self.facts: dict[str, Any] = {
            "size": 3,
            "zones": ["a", "b"],
            "time_bound_ms": 5.0,
            "teams": [{"name": "team"}],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 35.0},
            "state": {"rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 8.0, "list_lag_s": 3.0},
        }
        # The world that lines describe before it is played.
        self.types: list[dict[str, Any]] = []
        self.initial: list[InitialMachines] = []
        self.seed = 1
        self.operators: dict[str, dict[str, str]] = {}  # sections of the operators' file
        self.old: list[str] = []  # controllers that start with the version before
        self.full = False  # the cloud has no machines to rent
        self.actions: list[Action] = []
        self.world: World | None = None
        self.trace: Trace | None = None
        # How the run is judged.
        self.expect_broken: str | None = None  # the rule that the checker must find broken
        self.excused = ""  # why the end of the run is not judged by what was served
        self.errors: list[str] = []  # what controllers logged as errors
        self.errors_expected: list[str] = []
        # What users were answered, by job.
        self.statuses: dict[str, list[int]] = {}  # each HTTP status
        self.reasons: dict[str, Any] = {}  # the body of the refusal
        self.whys: dict[str, dict[str, str]] = {}  # by who was asked: what the latest answer says beside the state
        self.open_polls: dict[tuple[int, str], OpenPoll] = {}  # by when they were asked, and the job
        self.slowest_us = 0  # of all polls that were answered
        self.counted: dict[str, Any] = {}  # figures at the last line `count`

    def w(self) -> World:
        """The world; there is one from the first `run` on."""
        assert self.world is not None
        return self.world

    def ask(
        self, verb: str, job_id: str, on_answer: Callable[[int, Any], None], spec: Any = None, by: str = ""
    ) -> None:
        """Send a user's request to a controller that is up: the one named by `by`, or any."""
        alive = [h for h in self.w().controllers.values() if h.actor is not None and by in ("", h.label)]
        if not alive:
            return
        controller, asked_us = self.w().random.choice(alive), self.w().now_us
        if verb == "poll":
            self.open_polls[asked_us, job_id] = OpenPoll(controller, controller.incarnation)

        def answered(status: int, body: Any) -> None:
            if self.open_polls.pop((asked_us, job_id), None):
                self.slowest_us = max(self.slowest_us, self.w().now_us - asked_us)
            self.w().checker.answers.request_sent_us = asked_us
            on_answer(status, body)
            self.w().checker.answers.request_sent_us = None

        controller.receive_user_request(verb, job_id, answered, spec)

    def obey(self, verb: str, plain: list[str], named: dict[str, Any]) -> None:
        """Raises AttributeError for an unknown verb, AssertionError for a field that it does not know."""
        fields = Fields(named)
        getattr(self, verb)(plain, fields)
        assert not fields.left, f"{verb}: unknown {sorted(fields.left)}"

    def _workers_examined(self) -> int:
        """Workers that placement has looked at, by all controllers."""
        return sum(
            s.placement.workers_examined
            for h in self.w().controllers.values()
            if h.actor
            for s in h.actor.shards.values()
        )
