"""What messages cost a controller, by kind: the real actor alone, machines that obey, virtual time.

No network and no threads: heartbeats, submissions, polls and ends of tasks of a fleet are played against one
`Controller` that leads all machines. The key-value store grants everything after its latency. Counts repeat exactly
for one seed; times are processor time of this machine, to be compared within one run only.
"""

from quinceslip.bench.fleet.measurement import measure

__all__ = ["measure"]
