"""Places tasks on machines, and preempts work of lower priority for them.

- Order of the jobs: `deadline_order` (due times) and `ageing` (jobs that have waited too long).
- When passes are made: `placement`, the interface that other packages use. What one pass does: `placement_pass`.
- Machines that a task may use: `machine_eligibility`, `zone_constraints`, `reservation` (machines kept free for the
  job that has waited longest) and `candidates` (the machines of one pass).
- Choice among these machines: `machine_preference` (bin packing).
- Placement of the tasks of a job: `independent_tasks`, `zone_bound_tasks` and `gangs`.
- Preemption: `preemption`.
- Quota check before a start: `quota_gate`.
"""
