"""Runs many daemons on the stand-in platform while an account sends several
times its limit, restarts, suspends and cuts off daemons, and counts what
targets ran for the account in any window.

Usage: account_limit.py DAEMON [SECONDS [SEED [DAEMONS [PORT [FAULTS]]]]]
Uses the ports from PORT on; runs side by side need 1,000 each.
"""

import asyncio
import bisect
import functools
import os
import random
import shutil
import signal
import sys
import tempfile

import daemons
from store import Store, serve_http
from targets import Group, Target

# Offsets from the first port.
STORES, PROVIDER, TARGETS, DAEMONS = (0, 2), 1, 10, 100
PORTS = 10  # For each daemon.
ZONES = {"press": "tartu", "depot": "tartu", "desk": "tallinn"}
WINDOW, OVERSHOOT, SLACK = 5.0, 0.1, 20
RATE, BURST = 60, 60
LOAD = 6  # Times the limit.
SESSIONS = 4  # At each daemon.
KEY = "a-key-of-the-busy-account"
START_LIMIT = 30.0  # Seconds until a daemon is ready.

SETTINGS = """
node_name: "entry-{n}"
ip: "127.0.0.1"
zone: "{zone}"
region: "{region}"
zones: {{press: "tartu", depot: "tartu", desk: "tallinn"}}
listen: {{frontend: "127.0.0.1:{port}", readiness: "127.0.0.1:{ready}"}}
internal_ports: [{inner}, {last}]
bootstrap: {first}
bounds: {{grace_s: 2, quota_window_s: 5, quota_overshoot: 0.1, quota_slack: 20}}
platform: {{address: "127.0.0.1:{store}", reads_per_s: 2000}}
provider: {{address: "127.0.0.1:{provider}"}}
"""


def allowed():
    return (RATE * WINDOW + BURST) * (1 + OVERSHOOT) + SLACK


