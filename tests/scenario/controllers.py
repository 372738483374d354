"""Verbs for faults of controllers and the state expected of them."""

from typing import Any

from quinceslip.coordination.actor.effects import (
    PeerFrameReceived,
)
from quinceslip.feature_gate import PIPELINES
from quinceslip.protocol.frames import HEADER, PeerHeartbeat, ShardLoad, pack_heartbeat, read_heartbeat
from tests.scenario.state import RunnerState
from tests.scenario.tools import COMPARE, terms_given
from tests.simulation.clock import SECOND_US
from tests.simulation.faults import StoreCut, WorkerCut


class ControllerVerbs(RunnerState):
    """Verbs for faults of controllers and the state expected of them."""

    def on_crash(self, args: list[str], named: dict[str, Any]) -> None:
        """crash NAME... [restart_after=S]: terminate the processes, and restart them after that time"""
        self.w().begin_fault(named.get("restart_after", 0))
        for name in args:
            host = self.w().controllers[name]
            host.crash()
            if "restart_after" in named:
                self.w().after(named["restart_after"] * SECOND_US, host.start)

    def on_upgrade(self, args: list[str], named: dict[str, Any], previous_version: bool = False) -> None:
        """upgrade NAME... restart_after=S: terminate the processes, and restart them with this version"""
        for name in args:
            self.w().controllers[name].runs_previous_version = previous_version
        self.on_crash(args, named)

    def on_downgrade(self, args: list[str], named: dict[str, Any]) -> None:
        """downgrade NAME... restart_after=S: terminate the processes, and restart them with the previous version"""
        self.on_upgrade(args, named, previous_version=True)

    def on_start(self, args: list[str], named: dict[str, Any]) -> None:
        """start NAME: start the process, unless it is running"""
        self.w().controllers[args[0]].start()

    def on_hang_watch(self, args: list[str], named: dict[str, Any]) -> None:
        """hang_watch NAME S: the controller's watch delivers nothing, while its other calls are answered"""
        self.w().controllers[args[0]].store.watch_hung_until_us = self.w().begin_fault(float(args[1]))

    def on_partition_peers(self, args: list[str], named: dict[str, Any]) -> None:
        """partition_peers NAME S [inbound]: drop frames to and from its peers; with `inbound`, only those sent to it"""
        host, until_us = self.w().controllers[args[0]], self.w().begin_fault(float(args[1]))
        if "inbound" in args:
            host.inbound_peers_blocked_until_us = until_us
        else:
            host.peers_cut_until_us = until_us

    def on_isolate(self, args: list[str], named: dict[str, Any]) -> None:
        """isolate NAME S held|refused|reset: cut it off from the key-value store and its peers, but not its workers"""
        host, until_us = self.w().controllers[args[0]], self.w().begin_fault(float(args[1]))
        host.peers_cut_until_us = until_us
        if args[2] == "refused":
            self.w().store.refused_until_us[args[0]] = until_us
        else:
            host.store.cut = StoreCut(until_us, args[2])

    def on_partition_store(self, args: list[str], named: dict[str, Any]) -> None:
        """partition_store NAME S held|refused|reset: cut it off from the key-value store only"""
        until_us = self.w().begin_fault(float(args[1]))
        if args[2] == "refused":
            self.w().store.refused_until_us[args[0]] = until_us
        else:
            self.w().controllers[args[0]].store.cut = StoreCut(until_us, args[2])

    def on_partition_workers(self, args: list[str], named: dict[str, Any]) -> None:
        """partition_workers NAME S [zone=Z]: block traffic between a controller and all workers, or those of a zone"""
        self.w().controllers[args[0]].workers.cut = WorkerCut(
            self.w().begin_fault(float(args[1])), str(named.get("zone", ""))
        )

    def on_inject_peer_load(self, args: list[str], named: dict[str, Any]) -> None:
        """inject_peer_load NAME SHARD,... slots=N rate=R: send this load to all others as NAME, twice a second"""
        loads = [
            ShardLoad(int(shard), 0, named.get("slots", 8), 0, float(named.get("rate", 0.1)), [0, 0])
            for shard in args[1].split(",")
        ]
        body = pack_heartbeat(PeerHeartbeat(args[0], True, 0, loads))[HEADER.size :]
        for host in self.w().controllers.values():
            if host.label != args[0]:
                host.deliver(PeerFrameReceived(read_heartbeat(body)))
        self.w().after(SECOND_US // 2, lambda: self.on_inject_peer_load(args, named))

    def check_fair_level(self, args: list[str], named: dict[str, Any]) -> None:
        """fair_level SHARD OP N: the fair workload level of that shard at every running controller"""
        load_balancers = [h.actor.load_balancer for h in self.w().controllers.values() if h.actor is not None]
        levels = [load_balancer.levels.get(int(args[0])) for load_balancer in load_balancers]
        assert all(set(load_balancer.levels) <= set(range(self.facts["size"])) for load_balancer in load_balancers)
        assert levels and all(n is not None and COMPARE[args[1]](n, int(args[2])) for n in levels), levels

    def check_least_loaded(self, args: list[str], named: dict[str, Any]) -> None:
        """least_loaded NAME not SHARD: without fair levels, that controller assigns a new job to another shard"""
        node = self.w().controllers[args[0]].actor
        assert node is not None
        node.load_balancer.levels = {}
        assert node.load_balancer.shard_for_new_job() not in (None, int(args[2]))

    def check_gate(self, args: list[str], named: dict[str, Any]) -> None:
        """gate open|closed: the pipelines feature gate at all running controllers of this version"""
        found = {
            h.label: h.actor.ctx.feature_active(PIPELINES)
            for h in self.w().controllers.values()
            if h.actor and not h.runs_previous_version
        }
        assert found and set(found.values()) == {args[0] == "open"}, found

    def check_ready(self, args: list[str], named: dict[str, Any]) -> None:
        """ready NAME true|false: whether the controller reports readiness now"""
        node = self.w().controllers[args[0]].actor
        assert node is not None
        node.ctx.now_us = self.w().now_us
        assert node.ready() is (args[1] == "true")

    def check_terms(self, args: list[str], named: dict[str, Any]) -> None:
        """terms OP N: leadership terms that have begun, over all shards"""
        count = terms_given(self.w().store)
        assert COMPARE[args[0]](count, int(args[1])), f"{count} terms"

    def check_observations_shared(self, args: list[str], named: dict[str, Any]) -> None:
        """observations_shared: stockouts were observed and sent to peers; misrouted workers and demand were recorded"""
        kinds = {e.get("write", "").split("/")[1] for e in self.w().store.history if "write" in e}
        assert {"stray", "want", "load"} <= kinds, kinds
        observations = [
            h.actor.autoscaler.capacity.all_observations() for h in self.w().controllers.values() if h.actor is not None
        ]
        assert any(len(cache) > 1 and any(cache.values()) for cache in observations), observations

    def check_observations_expired(self, args: list[str], named: dict[str, Any]) -> None:
        """observations_expired: no controller sends or counts outdated observations any more"""
        world = self.w()
        for host in world.controllers.values():
            node = host.actor
            assert node is not None
            capacity = node.autoscaler.capacity
            assert not capacity.own_observations(world.now_us)
            assert not any(capacity.is_backing_off(kind, world.now_us) for kind in list(capacity.backoffs))
            assert not node.connectivity.misrouted.counts_by_shard() and not any(
                node.connectivity.misrouted.count_recorded_by_peers(s) for s in range(self.facts["size"])
            )
            loads = {load.shard: load for load in node.load_balancer.peer_loads()}
            assert not any(load.waiting for load in [*loads.values(), *node.load_balancer.loads()])
            for other in world.controllers.values():
                for shard in other.actor.shards.values() if other.actor is not None and other is not host else ():
                    assert abs(loads[shard.index].free_slots - shard.free_slots()) <= 8, (loads, shard.free_slots())
                    assert abs(loads[shard.index].quick_service_cpus - shard.quick_service_cpus()) <= 16
        remaining = [key for key in world.store.data if key.split("/")[1] in ("want", "stray", "hire", "standstill")]
        assert not remaining, remaining

    def check_registry_matches_cloud(self, args: list[str], named: dict[str, Any]) -> None:
        """registry_matches_cloud: the machine registry has as many records as the cloud has machines"""
        machine_records = [k for k in self.w().store.data if k.startswith("q/roster/")]
        assert len(machine_records) == len(self.w().cloud.machines), (machine_records, list(self.w().cloud.machines))
