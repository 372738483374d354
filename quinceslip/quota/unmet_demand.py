"""The demand of a team for more quota, as a placement pass records it."""

from dataclasses import dataclass

from quinceslip.protocol import messages as m
from quinceslip.quota.amounts import Amounts
from quinceslip.quota.quota_records import DemandOrder


@dataclass(slots=True)
class UnmetDemand:
    """The demand of a team's waiting tasks that only the quota keeps from starting."""

    team: str
    #: the smallest useful amount: one task, or all of a gang or service
    unit: Amounts
    #: what all waiting tasks of the team could use
    need: Amounts
    order: DemandOrder
    #: the first job that was refused, and how many of its tasks start together
    spec: m.JobSpec
    count: int
