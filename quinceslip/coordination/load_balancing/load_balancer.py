"""Chooses shards for jobs by the paper's forwarding rule, and runs the periodic work of load balancing."""

from quinceslip.coordination.actor.context import Context
from quinceslip.coordination.actor.timing import SECOND, micros
from quinceslip.coordination.leadership.election import LeaderElection
from quinceslip.coordination.load_balancing import queueing_model
from quinceslip.coordination.load_balancing.load_recorder import LoadRecorder
from quinceslip.coordination.load_balancing.peers import Peers
from quinceslip.coordination.load_balancing.service_moves import ServiceMover
from quinceslip.coordination.load_balancing.shard_loads import ShardLoadCollector
from quinceslip.coordination.load_balancing.task_moves import TaskMover
from quinceslip.coordination.load_balancing.workload_levels import WorkloadLevelSolver
from quinceslip.coordination.load_balancing.zone_releases import ZoneReleaser
from quinceslip.coordination.shard.shard import Shard
from quinceslip.coordination.shard_state.partition import JobPartition
from quinceslip.protocol import frames
from quinceslip.protocol import messages as m

MOVE_PERIOD_US = SECOND
#: name of the moves in stall records
MOVES_PART_NAME = "moves"


class LoadBalancer:
    """Knows the load of every shard; chooses shards for jobs and moves waiting work."""

    def __init__(self, ctx: Context, election: LeaderElection, shards: dict[int, Shard]) -> None:
        self.ctx = ctx
        self.election = election
        self.shards = shards
        self.peers = Peers(ctx)
        self.levels: dict[int, int] = {}  # fair workload level of each shard
        self.load_collector = ShardLoadCollector(ctx, election, shards, self.peers)
        self.load_recorder = LoadRecorder(ctx, election, shards)
        self.level_solver = WorkloadLevelSolver(ctx)
        self.service_mover = ServiceMover(ctx, election, shards, self.peers)
        self.zone_releaser = ZoneReleaser(ctx, shards, self.peers)
        self.task_mover = TaskMover(election, self.peers)
        self.next_record_us = ctx.now_us + SECOND
        self.next_levels_us = ctx.now_us + SECOND
        self.next_move_us = 0

    def tick(self) -> None:
        """Record loads, solve for levels and move waiting work, each at its own interval."""
        now_us = self.ctx.now_us
        if now_us >= self.next_record_us:
            self.next_record_us = now_us + micros(self.ctx.tuning.load_record_s)
            self.load_recorder.write()
        if now_us >= self.next_levels_us:
            self.next_levels_us = now_us + micros(self.ctx.tuning.balance_period_s)
            self._update_levels()
        if now_us >= self.next_move_us:
            self.next_move_us = now_us + MOVE_PERIOD_US
            self.ctx.active_part = MOVES_PART_NAME
            # After a stall in the moves they are suspended for a while (docs/standstill.md): work waits where it was
            # accepted.
            if not self.ctx.is_suspended(MOVES_PART_NAME):
                self._move_waiting_work()

    def tasks_arrived(self, spec: m.JobSpec) -> None:
        """Count the tasks of an accepted job as arrivals in the model."""
        self.load_recorder.tasks_arrived(spec)

    def loads(self) -> list[frames.ShardLoad]:
        """The loads of the shards that this controller leads, for its heartbeat."""
        return self.load_collector.own_loads()

    def peer_loads(self) -> list[frames.ShardLoad]:
        """The shard loads that live peers reported."""
        return self.peers.loads()

    def quick_service_cpus(self) -> list[int]:
        """CPUs of every shard that services could use on machines that start quickly enough for them."""
        cpus = {shard.index: shard.quick_service_cpus() for shard in self.shards.values()}
        for load in self.peers.loads():
            cpus.setdefault(load.shard, load.quick_service_cpus)
        return list(cpus.values())

    def shard_for_new_job(self) -> int | None:
        """Choose a new job's shard: home below its level, else by the paper's rule; None if no shard has a leader."""
        loads = self.load_collector.collect()
        led = {shard for shard in range(self.election.shard_count) if self.election.leader(shard)}
        if not led:
            return None
        home = self.election.home if self.election.home in led else min(led)
        stations = {shard: station for shard, station in loads.stations.items() if shard in led}
        chosen = queueing_model.choose_shard(home, stations, loads.waiting_tasks, self.levels)
        return chosen if chosen in led else home

    def job_ready(self, shard: Shard, partition: JobPartition) -> None:
        """Treat a job whose dependencies are done as an arrival at its shard, which may forward it as in the paper."""
        self.tasks_arrived(partition.spec)
        indices = shard.persistence.movable_tasks(partition)
        if not indices or not self.election.may_launch(shard.index):
            return
        loads = self.load_collector.collect()
        loads.waiting_tasks[shard.index] -= len(indices)
        stations = {s: station for s, station in loads.stations.items() if self.election.leader(s)}
        chosen = queueing_model.choose_shard(shard.index, stations, loads.waiting_tasks, self.levels)
        if chosen != shard.index and chosen in stations:
            shard.persistence.move(partition, indices, chosen)

    def _update_levels(self) -> None:
        levels = self.level_solver.solve(self.load_collector.collect().stations)
        if levels is not None:
            self.levels = levels

    def _move_waiting_work(self) -> None:
        """Move waiting work, services first, to shards whose leaders report room for it."""
        if not self.election.may_launch():
            return
        for shard in self.shards.values():
            self.service_mover.move_from(shard)
            self.zone_releaser.release_from(shard)
        free_slots = self.load_collector.collect().free_slots
        for shard in self.shards.values():
            self.task_mover.move_from(shard, free_slots)
