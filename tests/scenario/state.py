"""State shared by the lines of one scenario."""

from collections.abc import Callable
from typing import Any, NamedTuple

from tests.scenario.fields import Options
from tests.simulation.controller import SimulatedController
from tests.simulation.tracing import Trace
from tests.simulation.world import World


class InitialMachines(NamedTuple):
    """A group of machines that run from the start."""

    number: int
    kind: str
    zone: str
    spot: bool


class Action(NamedTuple):
    """A scheduled action, from a line `at T VERB ...`."""

    at_s: float
    verb: str
    args: list[str]
    named: dict[str, Any]


class OpenPoll(NamedTuple):
    """A poll without an answer yet: the controller that received it, and which start of its process that was."""

    controller: SimulatedController
    incarnation: int


class RunnerState:
    """State of one run, shared by all lines."""

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
        # Description of the world, complete before the first `run`.
        self.types: list[dict[str, Any]] = []
        self.initial: list[InitialMachines] = []
        self.seed = 1
        self.operators: dict[str, dict[str, str]] = {}  # sections of the operators' file
        self.previous_version_labels: list[str] = []  # controllers that start with the previous version
        self.no_cloud_capacity = False
        self.actions: list[Action] = []
        self.world: World | None = None
        self.trace: Trace | None = None
        # Expectations of the run.
        self.expected_breach: str | None = None  # rule of which the checker must detect a breach
        self.unserved_reason = ""  # why work may remain unserved at the end; empty if it may not
        self.errors: list[str] = []  # logged by controllers
        self.errors_expected: list[str] = []
        # Answers to users, by job.
        self.statuses: dict[str, list[int]] = {}  # HTTP status codes
        self.reasons: dict[str, Any] = {}  # bodies of refusals
        self.whys: dict[str, dict[str, str]] = {}  # by controller: field `why` of its latest answer
        self.open_polls: dict[tuple[int, str], OpenPoll] = {}  # by time of the request and job
        self.slowest_poll_us = 0  # longest time to answer a poll
        self.baseline: dict[str, Any] = {}  # counters at the last line `reset_counters`

    def w(self) -> World:
        """Return the world, which exists from the first `run` on."""
        assert self.world is not None
        return self.world

    def ask(
        self, verb: str, job_id: str, on_answer: Callable[[int, Any], None], spec: Any = None, via: str = ""
    ) -> None:
        """Send a user's request to the running controller `via`, or to any if that is empty."""
        running = [h for h in self.w().controllers.values() if h.actor is not None and via in ("", h.label)]
        if not running:
            return
        controller, sent_us = self.w().random.choice(running), self.w().now_us
        if verb == "poll":
            self.open_polls[sent_us, job_id] = OpenPoll(controller, controller.incarnation)

        def answered(status: int, body: Any) -> None:
            if self.open_polls.pop((sent_us, job_id), None):
                self.slowest_poll_us = max(self.slowest_poll_us, self.w().now_us - sent_us)
            self.w().checker.answers.request_sent_us = sent_us
            on_answer(status, body)
            self.w().checker.answers.request_sent_us = None

        controller.receive_user_request(verb, job_id, answered, spec)

    def execute(self, verb: str, plain: list[str], named: dict[str, Any]) -> None:
        """Call a verb's method. Raises AttributeError for an unknown verb, AssertionError for an unknown option."""
        options = Options(named)
        getattr(self, verb)(plain, options)
        assert not options.unused, f"{verb}: unknown options {sorted(options.unused)}"

    def _workers_examined(self) -> int:
        """Return how many workers placement has examined, over all controllers."""
        return sum(
            s.placement.workers_examined
            for h in self.w().controllers.values()
            if h.actor
            for s in h.actor.shards.values()
        )
