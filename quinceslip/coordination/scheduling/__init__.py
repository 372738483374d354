"""Which task is placed on which machine, in which order, and what is preempted for it.

- Which job goes first: `deadline_order` (due times) and `ageing` (jobs that have waited too long).
- When passes are made: `placement`, the interface that other packages use. What one pass does: `placement_pass`.
- Which machines a task may use: `machine_eligibility`, `zone_constraints`, `reservation` (machines kept free for the
  job that has waited longest) and `candidates` (the machines of one pass).
- Which of them it gets: `machine_preference` (bin packing).
- How the tasks of a job are placed: `independent_tasks`, `zone_bound_tasks` and `gangs`.
- What is preempted for whom: `preemption`.
- Whether the quota of its team lets it start: `quota_gate`.
"""
