"""Reconciliation of worker heartbeats with the state of a shard, and the commands that follow from it.

Where to look:

==============================================================  =========================
When does a worker's lease count as expired?                    `worker_leases`
What does a new leader check before it starts inherited tasks?  `inherited_workers`
How does it adopt tasks that its predecessor launched?          `adoption`
How are reported tasks matched with known attempts?             `attempts`
How does a reported state change an attempt and its task?       `attempt_outcomes`
What makes a launch safe?                                       `launch_safety`
Which machine may have received a launch to a lost worker?      `address_checks`
How is the machine at that address probed and told to stop it?  `address_probes`
How is a stop or a cancellation confirmed at a worker?          `stop_commands`
What happens to a reported task that the leader does not know?  `unknown_tasks`
Which commands go into the answer to a heartbeat?               `heartbeat_commands`
Which commands are sent before the next heartbeat?              `direct_commands`
When is a worker probed, and what does its silence mean?        `probes`
What does the reply to a direct call prove?                     `direct_replies`
Does a worker receive what it is sent?                          `shard_state.delivery`
==============================================================  =========================

`reconciler.Reconciler` and `commands.CommandSender` are the entry points for the shard and for the models.
"""
