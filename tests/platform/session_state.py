"""Runs daemons on the stand-in platform with callers that set values, prepare
statements and leave transactions open, while targets refuse and lose answers
and processes restart. Judges each statement that a target runs.

Usage: session_state.py DAEMON [SECONDS [SEED [DAEMONS [PORT [MODE]]]]]
MODE says what is mixed in, separated by commas: "text" (free text in last
fields), "refusals" (of SET, PREPARE and RESET), "faults"; "all", or "plain" for
none. Uses the ports from PORT on; runs side by side need 1,000 each.
"""

import asyncio
import collections
import os
import random
import shutil
import signal
import sys
import tempfile

import account_limit
import daemons
from statement_callers import Caller
from statement_judge import Judge
from targets import Group, Target

SETUP = ("SET", "PREPARE", "RESET")
CALLERS = 6  # For each daemon.
MOST_CALLERS = 60
READY_LIMIT = 15.0  # Seconds from a restart.
STOP_LIMIT = 8.0  # Seconds from SIGTERM to the end; grace_s is 2.
LATE = 1.2  # Seconds by which an answer is late at most.
ROUTES = {
    "orders": {"type": "primary"},
    "status": {"type": "read_your_writes", "max_staleness_ms": 2500},
    "views": {"type": "bounded_staleness", "max_staleness_ms": 1500},
}


class JudgedGroup(Group):
    """Targets that refuse, are late and lose answers for shares of the time."""

    def __init__(self, name, store, judge, seed, record):
        super().__init__(name, store)
        self.judge = judge
        self.record = record
        self.random = random.Random(f"{seed} targets")
        self.share = collections.Counter()  # Of "setup", "busy", "late", "lost".
        self.setups_refused = 0
        self.opened = 0
        self.run_time = lambda: 0.002 + self.delay()

    def is_drawn(self, trouble):
        return self.random.random() < self.share[trouble]

    def delay(self):
        return self.random.uniform(0.1, LATE) if self.is_drawn("late") else 0

    def note_start(self, session):
        self.opened += 1
        session.number = self.opened

    def note_run(self, session, transaction, request, text, answer):
        self.record(
            f"{session.target.name} connection {session.number}: {request} "
            f"{ascii(text)[:120]}: {answer.code or 'ok'}"
        )
        self.judge.note_run(session, transaction, request, text, answer)

    def refusal(self, word):
        if word in SETUP and self.is_drawn("setup"):
            self.setups_refused += 1
            code = self.random.choice(["BUSY", "FAILED", "TIMEOUT", "MALFORMED"])
            # These two mean that it ran.
            runs = code in ("FAILED", "TIMEOUT") and self.random.random() < 0.5
            return code, runs
        if word not in (*SETUP, "STATUS", "ROLLBACK") and self.is_drawn("busy"):
            return "BUSY", False
        return None

    async def deliver(self, reader, writer, answer):
        await asyncio.sleep(self.delay())
        if not self.is_drawn("lost"):
            await super().deliver(reader, writer, answer)
            return
        how = self.random.choice(["close", "cut", "silent"])
        if how == "cut":
            writer.write(answer[: self.random.randint(1, len(answer) - 1)])
        while how == "silent" and await reader.read(1 << 16):
            pass
        raise ConnectionError(how)


