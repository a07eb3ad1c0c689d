"""Replaces primaries while a replica receives nothing and transactions are
open."""

import asyncio
import os
import random
import secrets
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "second"))

from fleet import Fleet, main
from standins import ClientFailure

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# For trials with one of the two: PART=deaf or PART=release.
PART = os.environ.get("PART", "")
DEAF = TROUBLE and PART != "release"
RELEASE = PART != "deaf"
SERVICES = 3
SESSIONS = 2  # Of each service, which is a quiet one.
LENGTH_S = 76
SETTLE_S = 5
DEAF_S = 4  # A replica receives nothing for so long, at most.
DRAIN_S = 7  # A leaving server serves for so long, and a little longer.
GAP_S = 1  # From a change of primary to the next one, of another service.


async def session(fleet, group, number, until, counts):
    """Runs transactions of two writes with a pause between them."""
    client = fleet.client(group, number)
    await asyncio.sleep(random.random())
    while fleet.record.now() < until:
        try:
            if not client.writer:
                await client.open()
            await client.query("BEGIN")
            await client.query(f"WRITE a{number} {secrets.token_hex(4)}")
            await asyncio.sleep(random.uniform(0.3, 1.5))
            await client.query(f"WRITE b{number} {secrets.token_hex(4)}")
            await client.query("COMMIT")
            counts["committed"] += 1
            await asyncio.sleep(random.uniform(0, 0.2))
        except (ClientFailure, OSError, asyncio.TimeoutError):
            counts["failed"] += 1
            client.close()
            await asyncio.sleep(0.2)
    client.close()


async def leave(group, server):
    await asyncio.sleep(DRAIN_S + 0.5)
    group.remove(server)


async def replace(fleet, group, counts):
    """The new server starts first, the old one drains. Returns the task that
    ends the old one."""
    old = group.leader
    await group.add(fleet.new_server(group, old.zone))
    await asyncio.sleep(1)
    replicas = [
        it for it in group.servers.values() if it is not old and it.state == "ready"
    ]
    deaf = random.choice(replicas)
    if DEAF:
        deaf.deaf = True
        fleet.record.line(f"deaf service={group.name} id={deaf.name}")
    ended = None
    if RELEASE:
        fleet.record.line(f"draining service={group.name} id={old.name}")
        group.announce(old, "draining")
        ended = asyncio.ensure_future(leave(group, old))
    for _ in range(DEAF_S * 10):
        if group.leader is not old:
            counts["changes"] += 1
            break
        await asyncio.sleep(0.1)
    deaf.deaf = False
    fleet.record.line(f"receives again service={group.name} id={deaf.name}")
    group.catch_up()
    return ended


async def release(fleet, until, counts):
    """One primary at a time, those of all services in turn."""
    tasks = []
    while fleet.record.now() < until:
        for group in fleet.groups:
            tasks.append(await replace(fleet, group, counts))
            await asyncio.sleep(GAP_S)
    await asyncio.gather(*(it for it in tasks if it))


async def run(record):
    fleet = Fleet(record, SERVICES, sync=1)
    counts = {"committed": 0, "failed": 0, "changes": 0}
    try:
        if not await fleet.start():
            print("a daemon is not ready")
            return 2
        until = record.now() + SETTLE_S + LENGTH_S
        tasks = [
            asyncio.ensure_future(session(fleet, group, n, until, counts))
            for group in fleet.groups
            for n in range(SESSIONS)
        ]
        await asyncio.sleep(SETTLE_S)
        tasks.append(asyncio.ensure_future(release(fleet, until - 12, counts)))
        await asyncio.gather(*tasks)
    finally:
        await fleet.stop()
    lost = fleet.lost_commits()
    text = f"{counts}, acknowledged commits lost: {len(lost)}"
    record.line(text)
    print(text)
    if counts["committed"] == 0 or (RELEASE and counts["changes"] == 0):
        return 2
    return 1 if lost else 0


main(HERE, run)
