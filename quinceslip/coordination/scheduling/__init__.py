"""Which task is placed on which machine, in which order, and who is preempted for it."""
