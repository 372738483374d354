"""One huge job whose tasks are spread over zones: do the controllers go on?"""

import asyncio
import time
from pathlib import Path

from review.standins_2.site import PICKERS, Site, build, job, main

MACHINES = 28
TASKS = 25_000
VCPUS, MEM_GB = 0.2, 0.4
RUN_S = 30.0
WAIT_S = 75.0
TYPES = [build("dock-large", 64.0, 256.0, PICKERS["zones"])]


async def case(trouble: bool, record: Path) -> int:
    """Run the case."""
    site = Site(PICKERS, TYPES, record, capacity=MACHINES)
    try:
        await site.start_services()
        for label in site.labels:
            await site.start(label)
        for label in site.labels:
            await site.until(lambda label=label: site.ready(label), 20.0, f"start of {label}")
        one = job("req-000100", PICKERS["team"], picks=TASKS, vcpus=VCPUS, memGb=MEM_GB, expectS=RUN_S, spread=trouble)
        await site.submit(one, site.labels[0], seconds=20.0)
        begun, ended = time.monotonic(), 0
        while time.monotonic() < begun + WAIT_S:
            await asyncio.sleep(1.0)
            await site.status("req-000100", site.labels[0])
            for label, process in list(site.processes.items()):
                if process.returncode is not None:
                    site.note("controller", label, "has ended by itself with status", process.returncode)
                    ended += 1
                    del site.processes[label]
                    await asyncio.sleep(PICKERS["back_s"])
                    await site.start(label)
        site.note("controllers that ended by themselves:", ended)
        site.note("reports:", [(w.statuses, w.sessions_lost, w.largest_report) for w in site.workers.values()])
        return 1 if ended else 0
    finally:
        await site.end()


if __name__ == "__main__":
    main(case, __file__)