class World(account_limit.World):
    max_connections = 16

    def __init__(self, program, folder, count, seed, first_port):
        super().__init__(program, folder, count, None, first_port)
        self.judge = Judge()
        self.begin = asyncio.get_running_loop().time()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.group = JudgedGroup(
            "ledger", self.store, self.judge, seed, self.record
        )
        self.databases = list(ROUTES)
        self.fence = 0

    def record(self, text):
        at = asyncio.get_running_loop().time() - self.begin
        self.file.write(f"{at:.3f} {text}\n")

    def put_configuration(self):
        common = {
            "service": "ledger",
            "timeout_ms": 800,
            "latency_goal_ms": 500,
            "priority": 1,
        }
        routes = [
            dict(common, name=f"r-{it}", host=it, **ROUTES.get(it, ROUTES["orders"]))
            for it in self.databases
        ]
        spec = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": "ledger", "max_conns": 16, "sync_replicas": 0}],
            "limits": {"tx_idle_ms": 3000},
        }
        self.store.put("config", "main", spec)

    async def answer_provider(self, _, __, headers, body):
        number = int(headers["x-fence-token"])
        if number < self.fence:
            return 409, {}
        self.fence = number
        self.record(f"promotion of {body['id']}, number {number}")
        return (200, {}) if await self.group.promote(body["id"]) else (409, {})

    async def launch(self, n, first=False):
        """Waits for a restarted one: until it handles SIGTERM, that ends it."""
        await super().launch(n, first)
        if first:
            return
        try:
            await daemons.until_ready(self.ports[n] + 1, READY_LIMIT)
        except RuntimeError:
            self.judge.find("Fault", "not ready behind a restart", n)

    async def kill(self, n, how=signal.SIGKILL):
        process = self.processes.pop(n)
        if process.returncode is not None:
            self.judge.find("Fault", "ended by itself", n, process.returncode)
            return
        process.send_signal(how)
        try:
            status = await asyncio.wait_for(process.wait(), STOP_LIMIT)
        except asyncio.TimeoutError:
            self.judge.find("Fault", "not ended by SIGTERM", n)
            process.kill()
            return
        if how == signal.SIGTERM and status != 0:
            self.judge.find("Fault", "exited behind SIGTERM with", n, status)


