"""Lines that describe the world and play it."""

from functools import partial
from typing import Any

from tests.scenario.state import Action, InitialMachines, RunnerState
from tests.simulation.checks.answers import MAX_SILENCE_S
from tests.simulation.checks.starvation import MAX_STARVATION_S
from tests.simulation.clock import SECOND_US
from tests.simulation.world import World


class WorldSetup(RunnerState):
    """Lines that describe the world and play it."""

    def do_seed(self, plain: list[str], named: dict[str, Any]) -> None:
        """seed N: of all random draws"""
        self.seed = int(plain[0])

    def do_site(self, plain: list[str], named: dict[str, Any]) -> None:
        """site [size=N] [zones=A,B] [list_lag=S] [report=S] [lease=S] [cancel=S] [next_LIMIT=N]: facts of the site"""
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
        """team NAME [cpus_max=N] ...: a team, with the fields of the settings"""
        self.facts["teams"].append({"name": plain[0], **named})

    def do_tree(self, plain: list[str], named: dict[str, Any]) -> None:
        """tree version=N: quotas are on; `level` lines say what it has"""
        self.operators["quota"] = {k: str(v) for k, v in named.items()}

    def do_level(self, plain: list[str], named: dict[str, Any]) -> None:
        """level NAME parent=P cpus_max=N ...: a section of the operators' file; teams it names exist"""
        self.operators[f"quota {plain[0]}"] = {k: str(v) for k, v in named.items()}
        for team in str(named.get("teams", "")).split(","):
            if team and team not in [t["name"] for t in self.facts["teams"]]:
                self.facts["teams"].append({"name": team})

    def do_levels_many(self, plain: list[str], named: dict[str, Any]) -> None:
        """levels_many PARENT COUNT ...: a level for each of so many teams, t-1, t-2, ..."""
        for number in range(1, int(plain[1]) + 1):
            self.facts["teams"].append({"name": f"t-{number}"})
            self.operators[f"quota t-{number}"] = {"parent": plain[0], **{k: str(v) for k, v in named.items()}}

    def on_tree(self, args: list[str], named: dict[str, Any]) -> None:
        """tree NAME version=N LEVEL.KEY=VALUE ...: a controller's own file, read at its next start"""
        operators = self.w().controllers[args[0]].operators
        for key, given in named.items():
            level, _, name = key.rpartition(".")
            operators.read_dict({f"quota {level}" if level else "quota": {name: str(given)}})

    def do_type(self, plain: list[str], named: dict[str, Any]) -> None:
        """type NAME [cpus=N] [gpus=N] [memory=GB] [boot=S] [price=P] [spot_price=P] ...: a type of machine"""
        made = {
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
        names = {"cpus": "vcpus", "memory": "memGb", "boot": "startupS", "spot_price": "lowPrice"}
        self.types.append({**made, **{names.get(k, k): v for k, v in named.items()}})

    def do_machines(self, plain: list[str], named: dict[str, Any]) -> None:
        """machines COUNT TYPE ZONE [spot]: machines that run from the start"""
        self.initial.append(InitialMachines(int(plain[0]), plain[1], plain[2], "spot" in plain))

    def do_objective(self, plain: list[str], named: dict[str, Any]) -> None:
        """objective KIND CLASS within=S share=P: what users ask of a class"""
        self.facts.setdefault("objectives", []).append(
            {
                "kind": plain[0],
                "class": plain[1],
                "within_s": float(named.get("within", 0)),
                "share": named.get("share", 1.0),
                "times": float(named.get("times", 1)),
            }
        )

    def do_cloud_full(self, plain: list[str], named: dict[str, Any]) -> None:
        """cloud_full: no machine is to be had"""
        self.full = True

    def do_at(self, plain: list[str], named: dict[str, Any]) -> None:
        """at T VERB ...: an `on_` verb happens at that second"""
        self.actions.append(Action(float(plain[0]), plain[1], plain[2:], {**named}))

    def do_errors(self, plain: list[str], named: dict[str, Any]) -> None:
        """errors TEXT: such lines may be in the log; any other line at this level fails the scenario"""
        self.errors_expected.append(" ".join(plain))

    def do_old(self, plain: list[str], named: dict[str, Any]) -> None:
        """old NAME...: these start with the version before this one"""
        self.old += plain

    def do_unserved(self, plain: list[str], named: dict[str, Any]) -> None:
        """unserved WHY: capacity, caps or priorities keep part of the work from ever being served"""
        self.excused = " ".join(plain)

    def do_broken(self, plain: list[str], named: dict[str, Any]) -> None:
        """broken RULE: the checker must catch a breach of this rule, or the scenario fails"""
        self.expect_broken = plain[0]

    def do_run(self, plain: list[str], named: dict[str, Any]) -> None:
        """run T|calm: play up to that second; calm: until all troubles are over and their effects would show"""
        if self.world is None:
            self.world = self._make_world()
        world = self.world
        for at_s, verb, args, given in self.actions:
            world.after(max(1, at_s * SECOND_US - world.now_us), partial(self.obey, "on_" + verb, args, given))
        last_us = max((int(action.at_s * SECOND_US) for action in self.actions), default=0)
        self.actions = []
        if plain[0] == "calm":
            # To the end of all troubles, and on until everything must be served and a silence would be noticed.
            world.run(max(last_us, world.now_us) + 1)
            wait_us = (
                max(world.completion_bound_us(), MAX_SILENCE_S * SECOND_US, MAX_STARVATION_S * SECOND_US) + SECOND_US
            )
            world.run(max(world.last_fault_end_us, world.now_us) + wait_us)
        else:
            world.run(int(float(plain[0]) * SECOND_US))

    def _make_world(self) -> World:
        """The world that the lines so far describe, at its start."""
        if not self.types:
            self.do_type(["m"], {})
        world = World(self.facts, self.types, self.seed, self.operators)
        world.trace = self.trace
        for name in self.old:
            world.controllers[name].runs_previous_version = True
        if self.full:
            world.cloud.capacity = 0
        for machines in self.initial:
            for _ in range(machines.number):
                world.cloud.start(machines.kind, machines.zone, machines.spot, 0)
        return world
