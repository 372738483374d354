"""Jobs whose deadline is a very large number, and then all controllers crash: do the other jobs still run?"""

import asyncio
import sys
from pathlib import Path

from review.standins.deployment import Deployment, Record, job, require, run_case

#: what clients of several languages send for "no deadline": the largest number of a double
NO_DEADLINE_S = 1.7976931348623157e308
#: a controller is back about 6 s after an end (BRIEF)
BACK_AFTER_S = 6.0
#: once the troubles are over, no job is left waiting for longer than this (LATER of the hunt)
MAX_WAIT_S = 90.0
#: where all runs: how long it is watched, longer than a worker's lease
WATCH_S = 30.0
#: one of each through each controller
PORTALS = [f"req-00000{number}" for number in range(3)]
ENDLESS = [f"req-00001{number}" for number in range(3)]
AFTER = [f"req-00002{number}" for number in range(3)]
REPLICAS = 2


def runs(deployment: Deployment, uid: str) -> bool:
    """Return whether all replicas of a portal run on machines."""
    return all(deployment.site.running.get(f"{uid}/{index}") for index in range(REPLICAS))


def has_room(deployment: Deployment) -> bool:
    """Return whether a machine that is up has room for a whole job."""
    for worker in deployment.cloud.workers.values():
        live = [task.name.rpartition("/")[0] for task in worker.tasks.values() if task.status != "exited"]
        used = sum(deployment.site.specs[uid]["vcpus"] for uid in live)
        if worker.loops and not worker.gone and not worker.spot and worker.kind.vcpus - used >= 4.0:
            return True
    return False


async def submit_all(deployment: Deployment, specs: list[dict[str, object]], seconds: float) -> list[int]:
    """Submit a job through each controller at the same time; returns their statuses."""
    submissions = [deployment.submit(spec, seconds=seconds, first=number) for number, spec in enumerate(specs)]
    return await asyncio.gather(*submissions)


async def play(record: Record, trouble: bool) -> list[str]:
    """Play the case."""
    deployment = Deployment(record, capacity=6)
    deployment.state.preloaded()
    await deployment.start_outside()
    try:
        for label in deployment.labels:
            deployment.start(label)
        require(await deployment.wait_for(deployment.all_ready, 20), "controllers are not ready")
        shape = {"lane": "artwork-portal", "shape": "standing", "rank": "production", "vcpus": 1.0, "loaners": False}
        await submit_all(deployment, [job(uid, picks=REPLICAS, **shape) for uid in PORTALS], 5.0)
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all(runs(deployment, uid) for uid in PORTALS):
                break
        require(all(runs(deployment, uid) for uid in PORTALS), "the portals do not start")
        statuses = await submit_all(deployment, [job(uid, picks=1, dueS=NO_DEADLINE_S) for uid in ENDLESS], 7.0)
        if not {200, 201} & set(statuses):
            return []  # refused, so nothing was accepted
        if trouble:
            for label in deployment.labels:
                deployment.kill(label)
            await asyncio.sleep(BACK_AFTER_S)
            for label in deployment.labels:
                deployment.start(label)
            require(await deployment.wait_for(deployment.all_ready, 8), "controllers are not back")
        statuses = await submit_all(deployment, [job(uid, loaners=False) for uid in AFTER], 5.0)
        require({200, 201} & set(statuses), "the last jobs are not accepted")
        accepted = [uid for uid, status in zip(AFTER, statuses, strict=True) if status in (200, 201)]
        return await judge(record, deployment, accepted)
    finally:
        deployment.end()


async def judge(record: Record, deployment: Deployment, accepted: list[str]) -> list[str]:
    """Wait for the portals to stay and for the last jobs to start, as long as the page allows beside room."""
    begun = record.now()
    last_well = dict.fromkeys([*PORTALS, *accepted], begun)  # when each job last ran, or had no room
    while True:
        now = record.now()
        for uid in PORTALS:
            if runs(deployment, uid) or not has_room(deployment):
                last_well[uid] = now
        for uid in accepted:
            if f"{uid}/0" in deployment.site.running or not has_room(deployment):
                last_well[uid] = now
        late = [uid for uid, at in last_well.items() if now > at + MAX_WAIT_S]
        if late:
            for uid in [*PORTALS, *ENDLESS, *accepted]:
                for label in deployment.healthy():
                    await deployment.poll(uid, label)
            return [f"{uid} left waiting for {MAX_WAIT_S:g} s beside a machine with room" for uid in late]
        if now > begun + WATCH_S and all(at == now for at in last_well.values()):
            return []
        await asyncio.sleep(0.5)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
