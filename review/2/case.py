"""A gang of as many tasks as a job may have is submitted; other users ask about their jobs."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import World, call, job, run_case, trouble  # noqa: E402

# The hosting deployment's numbers (tulvavahti-hosted).
CLUSTER = {
    "count": 3, "zones": ["espoo", "oulu", "tampere"],
    "teams": [{"name": "team-a", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
              {"name": "team-b", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [{"kind": "wait", "class": "alert-feed", "within_s": 8.0, "share": 0.9}],
    "workers": {"report_s": 1.5, "lease_s": 10.0, "gang_wait_s": 45.0, "gang_peer_s": 8.0, "cancel_s": 30.0},
    "state": {"rps": 200.0, "write_rps": 20.0, "value_kb": 32.0, "txn_ops": 12},
    "cloud": {"rps": 8.0, "list_lag_s": 10.0},
    "limits": {"cpu": 0.08, "ram_mb": 72.0, "fd_limit": 1000}, "skew_ms": 250.0,
}
ZONES = ["oulu", "espoo", "tampere"]
TYPES = [
    {"sku": "pieni", "cores": 8, "gpus": 0, "ram_gb": 16, "local_gb": 25, "fetch_gb_per_s": 0.2,
     "price": 0.42, "market_price": 0.19, "startup_s": 20, "quays": ZONES},
    {"sku": "iso", "cores": 64, "gpus": 0, "ram_gb": 512, "local_gb": 60, "fetch_gb_per_s": 0.3,
     "price": 4.28, "market_price": 1.92, "startup_s": 20, "quays": ZONES},
]
MOST_TASKS = 100_000  # `lots`: "number of tasks, at most 100,000"
FORGOTTEN_S = 75.0
END_S = 114.0


async def main():
    world = World(FOLDER, CLUSTER, TYPES, {}, ZONES, boot_s=12.0)
    say, show = world.record.say, world.record.show
    try:
        await world.prepare()
        world.store.delay = lambda: 0.005
        machines = [world.cloud.machines[world.cloud.rent("iso", "espoo", False, 0.5)] for _ in range(4)]
        for node in world.nodes.values():
            await node.start()
        up = lambda: all(n.healthy for n in world.nodes.values()) and all(m.up for m in machines)
        if not await world.until(up, 15):
            show("the deployment didn't come up")
            return 2

        feed = job(1, berth="alert-feed", crew="team-b", shape="service", rank="prod", cores=4.0, ram_gb=6.1,
                   expect_s=0.0)
        on = lambda: bool(world.on_machine.get(f"{feed['id']}/0"))
        if await world.submit(feed) not in (200, 201) or not await world.until(on, 10):
            show("the service didn't start")
            return 2

        # 50 CPUs and 100 GB in all: as a single task, or in as many tasks as a job may have.
        lots = MOST_TASKS if trouble() else 1
        gang = job(2, shape="ensemble", same_place=True, lots=lots, cores=50.0 / lots, ram_gb=100.0 / lots,
                   expect_s=30.0)
        if await world.submit(gang) not in (200, 201):
            show("the gang wasn't accepted")
            return 2

        last_answer, gap, last_poll, last_look, off_since = time.monotonic(), 0.0, 0.0, 0.0, None
        while world.record.now() < END_S and gap < FORGOTTEN_S:
            now = time.monotonic()
            if now - last_poll >= 5.0:
                last_poll = now
                status, body, node = await world.user("GET", f"/api/jobs/{feed['id']}", timeout=2.0)
                say(f"poll {feed['id']} at {node}: {status} {body}")
                if status in (200, 404):
                    last_answer = time.monotonic()
            if now - last_look >= 1.0:
                last_look = now
                answers = await asyncio.gather(*[call(n.public, "GET", "/healthz", timeout=1.0)
                                                 for n in world.nodes.values()])
                shown = {n.name: (a or ["no answer"])[0] for n, a in zip(world.nodes.values(), answers)}
                off_since = None if on() else off_since or now
                say(f"health: {shown}; replica of {feed['id']} runs: {on()}")
            gap = time.monotonic() - last_answer
            await asyncio.sleep(0.2)
        ended = [n.name for n in world.nodes.values() if n.process.returncode is not None]
        show(f"last answer about {feed['id']} {gap:.0f} s ago; its replica "
             + ("runs" if on() else f"hasn't run for {time.monotonic() - off_since:.0f} s" if off_since else "is gone")
             + f"; tasks of the gang that started: {len({s[1] for s in world.starts if s[1].startswith(gang['id'])})}; "
             + f"controllers that ended: {ended}")
        if gap >= FORGOTTEN_S:
            show("broken, forgotten: no question about an accepted job was answered for 75 s")
            return 1
        show("held: questions were answered")
        return 0
    finally:
        await world.close()


run_case(main)
