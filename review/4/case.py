"""Makes primaries go dark for a moment, while sessions write."""

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
DARK_S = 1.6
SERVICES = 3
SESSIONS = 30  # Of each service.
LENGTH_S = 70
SETTLE_S = 6
GAP_S = 2  # From the return of one primary until the next one goes dark.


async def session(fleet, group, number, until, counts):
    """Sends single writes, one after the other."""
    client = fleet.client(group, number)
    await asyncio.sleep(random.random())
    while fleet.record.now() < until:
        try:
            if not client.writer:
                await client.open()
            await client.query(f"WRITE a{number} {secrets.token_hex(4)}")
            counts["committed"] += 1
            await asyncio.sleep(random.uniform(0.02, 0.1))
        except (ClientFailure, OSError, asyncio.TimeoutError):
            counts["failed"] += 1
            client.close()
            await asyncio.sleep(0.2)
    client.close()


async def darken(fleet, until, counts):
    """One primary at a time, those of all services in turn."""
    while fleet.record.now() < until:
        for group in fleet.groups:
            old = group.leader
            fleet.record.line(f"dark service={group.name} id={old.name}")
            old.go_dark()
            await asyncio.sleep(DARK_S)
            old.come_back()
            fleet.record.line(f"back service={group.name} id={old.name}")
            await asyncio.sleep(GAP_S)
            counts["changes"] += group.leader is not old
            group.announce(old)
            group.catch_up()


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
        if TROUBLE:
            tasks.append(asyncio.ensure_future(darken(fleet, until - 12, counts)))
        await asyncio.gather(*tasks)
    finally:
        await fleet.stop()
    lost = fleet.lost_commits()
    text = f"{counts}, acknowledged commits lost: {len(lost)}"
    record.line(text)
    print(text)
    if counts["committed"] == 0 or (TROUBLE and counts["changes"] == 0):
        return 2
    return 1 if lost else 0


main(HERE, run)
