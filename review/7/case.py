"""A guest team has every machine with tiny tasks, and a job within another team's guarantee comes: do all go on?"""

import asyncio
import time
from pathlib import Path

from review.standins_2.site import PICKERS, Site, build, job, main

MACHINES, CPUS = 28, 64.0
GUEST = "lakeshore-lab"
#: the guest has no guarantee; the other team's is 0.7 of the machines
FACTS = PICKERS | {"teams": [{"name": PICKERS["team"], "cpus": 0.7 * MACHINES * CPUS}, {"name": GUEST}]}
GUEST_JOB = {"lane": "layout-grid", "rank": "low", "vcpus": 0.25, "memGb": 0.45, "expectS": 300.0}
OWN_JOB = {"lane": "reslot-run", "rank": "normal", "vcpus": 0.25, "memGb": 0.45, "expectS": 30.0}
GUEST_TASKS, OWN_TASKS = 25_000, 4_000
WAIT_S = 60.0
TYPES = [build("dock-large", CPUS, 256.0, PICKERS["zones"])]


async def case(trouble: bool, record: Path) -> int:
    """Run the case."""
    site = Site(FACTS, TYPES, record, capacity=MACHINES)
    try:
        await site.start_services()
        for label in site.labels:
            await site.start(label)
        for label in site.labels:
            await site.until(lambda label=label: site.ready(label), 20.0, f"start of {label}")
        tasks = GUEST_TASKS if trouble else GUEST_TASKS // 100
        await site.submit(job("req-000100", GUEST, picks=tasks, **GUEST_JOB), site.labels[0], seconds=20.0)
        slots = MACHINES * CPUS / GUEST_JOB["vcpus"]

        async def running() -> bool:
            await asyncio.sleep(0.8)
            return sum(map(len, site.on_machine.values())) > 0.95 * min(tasks, slots)

        await site.until(running, 30.0, "machines full")
        own = job("req-000200", PICKERS["team"], picks=OWN_TASKS, **OWN_JOB)
        await site.submit(own, site.labels[0], seconds=20.0)
        begun, ended = time.monotonic(), 0
        while time.monotonic() < begun + WAIT_S:
            await asyncio.sleep(1.0)
            await site.status("req-000200", site.labels[0])
            for label, process in list(site.processes.items()):
                if process.returncode is not None:
                    site.note("controller", label, "has ended by itself with status", process.returncode)
                    ended += 1
                    del site.processes[label]
                    await asyncio.sleep(PICKERS["back_s"])
                    await site.start(label)
        site.note("controllers that ended by themselves:", ended)
        return 1 if ended else 0
    finally:
        await site.end()


if __name__ == "__main__":
    main(case, __file__)
