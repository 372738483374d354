"""Benchmark of what each kind of message costs a controller: the real actor with simulated machines, in virtual time.

Without network or threads: the heartbeats, submissions, polls and task exits of a fleet are fed to one `Controller`
that leads all machines. The key-value store accepts every write after its latency. Counts are deterministic for a
given seed; times are processor time on this machine and comparable only within one run.
"""

from quinceslip.bench.fleet.measurement import measure

__all__ = ["measure"]
