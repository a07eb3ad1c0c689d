"""Another writer puts an entry with a field of another type into the platform's
list of servers: `address` is a list of lists, 800,000 bytes long.

Processes that end are started again after a second, as on the platform. Checks
that processes don't end by themselves.
"""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import callers  # noqa: E402
import store  # noqa: E402
import world as deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_S = 24.0  # Of traffic.
ENTRY_AT_S = 4.0
RESTART_S = 1.0  # Until the platform starts a process again that has ended.
OWN_ENDS = 3  # A machine with as many own ends counts as faulty,
FAULTY_MACHINES = 2  # and as many such machines break the rule.
DEPTH = 400_000
NESTED = "nested"  # Stands for the value, which Python can't write as JSON.
MAX_VALUE_BYTES = 1_048_576


class NestingStore(store.Store):
    """Writes the nested value into its answers."""

    async def answer(self, *call):
        status, out = await super().answer(*call)
        text = json.dumps(out).replace(f'"{NESTED}"', "[" * DEPTH + "]" * DEPTH)
        return status, text.encode()


async def call(caller, until, served):
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        if await caller.write():
            served.append(loop.time())
        await asyncio.sleep(caller.random.uniform(0.05, 0.1))
    caller.close()


async def put_entry(world):
    await asyncio.sleep(ENTRY_AT_S)
    entry = {
        "service": deployment.SERVICE,
        "address": NESTED,
        "zone": "tartu-press",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "cold_ms": 0,
        "sequence": 1,
        "born": 1,
        "db_role": "replica",
    }
    size = len(json.dumps(entry)) + 2 * DEPTH
    assert size < MAX_VALUE_BYTES
    world.store.put("servers", "i-other", entry)
    world.record(f"another writer puts servers/i-other, {size} bytes")


async def restart(world, daemon, until, ends):
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        status = daemon.process.returncode
        if status is None:
            await asyncio.sleep(0.05)
            continue
        ends.append(daemon.name)
        world.record(f"{daemon.name} has ended by itself, status {status}")
        await asyncio.sleep(RESTART_S)
        await daemon.start()
        world.record(f"{daemon.name} is started again")


async def main(world):
    world.store.__class__ = NestingStore
    await world.start()
    loop = asyncio.get_running_loop()
    until = loop.time() + RUN_S
    served, ends = [], []
    work = [
        call(
            callers.Caller(f"c{n}", it.ip, deployment.DATABASE, world.record),
            until,
            served,
        )
        for n, it in enumerate(world.fleet.daemons)
    ]
    work += [restart(world, it, until, ends) for it in world.fleet.daemons]
    if TROUBLE:
        work.append(put_entry(world))
    await asyncio.gather(*work)
    late = sum(it > until - RUN_S + ENTRY_AT_S + 3 for it in served)
    print(f"{len(served)} writes served, {late} of them 3 s after the entry")
    if not served:
        raise RuntimeError("nothing was served before the entry")
    faulty = sorted(it for it in set(ends) if ends.count(it) >= OWN_ENDS)
    if len(faulty) < FAULTY_MACHINES:
        return []
    return [
        f"FAULT: processes ended by themselves {len(ends)} times, "
        f"{OWN_ENDS} times or more on {', '.join(faulty)}"
    ]


if __name__ == "__main__":
    sys.exit(deployment.run(HERE, main))
