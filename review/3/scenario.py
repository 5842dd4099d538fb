"""One ping of another writer, for a service that is not named in the manifest,
reaches each agent before the traffic begins."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
from rig import call, main  # noqa: E402


async def odd_ping(rig, worker):
    body = {"service": "not-in-the-manifest", "address": worker.server.addr,
            "zone": "uusimaa-kallio", "version": "v1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0}, "labels": [],
            "clock_ms": 1000, "seq": 1, "born": int(time.time() * 1000)}
    status, _ = await call(worker.control, "POST", "/-/Instances.Heartbeat/i-other", body)
    rig.log(f"another writer's ping at the agent of {worker.id}: {status}")


async def scenario(rig):
    if rig.trouble:
        for worker in rig.workers:
            await odd_ping(rig, worker)
    await asyncio.sleep(3.2)  # two further pings of each worker
    await rig.traffic(30, 10, count=2, ms=170)
    served = sum(job["status"] == 200 for job in rig.jobs)
    answers = {}
    for job in rig.jobs:
        answers[job["status"]] = answers.get(job["status"], 0) + 1
    rig.log(f"{served} of {len(rig.jobs)} requests served; answers: {answers}")
    return served > 0


main(HERE, scenario, entries=2, workers=3)
