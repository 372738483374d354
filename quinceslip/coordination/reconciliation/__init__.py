"""Reconciliation of what workers report with the state of a shard, and the commands that follow.

Where to look:

==============================================================  =========================
When does a worker's lease count as expired?                    `worker_leases`
What does a new leader check before it starts inherited tasks?  `inherited_workers`
How does it take in tasks that its predecessor launched?        `adoption`
How are reported tasks matched with known attempts?             `attempts`
What follows from the state and the end of an attempt?          `attempt_outcomes`
What makes a launch safe?                                       `launch_safety`
Who may have a launch that was sent to a lost worker?           `address_checks`
How is the machine at its address asked, and told to stop it?   `address_probes`
How is a stop or a cancellation confirmed at a worker?          `stop_commands`
What becomes of a reported task that nobody knows?              `unknown_tasks`
What does the answer to a heartbeat say?                        `heartbeat_commands`
What cannot wait for the next heartbeat?                        `direct_commands`
When is a worker asked, and what does its silence mean?         `probes`
What does the reply to a direct call prove?                     `direct_replies`
Does a worker receive what it is sent?                          `delivery`
==============================================================  =========================

`reconciler.Reconciler` and `commands.CommandSender` are the entry points of the shard and of the models.
"""
