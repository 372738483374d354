"""The periodic line of a shard for the log."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quinceslip.coordination.shard.shard import Shard


def log_summary(shard: "Shard") -> str:
    """One line for the log: each machine with what services and other tasks take of it."""
    machines = []
    for worker in sorted(shard.workers.values(), key=lambda worker: (worker.spot, worker.name)):
        services = worker.service_cpus
        others = worker.used_cpus - services
        state = "" if shard.placement.usable(worker) else " out" if worker.last_contact_us else " booting"
        size = worker.type.cpus if worker.type else 0.0
        machines.append(f"{worker.name}{' spot' if worker.spot else ''} {services:g}+{others:g}/{size:g}{state}")
    return f"shard {shard.index}: {shard.waiting_tasks()} waiting; " + ", ".join(machines)