class Troubles(account_limit.Faults):
    """Troubles in series that overlap, drawn by a seed."""

    def __init__(self, world, seed, mode):
        super().__init__(world, seed)
        self.group = world.group
        self.target_away = asyncio.Lock()
        self.kinds = {}
        if "refusals" in mode:
            self.kinds[self.refuse_setups] = 6
        if "faults" in mode:
            self.kinds.update(
                {
                    self.terminate: 2,
                    self.kill: 2,
                    self.suspend: 2,
                    self.reload: 1,
                    self.reset_targets: 2,
                    self.targets_late: 2,
                    self.answers_lost: 2,
                    self.targets_busy: 1,
                    self.crash_primary: 1,
                    self.drain_primary: 1,
                    self.add_route: 1,
                }
            )

    def victims(self, most):
        most = min(most, (self.world.count + 2) // 3)
        return sorted(self.random.sample(range(self.world.count), most))

    async def terminate(self):
        await self.restart(signal.SIGTERM, self.random.choice([0.0, 0.5]))

    async def kill(self):
        await self.restart(signal.SIGKILL, self.random.choice([0.0, 0.5]))

    async def reload(self):
        for n in self.victims(2):
            async with self.free[n]:
                self.world.processes[n].send_signal(signal.SIGHUP)

    async def for_a_while(self, trouble, least, most):
        # Added up, as the same one may overlap.
        share = self.random.uniform(least, most)
        span = self.random.uniform(0.5, 3)
        self.lines.append(f"{trouble}: share {share:.2f} for {span:.2f} s")
        self.group.share[trouble] += share
        await asyncio.sleep(span)
        self.group.share[trouble] -= share

    async def refuse_setups(self):
        await self.for_a_while("setup", 0.02, 0.25)

    async def targets_late(self):
        await self.for_a_while("late", 0.02, 0.3)

    async def answers_lost(self):
        await self.for_a_while("lost", 0.01, 0.1)

    async def targets_busy(self):
        await self.for_a_while("busy", 0.05, 0.5)

    async def reset_targets(self):
        share = self.random.choice([0.2, 1])
        for target in self.group.targets.values():
            for writer in list(target.writers):
                if self.random.random() < share:
                    writer.transport.abort()

    async def restart_target(self, target, span):
        """With its log; it leads again unless another one leads by then."""
        led, term = target.primary, self.group.term
        target.crash()
        await asyncio.sleep(span / 2)
        if self.random.random() < 0.7:
            self.world.store.delete("servers", target.name)
        await asyncio.sleep(span / 2)
        await target.start()
        # No await in between: a commit after the copy is replicated to it too.
        target.log = list(self.group.newest().log)
        target.primary = led and self.group.term == term
        self.group.announce(target)

    def primary(self):
        return next((it for it in self.group.targets.values() if it.primary), None)

    async def crash_primary(self):
        async with self.target_away:
            if target := self.primary():
                self.lines.append(f"{target.name} crashes")
                await self.restart_target(target, self.random.uniform(0.5, 3))

    async def drain_primary(self):
        async with self.target_away:
            if target := self.primary():
                self.lines.append(f"{target.name} drains")
                self.group.announce(target, "draining")
                await asyncio.sleep(2)
                await self.restart_target(target, self.random.uniform(0.5, 2))

    async def add_route(self):
        name = f"new-{self.world.version}"
        self.world.databases.append(name)
        await self.configure()

    async def run(self, until):
        loop = asyncio.get_running_loop()
        under_way = []
        while self.kinds and loop.time() < until:
            begin = self.random.choices(
                list(self.kinds), list(self.kinds.values())
            )[0]
            self.world.record(f"trouble: {begin.__name__}")
            under_way.append(asyncio.create_task(begin()))
            await asyncio.sleep(self.random.uniform(0.1, 1))
        for it in await asyncio.gather(*under_way, return_exceptions=True):
            # A signal to a daemon that has ended, which is found at the end.
            if it and not isinstance(it, ProcessLookupError):
                raise it


def summary(world, callers, seed):
    served = sum(it.served for it in callers)
    refused = sum((it.refused for it in callers), collections.Counter())
    codes = " ".join(f"{code} {n}" for code, n in sorted(refused.items()))
    return (
        f"seed {seed}: {world.judge.judged} statements judged, {served} served, "
        f"refused: {codes or 'none'}; {world.group.opened} connections opened at "
        f"targets, {world.group.setups_refused} set-ups refused, term "
        f"{world.group.term}"
    )


async def main(program, seconds, seed, count, first_port, mode):
    loop = asyncio.get_running_loop()
    modes = "text,refusals,faults" if mode == "all" else mode
    with tempfile.TemporaryDirectory() as folder:
        world = World(program, folder, count, seed, first_port)
        troubles = Troubles(world, seed, modes)
        callers = [
            Caller(n, world, seed, "text" in modes)
            for n in range(min(CALLERS * count, MOST_CALLERS))
        ]
        try:
            await world.start()
            until = loop.time() + seconds
            await asyncio.wait_for(
                asyncio.gather(
                    troubles.run(until - min(3, seconds / 3)),
                    *(it.run(until) for it in callers),
                ),
                seconds + 60,
            )
            # Until what is late at a target has run.
            await asyncio.sleep(2 * LATE)
            for n in world.ended():
                status = world.processes[n].returncode
                world.judge.find("Fault", "ended by itself", n, status)
        finally:
            world.stop_all()
        world.judge.judge_log(world.group.newest().log)
        print(summary(world, callers, seed))
        findings = world.judge.findings
        for rule, (n, example) in sorted(findings.items()):
            print(f"{rule} {n} times, first: {example}")
        world.file.close()
        keep = os.environ.get("PERIDOTFALL_KEEP_LOGS")
        if keep and findings:
            shutil.copytree(folder, os.path.join(keep, f"seed-{seed}-{mode}"))
        served = sum(it.served for it in callers)
        return 1 if findings or not served else 0


if __name__ == "__main__":
    arguments = sys.argv[1:]
    sys.exit(
        asyncio.run(
            main(
                arguments[0],
                float(arguments[1]) if len(arguments) > 1 else 20,
                int(arguments[2]) if len(arguments) > 2 else 1,
                int(arguments[3]) if len(arguments) > 3 else 5,
                int(arguments[4]) if len(arguments) > 4 else 8700,
                arguments[5] if len(arguments) > 5 else "all",
            )
        )
    )