class Load:
    """Sends reads of the account at an even rate through all daemons."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.sent = {}  # Time by request.
        self.arrived = []  # (time, request), as the targets saw them.
        self.served = 0
        self.refused = 0

    async def session(self, number, ports, until):
        loop = asyncio.get_running_loop()
        count = 0
        while loop.time() < until:
            writer = None
            try:
                port = ports[number % len(ports)]
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", port), 1
                )
                writer.write(f"START views {KEY}\r\n".encode())
                line = await asyncio.wait_for(reader.readline(), 3)
                while line.startswith(b"READY") and loop.time() < until:
                    count += 1
                    request = f"c{number}q{count}"
                    self.sent[request] = loop.time()
                    writer.write(f"QUERY {request} READ item\r\n".encode())
                    ok = True
                    while not (
                        line := await asyncio.wait_for(reader.readline(), 3)
                    ).startswith(b"READY"):
                        ok = ok and bool(line) and not line.startswith(b"ERROR")
                        if not line:
                            raise ConnectionError
                    self.served += ok
                    self.refused += not ok
                    pause = SESSIONS * len(ports) / (RATE * LOAD)
                    await asyncio.sleep(self.random.uniform(0, 2 * pause))
                else:
                    await asyncio.sleep(0.1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
            finally:
                if writer:
                    writer.close()

    def most_in_window(self):
        """The most reads that were both sent and arrived within a window, further
        copies included, with the time at which the window began."""
        runs = [(at, self.sent[it]) for at, it in self.arrived if it in self.sent]
        runs.sort()
        times = [at for at, _ in runs]
        most = (0, 0.0)
        for begin in sorted({sent for _, sent in runs}):
            first = bisect.bisect_left(times, begin)
            last = bisect.bisect_right(times, begin + WINDOW)
            n = sum(sent >= begin for _, sent in runs[first:last])
            most = max(most, (n, begin))
        return most


class CountingGroup(Group):
    """Notes when a statement of a caller arrives at a target."""

    def __init__(self, name, store, load):
        super().__init__(name, store)
        self.load = load

    def check_account(self, request, account):
        if request != "-":
            now = asyncio.get_running_loop().time()
            self.load.arrived.append((now, request))


class World:
    max_connections = 400  # Of each target.

    def __init__(self, program, folder, count, load, first_port):
        self.program = program
        self.folder = folder
        self.count = count
        self.first_port = first_port
        self.ports = [first_port + DAEMONS + PORTS * n for n in range(count)]
        self.store = Store()
        self.group = CountingGroup("ledger", self.store, load)
        self.processes = {}
        self.version = 12
        self.away_from = set()  # Ports at which the store does not answer.

    async def start(self):
        for port in STORES:
            await serve_http(
                self.first_port + port, functools.partial(self.answer_store, port)
            )
        await serve_http(self.first_port + PROVIDER, self.answer_provider)
        for n, zone in enumerate(ZONES):
            port = self.first_port + TARGETS + n
            target = Target(self.group, f"i-{zone}", port, zone, n == 0)
            target.max_connections = self.max_connections
            await target.start()
            self.group.add(target)
        self.put_configuration()
        await asyncio.gather(*(self.launch(n, True) for n in range(self.count)))
        await asyncio.gather(
            *(daemons.until_ready(it + 1, START_LIMIT) for it in self.ports)
        )

    def put_configuration(self):
        spec = {
            "version": self.version,
            "routes": [
                {
                    "name": "r3",
                    "host": "views",
                    "type": "bounded_staleness",
                    "max_staleness_ms": 1500,
                    "service": "ledger",
                    "timeout_ms": 800,
                    "latency_goal_ms": 500,
                    "priority": 1,
                }
            ],
            "services": [
                {"name": "ledger", "max_conns": 300, "sync_replicas": 0}
            ],
            "limits": {"tx_idle_ms": 3000},
            "tenants": [
                {
                    "name": "busy",
                    "api_keys": [KEY],
                    "priority": 1,
                    "rate_per_s": RATE,
                    "burst": BURST,
                }
            ],
        }
        self.store.put("config", "main", spec)

    def store_port(self, n):
        """Every third daemon reaches the store at a port of its own."""
        return STORES[n % 3 == 0]

    async def answer_store(self, port, method, target, _, body):
        while self.store.away or port in self.away_from:
            await asyncio.sleep(0.05)
        return await self.store.answer(method, target, body)

    async def answer_provider(self, _, __, ___, body):
        return (200, {}) if await self.group.promote(body["id"]) else (409, {})

    async def launch(self, n, first=False):
        zone = list(ZONES)[n % len(ZONES)]
        port = self.ports[n]
        path = os.path.join(self.folder, f"{n}.yaml")
        with open(path, "w") as file:
            file.write(
                SETTINGS.format(
                    n=n,
                    zone=zone,
                    region=ZONES[zone],
                    port=port,
                    ready=port + 1,
                    inner=port + 2,
                    last=port + 5,
                    store=self.first_port + self.store_port(n),
                    provider=self.first_port + PROVIDER,
                    first=str(first).lower(),
                )
            )
        with open(os.path.join(self.folder, f"{n}.log"), "a") as log:
            self.processes[n] = await daemons.start(self.program, path, log)

    async def kill(self, n, how=signal.SIGKILL):
        process = self.processes.pop(n)
        process.send_signal(how)
        await process.wait()

    def ended(self):
        """The daemons that have ended by themselves."""
        return [
            n for n, it in self.processes.items() if it.returncode is not None
        ]

    def stop_all(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()

    def counters(self):
        """The daemons that were asked to count, by their log lines."""
        out = set()
        for n in range(self.count):
            with open(os.path.join(self.folder, f"{n}.log")) as file:
                if "event=PF3012 " in file.read():
                    out.add(n)
        return sorted(out)


class Faults:
    """Faults in series that overlap, drawn by a seed."""

    def __init__(self, world, seed):
        self.world = world
        self.random = random.Random(seed)
        self.lines = []
        self.free = [asyncio.Lock() for _ in range(world.count)]

    def victims(self, most):
        counting = self.world.counters()[:4]
        others = self.random.sample(range(self.world.count), most)
        out = set(self.random.sample(counting, min(2, len(counting))))
        return sorted(out | set(others))

    async def restart(self, how, wait):
        async def one(n):
            async with self.free[n]:
                await self.world.kill(n, how)
                await asyncio.sleep(wait)
                await self.world.launch(n)

        victims = self.victims(self.random.randint(1, 4))
        self.lines.append(f"{how.name} of {victims}, back after {wait:.2f} s")
        await asyncio.gather(*(one(n) for n in victims))

    async def suspend(self):
        victims = self.victims(2)
        span = self.random.uniform(0.2, 2.5)
        self.lines.append(f"{victims} suspended for {span:.2f} s")

        async def one(n):
            async with self.free[n]:
                self.world.processes[n].send_signal(signal.SIGSTOP)
                await asyncio.sleep(span)
                self.world.processes[n].send_signal(signal.SIGCONT)

        await asyncio.gather(*(one(n) for n in victims))

    async def store_away(self):
        span = self.random.uniform(1, 5)
        self.lines.append(f"the store is away for {span:.2f} s")
        self.world.store.away = True
        await asyncio.sleep(span)
        self.world.store.away = False

    async def lists_differ(self):
        """Some daemons keep a list of all, the others one without those."""
        span = self.random.uniform(1, 6)
        self.lines.append(f"lists differ for {span:.2f} s")
        port = STORES[1]
        self.world.away_from.add(port)
        for kind, objects in self.world.store.objects.items():
            if kind in ("config", "servers"):
                continue
            for name in list(objects):
                number = name.rpartition("entry-")[2]
                if number.isdigit() and self.world.store_port(int(number)) == port:
                    self.world.store.delete(kind, name)
        await asyncio.sleep(span)
        self.world.away_from.discard(port)

    async def targets_fail(self):
        span = self.random.uniform(0.5, 4)
        self.lines.append(f"reads fail for {span:.2f} s")
        self.world.group.fails_read = lambda: self.random.random() < 0.4
        await asyncio.sleep(span)
        self.world.group.fails_read = lambda: False

    async def targets_late(self):
        span = self.random.uniform(0.5, 4)
        self.lines.append(f"some reads take 0.5 s for {span:.2f} s")
        late = lambda: 0.5 if self.random.random() < 0.2 else 0.002
        self.world.group.run_time = late
        await asyncio.sleep(span)
        self.world.group.run_time = lambda: 0.002

    async def configure(self):
        self.world.version += 3
        self.world.put_configuration()

    async def restart_counters(self, until):
        """Kills the daemons that count, while the store is away."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(3)
            away = asyncio.create_task(self.store_away())
            await asyncio.sleep(0.2)
            victims = self.world.counters()
            self.lines.append(f"SIGKILL of {victims}")
            for n in victims:
                await self.world.kill(n)
                await self.world.launch(n)
            await away

    async def run(self, until):
        loop = asyncio.get_running_loop()
        under_way = []
        while loop.time() < until:
            how = self.random.choice([signal.SIGKILL, signal.SIGTERM])
            wait = self.random.choice([0.0, 0.1, 1.0])
            kinds = {
                lambda: self.restart(how, wait): 4,
                self.suspend: 2,
                self.store_away: 2,
                self.lists_differ: 1,
                self.targets_fail: 1,
                self.targets_late: 1,
                self.configure: 1,
            }
            begin = self.random.choices(list(kinds), kinds.values())[0]
            under_way.append(asyncio.create_task(begin()))
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        await asyncio.gather(*under_way)


