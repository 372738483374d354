"""Bounds the work of one turn of the actor, so that a long placement pass goes on in later turns."""

#: steps of one turn: a fraction of a second even on a slow machine
MAX_STEPS_PER_TURN = 20_000
#: steps of the launch of one task, compared with those of a look at one machine or attempt
STEPS_PER_LAUNCH = 8
#: the same of one plan of what to preempt on a machine
STEPS_PER_PLAN = 8


class WorkBudget:
    """Counts the steps of a turn; a step is a look at one machine or one attempt."""

    def __init__(self, max_steps: int = MAX_STEPS_PER_TURN) -> None:
        self.max_steps = max_steps
        self.spent = 0

    @property
    def exhausted(self) -> bool:
        """Whether the turn should end at the next point where its work can be continued later."""
        return self.spent >= self.max_steps

    def spend(self, steps: int) -> None:
        """Count work that is being done."""
        self.spent += steps
