"""The state that the lines of one scenario share."""

from typing import Any

from tests.scenario.fields import Fields
from tests.simulation.tracing import Trace
from tests.simulation.world import World


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
        self.types: list[dict[str, Any]] = []
        self.initial: list[tuple[int, str, str, bool]] = []
        self.seed = 1
        self.world: World | None = None
        self.actions: list[tuple[float, str, list[str], dict[str, Any]]] = []
        self.statuses: dict[str, list[int]] = {}
        self.expect_broken: str | None = None
        self.excused = ""
        self.counted: dict[str, Any] = {}
        self.whys: dict[str, dict[str, str]] = {}  # by job, and by who was asked: what the latest answer says
        self.full = False
        self.operators: dict[str, dict[str, str]] = {}
        self.reasons: dict[str, Any] = {}
        self.open_polls: dict[tuple[int, str], tuple[Any, int]] = {}  # by when they were asked: of whom, in which life
        self.slowest_us = 0  # of all polls that were answered
        self.errors: list[str] = []  # what controllers logged as errors
        self.errors_expected: list[str] = []
        self.old: list[str] = []  # controllers that start with the version before
        self.trace: Trace | None = None

    def w(self) -> World:
        assert self.world is not None
        return self.world

    def ask(self, verb: str, job_id: str, heard: Any, spec: Any = None, by: str = "") -> None:
        alive = [h for h in self.w().controllers.values() if h.actor is not None and by in ("", h.label)]
        if not alive:
            return
        host, asked_us = self.w().random.choice(alive), self.w().now_us
        if verb == "poll":
            self.open_polls[asked_us, job_id] = (host, host.life)

        def answered(status: int, body: Any) -> None:
            if self.open_polls.pop((asked_us, job_id), None):
                self.slowest_us = max(self.slowest_us, self.w().now_us - asked_us)
            self.w().checker.answers.request_sent_us = asked_us
            heard(status, body)
            self.w().checker.answers.request_sent_us = None

        host.receive_user_request(verb, job_id, answered, spec)

    def obey(self, verb: str, plain: list[str], named: dict[str, Any]) -> None:
        """Raises AttributeError for an unknown verb, AssertionError for a field that it does not know."""
        fields = Fields(named)
        getattr(self, verb)(plain, fields)
        assert not fields.left, f"{verb}: unknown {sorted(fields.left)}"

    def _looked(self) -> int:
        """Workers that placement has looked at, by all controllers."""
        return sum(
            s.placement.workers_examined
            for h in self.w().controllers.values()
            if h.actor
            for s in h.actor.shards.values()
        )
