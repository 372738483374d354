"""Lines that describe the simulated world and run it."""

from functools import partial
from typing import Any

from tests.scenario.state import Action, InitialMachines, RunnerState
from tests.simulation.checks.answers import MAX_SILENCE_S
from tests.simulation.checks.starvation import MAX_STARVATION_S
from tests.simulation.clock import SECOND_US
from tests.simulation.world import World


class WorldSetup(RunnerState):
    """Lines that describe the simulated world and run it."""

    def do_seed(self, plain: list[str], named: dict[str, Any]) -> None:
        """seed N: the seed of the random generator"""
        self.seed = int(plain[0])

    def do_site(self, plain: list[str], named: dict[str, Any]) -> None:
        """site [size=N] [zones=A,B] [list_lag=S] [report=S] [lease=S] [cancel=S] [next_LIMIT=N]: site settings"""
        for key, given in named.items():
            if key == "zones":
                self.facts["zones"] = str(given).split(",")
            elif key == "size":
                self.facts["size"] = given
            elif key == "list_lag":
                self.facts["cloud"]["list_lag_s"] = float(given)
            elif key.startswith("next_"):
                self.facts["state"].setdefault("next", {})[key.removeprefix("next_")] = given
            else:
                self.facts["workers"][key + "_s"] = given

    def do_team(self, plain: list[str], named: dict[str, Any]) -> None:
        """team NAME [cpus_max=N] ...: add a team, with fields as in the settings"""
        self.facts["teams"].append({"name": plain[0], **named})

    def do_quota_tree(self, plain: list[str], named: dict[str, Any]) -> None:
        """quota_tree version=N: enable quotas; `quota_level` lines define the tree"""
        self.operators["quota"] = {k: str(v) for k, v in named.items()}

    def do_quota_level(self, plain: list[str], named: dict[str, Any]) -> None:
        """quota_level NAME parent=P cpus_max=N ...: add a section of the operators' file, and its teams"""
        self.operators[f"quota {plain[0]}"] = {k: str(v) for k, v in named.items()}
        for team in str(named.get("teams", "")).split(","):
            if team and team not in [t["name"] for t in self.facts["teams"]]:
                self.facts["teams"].append({"name": team})

    def do_quota_levels(self, plain: list[str], named: dict[str, Any]) -> None:
        """quota_levels PARENT COUNT ...: add COUNT teams t-1, t-2, ..., each with a level"""
        for number in range(1, int(plain[1]) + 1):
            self.facts["teams"].append({"name": f"t-{number}"})
            self.operators[f"quota t-{number}"] = {"parent": plain[0], **{k: str(v) for k, v in named.items()}}

    def on_quota_tree(self, args: list[str], named: dict[str, Any]) -> None:
        """quota_tree NAME version=N LEVEL.KEY=VALUE ...: edit the file that this controller reads at its next start"""
        operators = self.w().controllers[args[0]].operators
        for key, given in named.items():
            level, _, name = key.rpartition(".")
            operators.read_dict({f"quota {level}" if level else "quota": {name: str(given)}})

    def do_type(self, plain: list[str], named: dict[str, Any]) -> None:
        """type NAME [cpus=N] [gpus=N] [memory=GB] [boot=S] [price=P] [spot_price=P] ...: add a machine type"""
        defaults = {
            "label": plain[0],
            "vcpus": 16.0,
            "gpus": 0.0,
            "memGb": 64.0,
            "cacheGb": 50.0,
            "pullGbPerS": 1.0,
            "price": 1.0,
            "lowPrice": 0.4,
            "startupS": 5.0,
            "yards": self.facts["zones"],
        }
        field_names = {"cpus": "vcpus", "memory": "memGb", "boot": "startupS", "spot_price": "lowPrice"}
        self.types.append({**defaults, **{field_names.get(k, k): v for k, v in named.items()}})

    def do_machines(self, plain: list[str], named: dict[str, Any]) -> None:
        """machines COUNT TYPE ZONE [spot]: add machines that run from the start"""
        self.initial.append(InitialMachines(int(plain[0]), plain[1], plain[2], "spot" in plain))

    def do_objective(self, plain: list[str], named: dict[str, Any]) -> None:
        """objective KIND CLASS within=S share=P: set a service level objective of a class of jobs"""
        self.facts.setdefault("objectives", []).append(
            {
                "kind": plain[0],
                "class": plain[1],
                "within_s": float(named.get("within", 0)),
                "share": named.get("share", 1.0),
                "times": float(named.get("times", 1)),
            }
        )

    def do_no_cloud_capacity(self, plain: list[str], named: dict[str, Any]) -> None:
        """no_cloud_capacity: the cloud rents out no machines"""
        self.no_cloud_capacity = True

    def do_at(self, plain: list[str], named: dict[str, Any]) -> None:
        """at T VERB ...: schedule an `on_` verb at that second"""
        self.actions.append(Action(float(plain[0]), plain[1], plain[2:], {**named}))

    def do_errors(self, plain: list[str], named: dict[str, Any]) -> None:
        """errors TEXT: allow logged errors that contain this text; any other logged error fails the scenario"""
        self.errors_expected.append(" ".join(plain))

    def do_previous_version(self, plain: list[str], named: dict[str, Any]) -> None:
        """previous_version NAME...: these controllers start with the previous version"""
        self.previous_version_labels += plain

    def do_allow_unserved(self, plain: list[str], named: dict[str, Any]) -> None:
        """allow_unserved REASON: part of the work is never served, because of capacity, caps or priorities"""
        self.unserved_reason = " ".join(plain)

    def do_expect_breach(self, plain: list[str], named: dict[str, Any]) -> None:
        """expect_breach RULE: the scenario fails unless the checker detects a breach of this rule"""
        self.expected_breach = plain[0]

    def do_run(self, plain: list[str], named: dict[str, Any]) -> None:
        """run T|quiescent: run up to that second; or until all faults are over and their effects would have shown"""
        if self.world is None:
            self.world = self._make_world()
        world = self.world
        for at_s, verb, args, given in self.actions:
            world.after(max(1, at_s * SECOND_US - world.now_us), partial(self.execute, "on_" + verb, args, given))
        last_us = max((int(action.at_s * SECOND_US) for action in self.actions), default=0)
        self.actions = []
        if plain[0] == "quiescent":
            # Runs until all faults are over, then until all work must be served and a missing answer is detected.
            world.run(max(last_us, world.now_us) + 1)
            wait_us = (
                max(world.completion_bound_us(), MAX_SILENCE_S * SECOND_US, MAX_STARVATION_S * SECOND_US) + SECOND_US
            )
            world.run(max(world.last_fault_end_us, world.now_us) + wait_us)
        else:
            world.run(int(float(plain[0]) * SECOND_US))

    def _make_world(self) -> World:
        """Create the world that the lines so far describe."""
        if not self.types:
            self.do_type(["m"], {})
        world = World(self.facts, self.types, self.seed, self.operators)
        world.trace = self.trace
        for name in self.previous_version_labels:
            world.controllers[name].runs_previous_version = True
        if self.no_cloud_capacity:
            world.cloud.capacity = 0
        for machines in self.initial:
            for _ in range(machines.number):
                world.cloud.start(machines.kind, machines.zone, machines.spot, 0)
        return world
