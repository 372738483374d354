"""No level of the quota tree is ever over its cap, summed anew from what is on machines."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from tests.simulation.checks.observations import Observations
from tests.simulation.tasks import job_of

#: resources with a cap, and the field of a job's description that says what each of its tasks needs
RESOURCE_FIELDS = {"cpus": "vcpus", "gpus": "gpus", "memory_gb": "memGb"}
CAPPED_KINDS = [*RESOURCE_FIELDS, "tasks"]

#: sums of fractions of CPUs may be off by so much
ROUNDING = 1e-6
NO_CAP = 1e18


@dataclass
class QuotaTree:
    """The caps of each level by resource, and the parent of each level and team."""

    caps: dict[str, dict[str, float]] = field(default_factory=lambda: defaultdict(dict))
    parents: dict[str, str] = field(default_factory=dict)

    def lower_caps(self, level: str, section: Mapping[str, str]) -> None:
        """Take the caps that a section of an operators' file gives a level, where they are lower."""
        for kind in CAPPED_KINDS:
            if level and kind + "_max" in section:
                cap = float(section[kind + "_max"])
                self.caps[level][kind] = min(cap, self.caps[level].get(kind, NO_CAP))

    def levels_above(self, team: str) -> Iterable[str]:
        """A team's own level, and those above it, up to the root."""
        level = team
        # Bound: the depth of the tree.
        while level:
            yield level
            level = self.parents.get(level, "")


def level_of_section(section: str) -> str:
    """The level that a section `quota LEVEL` of the operators' file is about; empty for the section `quota`."""
    return section.partition(" ")[2]


def need_of(spec: dict[str, Any], kind: str) -> float:
    """What one task of a job takes of a capped resource."""
    return spec[RESOURCE_FIELDS[kind]] if kind in RESOURCE_FIELDS else 1


class QuotaChecks:
    """Rule `quota`, and the usage that scenarios ask for."""

    def __init__(self, observed: Observations) -> None:
        self.observed = observed
        self.used: dict[str, dict[str, float]] = {}
        self.cpu_history: dict[str, list[tuple[int, float]]] = defaultdict(list)  # (µs, CPUs) of each capped level
        self.most_used: dict[str, float] = defaultdict(float)  # by capped level, in any of its resources

    def tree(self) -> QuotaTree:
        """The tree that the site and the operators' file describe, with the lower of two caps."""
        tree = QuotaTree()
        for team in self.observed.world.facts.get("teams", []):
            tree.caps[team["name"]] = {kind: team[kind + "_max"] for kind in RESOURCE_FIELDS if team.get(kind + "_max")}
        for name, section in self.observed.world.operators.items():
            level = level_of_section(name)
            tree.parents[level] = tree.parents.get(level) or section.get("parent", "")
            teams = [team.strip() for team in section.get("teams", "").split(",")]
            tree.parents.update({team: level for team in teams if team})
            tree.lower_caps(level, section)
        return tree

    def check(self) -> None:
        """Sum what runs at this moment, and judge each cap."""
        tree = self.tree()
        self.used = self._usage(tree)
        for level in tree.caps:
            self.cpu_history[level].append((self.observed.now_us, self.used[level]["cpus"]))
        for level, caps in tree.caps.items():
            for kind, cap in caps.items():
                used = self.used[level][kind]
                self.most_used[level] = max(self.most_used[level], used)
                if used > cap + ROUNDING:
                    self.observed.breach("quota", f"{level} uses {used} {kind} of {cap}")

    def _usage(self, tree: QuotaTree) -> dict[str, dict[str, float]]:
        used: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
        for task, workers in self.observed.running_on.items():
            if not workers:
                continue
            spec = self.observed.spec(job_of(task))
            for level in tree.levels_above(spec["crew"]):
                for kind in CAPPED_KINDS:
                    used[level][kind] += need_of(spec, kind) * len(workers)
        return used

    def cpus_used_now(self, level: str) -> float:
        """CPUs that run beneath a level."""
        self.check()
        return self.used[level]["cpus"]
