"""What happens to workers and the cloud, and what is expected of tasks and machines."""

from functools import partial
from typing import Any

from tests.scenario.state import RunnerState
from tests.scenario.tools import COMPARE
from tests.simulation.clock import SECOND_US
from tests.simulation.faults import HeartbeatCopies, SlowCommands


class WorkerVerbs(RunnerState):
    """What happens to workers and the cloud, and what is expected of tasks and machines."""

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

    def on_cut(self, args: list[str], named: dict[str, Any]) -> None:
        """cut WORKER|... S [lost]: the network delivers everything when it ends, or loses it."""
        for worker in self._workers(args):
            worker.cut_until_us, worker.loses_undelivered = self.w().begin_fault(float(args[1])), "lost" in args

    def on_cut_zone(self, args: list[str], named: dict[str, Any]) -> None:
        """cut_zone ZONE S"""
        self.on_cut([f"zone:{args[0]}", args[1]], named)

    def on_unheard(self, args: list[str], named: dict[str, Any]) -> None:
        """unheard WORKER|busiest|third|zone:Z|all S [lost]: heartbeats arrive; answers, commands, questions do not."""
        for worker in self._workers(args):
            worker.inbound_blocked_until_us, worker.loses_undelivered = (
                self.w().begin_fault(float(args[1])),
                "lost" in args,
            )

    def on_copies(self, args: list[str], named: dict[str, Any]) -> None:
        """copies WORKER|... S times=N late=S: each heartbeat comes again so often, a second to so long after.

        `copies WORKER|... S for_next`: one of its latest is kept, and reaches every controller as a shard is claimed.
        """
        if "for_next" in args:
            for worker in self._workers(args):
                worker.keep_copy_until_us = self.w().begin_fault(float(args[1]))
            return
        late_s, times = float(named.get("late", 3 * self.facts["workers"]["lease_s"])), named.get("times", 1)
        for worker in self._workers(args):
            worker.copies = HeartbeatCopies(self.w().begin_fault(float(args[1])), times, int(late_s * SECOND_US))
            self.w().begin_fault(float(args[1]) + late_s)

    def on_reboot(self, args: list[str], named: dict[str, Any]) -> None:
        """reboot WORKER|... [other]: back at once with nothing; `other`: another machine at its address"""
        self.w().begin_fault(0)
        for worker in self._workers(args):
            if "other" in args:
                cloud, host = self.w().cloud, worker.host
                cloud.remove(worker.name)
                name = cloud.start(host["build"], host["yard"], host["loaners"], 0)
                cloud.machines[name]["endpoint"] = host["endpoint"]
            else:
                worker.reboot()

    def on_mute(self, args: list[str], named: dict[str, Any]) -> None:
        """mute WORKER|... S [refused]: it reaches no controller, while direct commands reach it."""
        for worker in self._workers(args):
            worker.outbound_blocked_until_us, worker.refuses_outbound = (
                self.w().begin_fault(float(args[1])),
                "refused" in args,
            )

    def on_hang(self, args: list[str], named: dict[str, Any]) -> None:
        """hang WORKER|... S: the whole machine stands still"""
        for worker in self._workers(args):
            worker.hung_until_us = self.w().begin_fault(float(args[1]))

    def on_take(self, args: list[str], named: dict[str, Any]) -> None:
        """take WORKER [notice=S]: the cloud takes the machine."""
        notice_s = named.get("notice", 0)
        for worker in self._workers(args):
            self.w().begin_fault(notice_s)
            worker.notice_us = self.w().now_us + int(notice_s * SECOND_US)
            worker.has_changed = True
            self.w().after(notice_s * SECOND_US + 1, partial(self.w().cloud.remove, worker.name))

    def on_token(self, args: list[str], named: dict[str, Any]) -> None:
        """token WORKER N: the worker has seen a higher token than its leader's."""
        for worker in self._workers(args):
            worker.fencing_token, worker.has_changed = int(args[1]), True

    def on_cloud(self, args: list[str], named: dict[str, Any]) -> None:
        """cloud capacity|never_boot|lost_answers N"""
        self.w().begin_fault(0)
        setattr(self.w().cloud, args[0], int(args[1]))

    def on_slow_commands(self, args: list[str], named: dict[str, Any]) -> None:
        """slow_commands WORKER|... S there=MOST back=MOST: direct commands, or their answers, are held up alone"""
        there_s, back_s = float(named.get("there", 0)), float(named.get("back", 0))
        for worker in self._workers(args):
            worker.slow_commands = SlowCommands(
                self.w().begin_fault(float(args[1])), int(there_s * SECOND_US), int(back_s * SECOND_US)
            )
            self.w().begin_fault(float(args[1]) + there_s)

    def check_nowhere(self, args: list[str], named: dict[str, Any]) -> None:
        """nowhere UID: no task of it runs"""
        there = {t: p for t, p in self.w().checker.observed.running_on.items() if p and t.startswith(args[0] + "/")}
        assert not there, there

    def check_running(self, args: list[str], named: dict[str, Any]) -> None:
        """running UID N: so many of its tasks run"""
        there = [t for t, p in self.w().checker.observed.running_on.items() if p and t.startswith(args[0] + "/")]
        assert len(there) == int(args[1]), there

    def check_starts(self, args: list[str], named: dict[str, Any]) -> None:
        """starts UID OP N: its tasks were started so often altogether"""
        count = sum(len(s) for t, s in self.w().checker.observed.starts.items() if t.startswith(args[0] + "/"))
        assert COMPARE[args[1]](count, int(args[2])), f"{args[0]} was started {count} times"

    def check_starts_since(self, args: list[str], named: dict[str, Any]) -> None:
        """starts_since UID OP N: since `count`"""
        before: Any = self.counted["starts"]
        starts = self.w().checker.observed.starts
        count = sum(len(s) - before.get(t, 0) for t, s in starts.items() if t.startswith(args[0] + "/"))
        assert COMPARE[args[1]](count, int(args[2])), f"{args[0]} was started {count} times since"

    def check_services_restarted_by(self, args: list[str], named: dict[str, Any]) -> None:
        """Some replica was started again, and the last such start was by then."""
        again = [s[-1] / SECOND_US for s in self.w().checker.observed.starts.values() if len(s) > 1]
        assert again and max(again) <= float(args[0]), again

    def check_started_by(self, args: list[str], named: dict[str, Any]) -> None:
        """started_by UID T: the last start of any of its tasks was by that second"""
        times = [s[-1] / SECOND_US for t, s in self.w().checker.observed.starts.items() if t.startswith(args[0] + "/")]
        assert times and max(times) <= float(args[1]), times

    def check_together(self, args: list[str], named: dict[str, Any]) -> None:
        """together UID: the last starts of its tasks are less than three seconds apart"""
        times = [s[-1] for t, s in self.w().checker.observed.starts.items() if t.startswith(args[0] + "/")]
        assert max(times) - min(times) < 3 * SECOND_US, times

    def check_killed(self, args: list[str], named: dict[str, Any]) -> None:
        """killed OP N: tasks that the lease of their worker ended"""
        assert COMPARE[args[0]](self.w().tasks_ended_by_lease, int(args[1])), (
            f"{self.w().tasks_ended_by_lease} tasks killed by their lease"
        )

    def check_machines(self, args: list[str], named: dict[str, Any]) -> None:
        """machines OP N: so many are rented now"""
        count = len(self.w().cloud.machines)
        assert COMPARE[args[0]](count, int(args[1])), f"{count} machines"

    def check_rented(self, args: list[str], named: dict[str, Any]) -> None:
        """rented OP N: machines there ever were"""
        count = self.w().cloud.next_number - 1
        assert COMPARE[args[0]](count, int(args[1])), f"{count} machines rented"

    def check_rental_calls(self, args: list[str], named: dict[str, Any]) -> None:
        """rental_calls OP N: rental requests to the cloud since `count`"""
        asked = self.w().cloud.rental_requests - self.counted["asked"]
        assert COMPARE[args[0]](asked, int(args[1])), f"{asked} rental requests"

    def check_on_type(self, args: list[str], named: dict[str, Any]) -> None:
        """on_type UID TYPE: every task of it that runs does so there"""
        places = [n for t, p in self.w().checker.observed.running_on.items() if t.startswith(args[0] + "/") for n in p]
        assert places and all(self.w().workers[n].host["build"] == args[1] for n in places), places

    def check_kept_came(self, args: list[str], named: dict[str, Any]) -> None:
        """kept_came N: so many old heartbeats at least arrived as a shard got a leader"""
        assert self.w().kept_heartbeats_delivered >= int(args[0]), self.w().kept_heartbeats_delivered

    def check_looked_per_report(self, args: list[str], named: dict[str, Any]) -> None:
        """looked_per_report OP N reports=LEAST: workers that placement looked at since `count`, for each heartbeat"""
        heartbeats = self.w().heartbeats - self.counted["reports"]
        assert heartbeats > int(named["reports"]), heartbeats
        examined = self._workers_examined() - self.counted["looked"]
        assert COMPARE[args[0]](examined / heartbeats, float(args[1])), (
            f"{examined} workers for {heartbeats} heartbeats"
        )

    def check_most_used(self, args: list[str], named: dict[str, Any]) -> None:
        """most_used LEVEL OP N: at any instant so far"""
        used = self.w().checker.quota.most_used[args[0]]
        assert COMPARE[args[1]](used, float(args[2])), f"{args[0]} used {used}"

    def check_level_at_most(self, args: list[str], named: dict[str, Any]) -> None:
        """level_at_most LEVEL N: CPUs in use beneath it now"""
        assert self.w().checker.quota.cpus_used_now(args[0]) <= float(args[1]), self.w().checker.quota.cpus_used_now(
            args[0]
        )

    def check_since_at_most(self, args: list[str], named: dict[str, Any]) -> None:
        """since_at_most LEVEL T N: CPUs in use beneath it at every start after T"""
        later = [
            used for at_us, used in self.w().checker.quota.cpu_history[args[0]] if at_us >= float(args[1]) * SECOND_US
        ]
        assert later and max(later) <= float(args[2]), max(later)