async def main(program, seconds, seed, count, first_port, scenario):
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory() as folder:
        load = Load(seed)
        world = World(program, folder, count, load, first_port)
        faults = Faults(world, seed)
        try:
            await world.start()
            begin = loop.time()
            until = begin + seconds
            sessions = [
                load.session(n, world.ports, until)
                for n in range(SESSIONS * count)
            ]
            await asyncio.gather(
                getattr(faults, scenario)(until - min(5, seconds / 3)), *sessions
            )
            ended = world.ended()
        finally:
            world.stop_all()
        most, at = load.most_in_window()
        copies = len(load.arrived) - len({it for _, it in load.arrived})
        print(
            f"seed {seed}: {count} daemons, {load.served} served, "
            f"{load.refused} refused, {copies} further copies; at most {most} "
            f"in a window, {allowed():.0f} allowed"
        )
        if ended:
            print(f"ended by themselves: {ended}")
        if most > allowed() or ended or not load.served:
            print(f"the window begins {at - begin:.2f} s after the load")
            print("\n".join(faults.lines))
            keep = os.environ.get("PERIDOTFALL_KEEP_LOGS")
            if keep:
                shutil.copytree(folder, os.path.join(keep, f"seed-{seed}"))
            return 1
        return 0


if __name__ == "__main__":
    arguments = sys.argv[1:]
    sys.exit(
        asyncio.run(
            main(
                arguments[0],
                float(arguments[1]) if len(arguments) > 1 else 20,
                int(arguments[2]) if len(arguments) > 2 else 1,
                int(arguments[3]) if len(arguments) > 3 else 24,
                int(arguments[4]) if len(arguments) > 4 else 7700,
                arguments[5] if len(arguments) > 5 else "run",
            )
        )
    )
