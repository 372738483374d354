"""Verbs for faults of workers and the cloud, and the state expected of tasks and machines."""

from functools import partial
from typing import Any

from tests.scenario.state import RunnerState
from tests.scenario.tools import COMPARE
from tests.simulation.clock import SECOND_US
from tests.simulation.faults import CommandCopies, HeartbeatCopies, SlowCommands


class WorkerVerbs(RunnerState):
    """Verbs for faults of workers and the cloud, and the state expected of tasks and machines."""

    def _workers(self, args: list[str]) -> list[Any]:
        world = self.w()
        if args[0] == "all":
            return list(world.workers.values())
        if args[0] == "busiest":
            return sorted(world.workers.values(), key=lambda w: -w.runner.running_task_count())[:1]
        if args[0].startswith("zone:"):
            return [w for w in world.workers.values() if w.host["yard"] == args[0][5:]]
        if args[0] == "third":
            return [world.workers[name] for name in sorted(world.workers)[::3]]
        return [world.workers[args[0]]] if args[0] in world.workers else []

    def on_partition(self, args: list[str], named: dict[str, Any]) -> None:
        """partition WORKER|... S [lost]: hold all its traffic back until the end, or drop it"""
        for worker in self._workers(args):
            worker.cut_until_us, worker.loses_undelivered = self.w().begin_fault(float(args[1])), "lost" in args

    def on_partition_zone(self, args: list[str], named: dict[str, Any]) -> None:
        """partition_zone ZONE S: as `partition`, for the workers of a zone"""
        self.on_partition([f"zone:{args[0]}", args[1]], named)

    def on_block_inbound(self, args: list[str], named: dict[str, Any]) -> None:
        """block_inbound WORKER|busiest|third|zone:Z|all S [lost]: nothing reaches it, while its heartbeats arrive"""
        for worker in self._workers(args):
            worker.inbound_blocked_until_us, worker.loses_undelivered = (
                self.w().begin_fault(float(args[1])),
                "lost" in args,
            )

    def on_duplicate_heartbeats(self, args: list[str], named: dict[str, Any]) -> None:
        """duplicate_heartbeats WORKER|... S times=N max_delay=S: deliver each N more times, up to that long after

        The minimum delay is one second. `duplicate_heartbeats WORKER|... S for_next_leader`: keep a recent heartbeat,
        and deliver it to every controller when a shard is claimed.
        """
        if "for_next_leader" in args:
            for worker in self._workers(args):
                worker.keep_copy_until_us = self.w().begin_fault(float(args[1]))
            return
        max_delay_s, times = float(named.get("max_delay", 3 * self.facts["workers"]["lease_s"])), named.get("times", 1)
        for worker in self._workers(args):
            worker.copies = HeartbeatCopies(self.w().begin_fault(float(args[1])), times, int(max_delay_s * SECOND_US))
            self.w().begin_fault(float(args[1]) + max_delay_s)

    def on_reboot(self, args: list[str], named: dict[str, Any]) -> None:
        """reboot WORKER|... [replaced]: restart without any tasks; `replaced`: as another machine at its address"""
        self.w().begin_fault(0)
        for worker in self._workers(args):
            if "replaced" in args:
                cloud, host = self.w().cloud, worker.host
                cloud.remove(worker.name)
                name = cloud.start(host["build"], host["yard"], host["loaners"], 0)
                cloud.machines[name]["endpoint"] = host["endpoint"]
            else:
                worker.reboot()

    def on_block_outbound(self, args: list[str], named: dict[str, Any]) -> None:
        """block_outbound WORKER|... S [refused]: it reaches no controller, while direct commands reach it"""
        for worker in self._workers(args):
            worker.outbound_blocked_until_us, worker.refuses_outbound = (
                self.w().begin_fault(float(args[1])),
                "refused" in args,
            )

    def on_hang(self, args: list[str], named: dict[str, Any]) -> None:
        """hang WORKER|... S: suspend the whole machine"""
        for worker in self._workers(args):
            worker.hung_until_us = self.w().begin_fault(float(args[1]))

    def on_reclaim(self, args: list[str], named: dict[str, Any]) -> None:
        """reclaim WORKER|... [notice=S]: the cloud reclaims the machine, after that notice"""
        notice_s = named.get("notice", 0)
        for worker in self._workers(args):
            self.w().begin_fault(notice_s)
            worker.notice_us = self.w().now_us + int(notice_s * SECOND_US)
            worker.has_changed = True
            self.w().after(notice_s * SECOND_US + 1, partial(self.w().cloud.remove, worker.name))

    def on_fencing_token(self, args: list[str], named: dict[str, Any]) -> None:
        """fencing_token WORKER N: set the highest fencing token that the worker has seen"""
        for worker in self._workers(args):
            worker.fencing_token, worker.has_changed = int(args[1]), True

    def on_cloud(self, args: list[str], named: dict[str, Any]) -> None:
        """cloud ATTRIBUTE N: set an attribute of the simulated cloud, such as capacity, never_boot or lost_answers"""
        self.w().begin_fault(0)
        setattr(self.w().cloud, args[0], int(args[1]))

    def on_slow_commands(self, args: list[str], named: dict[str, Any]) -> None:
        """slow_commands WORKER|... S request_delay=MAX answer_delay=MAX: delay direct commands or their answers"""
        request_s, answer_s = float(named.get("request_delay", 0)), float(named.get("answer_delay", 0))
        for worker in self._workers(args):
            worker.slow_commands = SlowCommands(
                self.w().begin_fault(float(args[1])), int(request_s * SECOND_US), int(answer_s * SECOND_US)
            )
            self.w().begin_fault(float(args[1]) + request_s)

    def on_duplicate_commands(self, args: list[str], named: dict[str, Any]) -> None:
        """duplicate_commands WORKER|... S [share=P] [min_delay=S] [max_delay=S] [times=N] [to_address]: copies

        Of that share of the direct commands that it receives, copies arrive late, between the two delays, at the
        same machine, or with `to_address` at the one that has its address by then.
        """
        min_delay_s, max_delay_s = float(named.get("min_delay", 1)), float(named.get("max_delay", 16))
        for worker in self._workers(args):
            worker.command_copies = CommandCopies(
                self.w().begin_fault(float(args[1])),
                float(named.get("share", 1)),
                int(min_delay_s * SECOND_US),
                int(max_delay_s * SECOND_US),
                named.get("times", 1),
                "to_address" in args,
            )
            self.w().begin_fault(float(args[1]) + max_delay_s)

    def check_launches_repeated(self, args: list[str], named: dict[str, Any]) -> None:
        """launches_repeated OP N: launches that a late copy of a direct command carried out again"""
        count = self.w().launches_repeated
        assert COMPARE[args[0]](count, int(args[1])), f"{count} launches carried out again"

    def check_not_running(self, args: list[str], named: dict[str, Any]) -> None:
        """not_running UID: none of its tasks runs"""
        running = {t: p for t, p in self.w().checker.observed.running_on.items() if p and t.startswith(args[0] + "/")}
        assert not running, running

    def check_running(self, args: list[str], named: dict[str, Any]) -> None:
        """running UID N: number of its running tasks"""
        running = [t for t, p in self.w().checker.observed.running_on.items() if p and t.startswith(args[0] + "/")]
        assert len(running) == int(args[1]), running

    def check_starts(self, args: list[str], named: dict[str, Any]) -> None:
        """starts UID OP N: starts of its tasks"""
        count = sum(len(s) for t, s in self.w().checker.observed.starts.items() if t.startswith(args[0] + "/"))
        assert COMPARE[args[1]](count, int(args[2])), f"{args[0]} was started {count} times"

    def check_starts_since(self, args: list[str], named: dict[str, Any]) -> None:
        """starts_since UID OP N: starts of its tasks since `reset_counters`"""
        previous: Any = self.baseline["starts"]
        starts = self.w().checker.observed.starts
        count = sum(len(s) - previous.get(t, 0) for t, s in starts.items() if t.startswith(args[0] + "/"))
        assert COMPARE[args[1]](count, int(args[2])), f"{args[0]} was started {count} times since"

    def check_services_restarted_by(self, args: list[str], named: dict[str, Any]) -> None:
        """services_restarted_by T: some task was started again, and the last such start was by that second"""
        restarts = [s[-1] / SECOND_US for s in self.w().checker.observed.starts.values() if len(s) > 1]
        assert restarts and max(restarts) <= float(args[0]), restarts

    def check_started_by(self, args: list[str], named: dict[str, Any]) -> None:
        """started_by UID T: the last start of any of its tasks was by that second"""
        times = [s[-1] / SECOND_US for t, s in self.w().checker.observed.starts.items() if t.startswith(args[0] + "/")]
        assert times and max(times) <= float(args[1]), times

    def check_started_together(self, args: list[str], named: dict[str, Any]) -> None:
        """started_together UID: the last starts of its tasks are less than three seconds apart"""
        times = [s[-1] for t, s in self.w().checker.observed.starts.items() if t.startswith(args[0] + "/")]
        assert max(times) - min(times) < 3 * SECOND_US, times

    def check_killed_by_lease(self, args: list[str], named: dict[str, Any]) -> None:
        """killed_by_lease OP N: tasks that were killed when the lease of their worker expired"""
        assert COMPARE[args[0]](self.w().tasks_ended_by_lease, int(args[1])), (
            f"{self.w().tasks_ended_by_lease} tasks killed by their lease"
        )

    def check_machines(self, args: list[str], named: dict[str, Any]) -> None:
        """machines OP N: machines that are rented now"""
        count = len(self.w().cloud.machines)
        assert COMPARE[args[0]](count, int(args[1])), f"{count} machines"

    def check_rented(self, args: list[str], named: dict[str, Any]) -> None:
        """rented OP N: machines that ever existed in the run"""
        count = self.w().cloud.next_number - 1
        assert COMPARE[args[0]](count, int(args[1])), f"{count} machines rented"

    def check_rental_calls(self, args: list[str], named: dict[str, Any]) -> None:
        """rental_calls OP N: rental requests to the cloud since `reset_counters`"""
        requests = self.w().cloud.rental_requests - self.baseline["rental_requests"]
        assert COMPARE[args[0]](requests, int(args[1])), f"{requests} rental requests"

    def check_runs_on_type(self, args: list[str], named: dict[str, Any]) -> None:
        """runs_on_type UID TYPE: all its running tasks are on machines of this type"""
        names = [n for t, p in self.w().checker.observed.running_on.items() if t.startswith(args[0] + "/") for n in p]
        assert names and all(self.w().workers[n].host["build"] == args[1] for n in names), names

    def check_kept_heartbeats_delivered(self, args: list[str], named: dict[str, Any]) -> None:
        """kept_heartbeats_delivered N: minimum number of old heartbeats delivered when a shard was claimed"""
        assert self.w().kept_heartbeats_delivered >= int(args[0]), self.w().kept_heartbeats_delivered

    def check_examined_per_heartbeat(self, args: list[str], named: dict[str, Any]) -> None:
        """examined_per_heartbeat OP N min_heartbeats=N: workers examined by placement since `reset_counters`"""
        heartbeats = self.w().heartbeats - self.baseline["heartbeats"]
        assert heartbeats > int(named["min_heartbeats"]), heartbeats
        examined = self._workers_examined() - self.baseline["workers_examined"]
        assert COMPARE[args[0]](examined / heartbeats, float(args[1])), (
            f"{examined} workers for {heartbeats} heartbeats"
        )

    def check_peak_usage(self, args: list[str], named: dict[str, Any]) -> None:
        """peak_usage LEVEL OP N: maximum usage of the level so far"""
        used = self.w().checker.quota.most_used[args[0]]
        assert COMPARE[args[1]](used, float(args[2])), f"{args[0]} used {used}"

    def check_usage_at_most(self, args: list[str], named: dict[str, Any]) -> None:
        """usage_at_most LEVEL N: CPUs in use beneath the level now"""
        assert self.w().checker.quota.cpus_used_now(args[0]) <= float(args[1]), self.w().checker.quota.cpus_used_now(
            args[0]
        )

    def check_usage_since_at_most(self, args: list[str], named: dict[str, Any]) -> None:
        """usage_since_at_most LEVEL T N: CPUs in use beneath the level at every start after T"""
        later = [
            used for at_us, used in self.w().checker.quota.cpu_history[args[0]] if at_us >= float(args[1]) * SECOND_US
        ]
        assert later and max(later) <= float(args[2]), max(later)
