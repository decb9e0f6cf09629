"""A leader's process ends, and a late copy of an order that it sent and that was carried out arrives at a worker."""

import asyncio
import json
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
    "teams": [{"name": "team-a", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [],
    "workers": {"report_s": 1.5, "lease_s": 10.0, "gang_wait_s": 45.0, "gang_peer_s": 8.0, "cancel_s": 30.0},
    "state": {"rps": 200.0, "write_rps": 20.0, "value_kb": 32.0, "txn_ops": 12},
    "cloud": {"rps": 8.0, "list_lag_s": 10.0},
    "limits": {"cpu": 0.08, "ram_mb": 72.0, "fd_limit": 1000}, "skew_ms": 250.0,
}
ZONES = ["oulu", "espoo", "tampere"]
TYPES = [{"sku": "iso", "cores": 64, "gpus": 0, "ram_gb": 512, "local_gb": 60, "fetch_gb_per_s": 0.3,
          "price": 4.28, "market_price": 1.92, "startup_s": 20, "quays": ZONES}]
RESTART_S = 3.0  # "back about 3 s after an end"
COPY_S = 0.7  # the copy arrives this long after the end of the process


async def main():
    world = World(FOLDER, CLUSTER, TYPES, {("iso", "oulu", False): 1}, ZONES, boot_s=2.0)
    say, show = world.record.say, world.record.show
    on = lambda spec: world.on_machine.get(f"{spec['id']}/0", set())
    try:
        await world.prepare()
        world.store.delay = lambda: 0.005
        first = world.cloud.machines[world.cloud.rent("iso", "espoo", False, 0.5)]  # up at the start
        for node in world.nodes.values():
            await node.start()
        if not await world.until(lambda: all(n.healthy for n in world.nodes.values()) and first.up, 15):
            show("the deployment didn't come up")
            return 2

        # A low task runs on the first machine, until an urgent one takes its place.
        low = job(1, rank="low", cores=40.0, expect_s=60.0)
        await world.submit(low)
        if not await world.until(lambda: on(low), 10):
            show("the low task didn't start")
            return 2
        lot, attempt = f"{low['id']}/0", next(iter(on(low)))[1]
        urgent = job(2, rank="prod", shape="service", cores=40.0, expect_s=0.0)
        await world.submit(urgent)
        moved = lambda: on(urgent) and any(machine != first.name for machine, _ in on(low))
        if not await world.until(moved, 25) or (lot, attempt) in first.lots:
            show("the low task wasn't stopped, cleared and started on another machine")
            return 2
        # The urgent job's user cancels it, so that the first machine has room again.
        status, body, node = await world.user("POST", f"/api/jobs/{urgent['id']}/withdraw")
        say(f"withdraw {urgent['id']} at {node}: {status} {body}")
        if not await world.until(lambda: not on(urgent), 10):
            show("the cancelled task didn't end")
            return 2
        await asyncio.sleep(1.0)
        leader = world.nodes[world.store.keys["ctl/leader"][0]["node"]]
        if trouble():
            message = next(m for m in first.received if {"verb": "run", "lot": lot, "try": attempt} in m["orders"])
            await leader.kill()
            ended = time.monotonic()
            await asyncio.sleep(COPY_S)
            say(f"{first.name}: a copy of an old message arrives: {json.dumps(message)}")
            answer = await call(first.endpoint, "POST", "/orders", message)
            say(f"{first.name}: answers {answer and answer[0]}, which nobody waits for")
            await asyncio.sleep(max(0.0, ended + RESTART_S - time.monotonic()))
            await leader.start()
        await asyncio.sleep(12.0)
        for lot, machine, elsewhere in world.ran_twice:
            show(f"broken, ran_twice: {lot} started on {machine} while it was on {elsewhere}")
        if world.ran_twice:
            return 1
        show(f"held: {lot} is on {sorted(on(low))} alone")
        return 0
    finally:
        await world.close()


run_case(main)
