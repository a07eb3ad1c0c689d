"""A daemon that holds connections to the primary is killed and started again
while transactions of other daemons' clients pause on these connections.

Checks at the backends that no transaction has statements of two clients'
transactions, that none is committed whose client has not asked for it, and
that nothing is kept of an attempt whose client was promised so.
"""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import callers  # noqa: E402
import world as deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# RESTART=term: the daemons are stopped and started in turn, as planned work.
HOW = signal.SIGTERM if os.environ.get("RESTART") == "term" else signal.SIGKILL
RUN_S = 9.0  # Of traffic.
CALLERS = 12
KILL_EVERY_S = 2.0
KILLS = 3  # Each daemon of the primary's zone once.
DOWN_S = 0.3  # Until the platform starts a killed process again.
SHORTEST_PAUSE_S, LONGEST_PAUSE_S = 2.0, 2.8  # Below `tx_idle_ms`, 3,000.


async def call(caller, until):
    loop = asyncio.get_running_loop()

    def pause():
        return caller.random.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S)

    await asyncio.sleep(caller.random.uniform(0, 1))
    while loop.time() < until:
        attempt = await caller.transaction(caller.random.randint(2, 4), pause)
        failed = attempt.outcome != "kept"
        await asyncio.sleep(0.2 if failed else caller.random.uniform(0.02, 0.2))
    caller.close()


async def restart_holders(world):
    """Ends and starts one daemon of the primary's zone after the other."""
    daemons = world.fleet.of(world.service.primary.zone)
    for n in range(KILLS):
        await asyncio.sleep(KILL_EVERY_S - DOWN_S)
        victim = daemons[(n + 1) % len(daemons)]
        world.record(f"{HOW.name} of {victim.name}")
        await victim.kill(HOW)
        await asyncio.sleep(DOWN_S)
        await victim.start()
        world.record(f"{victim.name} is started again")


def attempt_of(request):
    return request.partition(".")[0]


def findings(world, attempts):
    out = []
    members = {}
    for backend, transaction, request in world.service.ran:
        if transaction:
            members.setdefault((backend, transaction), []).append(request)
    for (_, transaction), requests in members.items():
        owners = {attempt_of(it) for it in requests}
        if len(owners) > 1:
            out.append(f"PINNED: transaction {transaction} ran {requests}")
    for transaction, writes, _ in world.service.commits:
        for name in sorted({attempt_of(it) for it in writes}):
            attempt = attempts[name]
            if not attempt.asked_commit:
                out.append(
                    f"UNASKED: transaction {transaction} of {name} is committed, "
                    "its client has not asked for it"
                )
            if attempt.outcome == "not kept":
                out.append(
                    f"REFUSED: writes of {name} are committed, its client was "
                    "promised that nothing is kept"
                )
    return out


async def main(world):
    await world.start()
    ip = world.fleet.of("tallinn-desk")[0].ip
    sessions = [
        callers.Caller(f"c{n}", ip, deployment.DATABASE, world.record)
        for n in range(CALLERS)
    ]
    until = asyncio.get_running_loop().time() + RUN_S
    work = [call(it, until) for it in sessions]
    if TROUBLE:
        work.append(restart_holders(world))
    await asyncio.gather(*work)
    ended = [it.name for it in world.fleet.daemons if it.ended()]
    if ended:
        raise RuntimeError(f"ended by themselves: {ended}")
    attempts = {it.name: it for s in sessions for it in s.attempts}
    kept = sum(it.outcome == "kept" for it in attempts.values())
    print(f"{len(attempts)} attempts, {kept} kept")
    if not kept:
        raise RuntimeError("no transaction was served")
    return findings(world, attempts)


if __name__ == "__main__":
    sys.exit(deployment.run(HERE, main))
