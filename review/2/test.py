"""A service whose commits wait for one replica (`sync_replicas` 1): one replica
receives nothing for a while, the other one drains in planned work and goes on
receiving; then the primary crashes.

Checks that each commit that was acknowledged before a promotion is in the log
of the backend that is promoted.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import callers  # noqa: E402
import world as deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_S = 24.0  # Of traffic.
CALLERS = 9
DEAF_AT_S, DEAF_S = 5.0, 6.5
DRAIN_AT_S, DRAIN_MS, LINGER_S = 6.0, 7000, 3.0
CRASH_AT_S, CRASH_S = 8.0, 7.0
HEARTBEATS_S = 3.6  # Three of 1,200 ms: then the entry of a crashed one goes.


async def call(caller, until, acknowledged):
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        request = await caller.write()
        if request:
            acknowledged[request] = loop.time()
        await asyncio.sleep(caller.random.uniform(0.02, 0.08))
    caller.close()


async def drain(world, backend):
    """Planned work: the backend reports that it leaves, serves on, and ends."""
    await asyncio.sleep(DRAIN_AT_S)
    backend.draining = True
    world.service.announce(backend)
    world.record(f"{backend.id} is draining")
    await asyncio.sleep(DRAIN_MS / 1000 + LINGER_S)
    world.store.delete("servers", backend.id)
    backend.crash()
    world.record(f"{backend.id} has ended")


async def miss(world, backend):
    await asyncio.sleep(DEAF_AT_S)
    backend.deaf = True
    world.record(f"{backend.id} receives nothing from now on")
    await asyncio.sleep(DEAF_S)
    backend.hear()
    world.record(f"{backend.id} receives again")


async def crash(world, backend):
    await asyncio.sleep(CRASH_AT_S)
    backend.crash()
    world.record(f"{backend.id} crashes")
    await asyncio.sleep(HEARTBEATS_S)
    world.store.delete("servers", backend.id)
    await asyncio.sleep(CRASH_S - HEARTBEATS_S)
    await backend.start()
    if not backend.leads():
        backend.follow(world.service.primary)
    backend.born += 1
    world.service.announce(backend)
    world.record(f"{backend.id} is back")


async def main(world):
    world.service.sync = 1
    await world.start()
    primary, deaf, draining = world.service.backends.values()
    sessions = [
        callers.Caller(f"c{n}", it.ip, deployment.DATABASE, world.record)
        for n, it in enumerate(world.fleet.daemons[:CALLERS])
    ]
    loop = asyncio.get_running_loop()
    until = loop.time() + RUN_S
    acknowledged = {}
    led = []
    work = [call(it, until, acknowledged) for it in sessions]
    work.append(drain(world, draining))
    if TROUBLE:
        work += [miss(world, deaf), crash(world, primary)]
    world.service.on_promoted = lambda: led.append(loop.time())
    await asyncio.gather(*work)
    print(f"{len(acknowledged)} writes acknowledged, {len(led)} promotions")
    if not acknowledged:
        raise RuntimeError("no write was acknowledged")
    out = []
    for at, (backend, log) in zip(led, world.service.promoted):
        held = {entry[4] for entry in log}
        lost = [r for r, t in acknowledged.items() if t < at and r not in held]
        if lost:
            out.append(
                f"LOST: {len(lost)} acknowledged commits are not in the log of "
                f"{backend.id}, which is promoted: {lost[:3]} ..."
            )
    return out


if __name__ == "__main__":
    sys.exit(deployment.run(HERE, main))
