"""A job of many tiny tasks: is it ever done, and do the messages keep to the limit of 64 KiB?"""

import asyncio
import json
import time
from pathlib import Path
from typing import Any

from review.standins_2.site import PICKERS, Site, build, job, main

MAX_BODY_BYTES = 64 * 1024
TASKS = 1200
RUN_S = 12.0
#: the machine has room for the tasks of ordinary size in 5 rounds, and for all of the tiny ones at once
WAIT_S = 95.0
TYPES = [build("dock-large", 64.0, 256.0, PICKERS["zones"])]


async def case(trouble: bool, record: Path) -> int:
    """Run the case."""
    site = Site(PICKERS, TYPES, record)
    try:
        await site.start_services()
        worker = await site.machine_up("dock-large", "michigan-west")
        largest: dict[str, int] = {"/do": 0}
        handle = worker.server.handler

        async def measured(method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
            if path == "/do":
                largest["/do"] = max(largest["/do"], len(json.dumps(body, separators=(",", ":"))))
            return await handle(method, path, query, body)

        worker.server.handler = measured
        for label in site.labels:
            await site.start(label)
        for label in site.labels:
            await site.until(lambda label=label: site.ready(label), 20.0, f"start of {label}")
        vcpus, mem_gb = (0.05, 0.1) if trouble else (0.25, 0.45)
        await site.submit(
            job("req-000100", PICKERS["team"], picks=TASKS, vcpus=vcpus, memGb=mem_gb, expectS=RUN_S), seconds=20.0
        )
        end, state = time.monotonic() + WAIT_S, ""
        while time.monotonic() < end and state != "done":
            await asyncio.sleep(5.0)
            state = await site.status("req-000100", site.labels[0])
        site.note("largest body of a direct command:", largest["/do"], "bytes")
        site.note("largest body of a report:", worker.largest_report, "bytes; limit", MAX_BODY_BYTES)
        site.note("reports by status:", worker.statuses, "sessions that ended with tasks:", worker.sessions_lost)
        site.note("tasks done on the machine:", len(site.done_tasks), "of", TASKS, "state:", state)
        if state == "done" and largest["/do"] <= MAX_BODY_BYTES:
            site.note("held")
            return 0
        site.note("broken")
        return 1
    finally:
        await site.end()


if __name__ == "__main__":
    main(case, __file__)
