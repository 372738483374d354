"""Rule that no level of the quota tree ever exceeds its cap, with usage summed from the tasks on machines."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from tests.simulation.checks.observations import Observations
from tests.simulation.tasks import job_of

#: capped resources, each with the field of a job's description that gives the need per task
RESOURCE_FIELDS = {"cpus": "vcpus", "gpus": "gpus", "memory_gb": "memGb"}
CAPPED_RESOURCES = [*RESOURCE_FIELDS, "tasks"]

#: tolerance for rounding errors in sums of fractional CPUs
ROUNDING_TOLERANCE = 1e-6
NO_CAP = 1e18


@dataclass
class QuotaTree:
    """The caps of each level by resource, and the parent of each level and team."""

    caps: dict[str, dict[str, float]] = field(default_factory=lambda: defaultdict(dict))
    parents: dict[str, str] = field(default_factory=dict)

    def apply_lower_caps(self, level: str, section: Mapping[str, str]) -> None:
        """Lower the caps of a level to those in a section of an operators' file; higher ones there change nothing."""
        for resource in CAPPED_RESOURCES:
            if level and resource + "_max" in section:
                cap = float(section[resource + "_max"])
                self.caps[level][resource] = min(cap, self.caps[level].get(resource, NO_CAP))

    def levels_to_root(self, team: str) -> Iterable[str]:
        """Yield the team's own level and all its ancestors, up to the root."""
        level = team
        # Bound: the depth of the tree.
        while level:
            yield level
            level = self.parents.get(level, "")


def level_of_section(section: str) -> str:
    """The level configured by a section `quota LEVEL` of the operators' file; empty for the section `quota`."""
    return section.partition(" ")[2]


def need_per_task(spec: dict[str, Any], resource: str) -> float:
    """The amount of a capped resource that one task of a job needs."""
    return spec[RESOURCE_FIELDS[resource]] if resource in RESOURCE_FIELDS else 1


class QuotaChecks:
    """Rule `quota`, and the usage figures that scenarios check."""

    def __init__(self, observed: Observations) -> None:
        self.observed = observed
        self.used: dict[str, dict[str, float]] = {}
        self.cpu_history: dict[str, list[tuple[int, float]]] = defaultdict(list)  # (µs, CPUs) of each capped level
        self.most_used: dict[str, float] = defaultdict(float)  # by capped level: peak of any capped resource

    def tree(self) -> QuotaTree:
        """The quota tree from the site's settings and the operators' file; the lower of two caps applies."""
        tree = QuotaTree()
        for team in self.observed.world.facts.get("teams", []):
            tree.caps[team["name"]] = {
                resource: team[resource + "_max"] for resource in RESOURCE_FIELDS if team.get(resource + "_max")
            }
        for name, section in self.observed.world.operators.items():
            level = level_of_section(name)
            tree.parents[level] = tree.parents.get(level) or section.get("parent", "")
            teams = [team.strip() for team in section.get("teams", "").split(",")]
            tree.parents.update({team: level for team in teams if team})
            tree.apply_lower_caps(level, section)
        return tree

    def check(self) -> None:
        """Sum the usage of all running tasks, and check each cap."""
        tree = self.tree()
        self.used = self._usage(tree)
        for level in tree.caps:
            self.cpu_history[level].append((self.observed.now_us, self.used[level]["cpus"]))
        for level, caps in tree.caps.items():
            for resource, cap in caps.items():
                used = self.used[level][resource]
                self.most_used[level] = max(self.most_used[level], used)
                if used > cap + ROUNDING_TOLERANCE:
                    self.observed.breach("quota", f"{level} uses {used} {resource}, its cap is {cap}")

    def _usage(self, tree: QuotaTree) -> dict[str, dict[str, float]]:
        used: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
        for task, workers in self.observed.running_on.items():
            if not workers:
                continue
            spec = self.observed.spec(job_of(task))
            for level in tree.levels_to_root(spec["crew"]):
                for resource in CAPPED_RESOURCES:
                    used[level][resource] += need_per_task(spec, resource) * len(workers)
        return used

    def cpus_used_now(self, level: str) -> float:
        """CPUs of all tasks that run now beneath a level."""
        self.check()
        return self.used[level]["cpus"]
