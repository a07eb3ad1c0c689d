"""Runs daemons on a stand-in platform, injects faults, and checks the results
of the callers: every acknowledged write is in the log exactly once, no read
misses the caller's own write, no write refused as not run is in the log, each
statement runs for its caller's account, and a removed key is not served.

Usage: run.py DAEMON [SECONDS [SEED]]; DAEMON is the program's path.
"""

import asyncio
import fcntl
import os
import random
import secrets
import signal
import sys
import tempfile
import termios

import daemons
from store import Store, raw, serve_http
from targets import Group, Target

STORE, PROVIDER, TARGETS, DAEMONS = 7600, 7601, 7610, 7620
ZONES = {"press": "tartu", "depot": "tartu", "desk": "tallinn"}
UNREAD = "press"  # The log pipe of this zone's daemon is never read.
CLOSED = "desk"  # The log pipe of this zone's daemon has no reader.
PIPE_BYTES = 4096  # Full after about thirty lines.
LONGEST_LINE = 512
SETTINGS_REJECTED = "PF1006"
NOT_RUN = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}
CALLERS = 9
KEY_REMOVED = "AUTHFAIL"
START_LIMIT = 10.0  # Seconds until a daemon is ready.
CONFIGURATION_LIMIT = 3.0  # Seconds until a configuration is in force.

SETTINGS = """
node_name: "entry-{zone}"
ip: "127.0.0.1"
zone: "{zone}"
region: "{region}"
zones: {{press: "tartu", depot: "tartu", desk: "tallinn"}}
listen: {{frontend: "127.0.0.1:{port}", readiness: "127.0.0.1:{ready}"}}
internal_ports: [{inner}, {last}]
bounds: {{grace_s: 4}}
platform: {{address: "127.0.0.1:7600", reads_per_s: 2000}}
provider: {{address: "127.0.0.1:7601"}}
"""

CONFIGURATION = {
    "version": 3,
    "routes": [
        {"name": "r1", "host": "orders", "type": "primary"},
        {
            "name": "r2",
            "host": "status",
            "type": "read_your_writes",
            "max_staleness_ms": 2500,
        },
        {
            "name": "r3",
            "host": "views",
            "type": "bounded_staleness",
            "max_staleness_ms": 1500,
        },
    ],
    "services": [{"name": "ledger", "max_conns": 16, "sync_replicas": 0}],
    "limits": {"tx_idle_ms": 3000},
}


class Failure(Exception):
    """A connection that ended, or an answer that is an error."""

    def __init__(self, code=""):
        super().__init__(code)
        self.code = code


class Accounts:
    """Accounts with two keys each. The first key of the first one is removed."""

    def __init__(self):
        names = ["press-works", "desk-works", "depot-works"]
        self.keys = {
            it: [secrets.token_hex(10), secrets.token_hex(10)] for it in names
        }
        self.removed = None
        self.removed_at = None

    def of(self, number):
        return list(self.keys)[number % len(self.keys)]

    def of_request(self, request):
        return self.of(int(request[1:].split("q")[0]))

    def remove_key(self):
        self.removed = self.keys["press-works"].pop(0)
        self.removed_at = asyncio.get_running_loop().time()

    def configuration(self):
        return [
            {"name": it, "api_keys": keys, "priority": 1}
            for it, keys in self.keys.items()
        ]

    def is_late(self, key, sent_at):
        """Whether a statement was sent when its key was long removed."""
        return (
            key == self.removed
            and sent_at > self.removed_at + CONFIGURATION_LIMIT
        )


class Caller:
    """Runs one session at a time; each write's data is unique."""

    def __init__(self, number, ports, seed, accounts):
        self.number = number
        self.accounts = accounts
        self.key = accounts.keys[accounts.of(number)][0]
        self.served_late = 0  # Statements served long after the key's removal.
        self.rejected_keys = 0
        self.ports = ports
        self.random = random.Random(seed * 1000 + number)
        self.reader = self.writer = None
        self.database = ""
        self.count = 0
        self.item = f"item-{number}"
        self.last = "-"  # Last data acknowledged to this caller.
        self.unsure = set()  # Data of writes whose outcome is unknown.
        self.acknowledged = []
        self.refused = []
        self.stale = []
        self.done = 0
        self.failed = 0

    async def connect(self):
        port = self.random.choice(self.ports)
        self.database = self.random.choice(["orders", "status", "views"])
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", port
        )
        self.writer.write(f"START {self.database} {self.key}\r\n".encode())
        line = await self.line()
        if not line.startswith("READY"):
            raise Failure(line.removeprefix("ERROR ").split(" ")[0])

    async def line(self):
        raw = await asyncio.wait_for(self.reader.readline(), 5)
        if not raw:
            raise Failure()
        return raw.decode().rstrip("\r\n")

    async def query(self, text):
        self.count += 1
        sent_at = asyncio.get_running_loop().time()
        self.writer.write(
            f"QUERY c{self.number}q{self.count} {text}\r\n".encode()
        )
        rows, error = [], None
        while True:
            word, _, rest = (await self.line()).partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "ERROR":
                error = rest.split(" ")[0]
                # The session is closed behind it.
                if error == KEY_REMOVED:
                    raise Failure(error)
            elif word == "READY":
                break
        if error:
            raise Failure(error)
        self.served_late += self.accounts.is_late(self.key, sent_at)
        return rows

    async def write(self):
        self.count += 1
        data = f"d{self.number}-{self.count}"
        style = self.random.choice(["lone", "transaction", "prepared"])
        try:
            if style == "lone":
                await self.query(f"WRITE {self.item} {data}")
            elif style == "prepared":
                await self.query("PREPARE s1 WRITE q2c")
                await self.query(f"EXECUTE s1 {self.item} {data}")
            else:
                await self.query("BEGIN")
                await self.query(f"READ {self.item}")
                await self.query(f"WRITE {self.item} {data}")
                await self.query("COMMIT")
        except Failure as it:
            if it.code in NOT_RUN:
                self.refused.append(data)
            else:
                self.unsure.add(data)
            raise
        except (OSError, asyncio.TimeoutError):
            self.unsure.add(data)
            raise
        self.acknowledged.append(data)
        self.last = data

    async def read(self):
        rows = await self.query(f"READ {self.item}")
        own = rows[0] == self.last or rows[0] in self.unsure
        if self.database == "orders" and not own:
            self.stale.append((rows[0], self.last))

    async def run(self, until):
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            try:
                await self.connect()
                for _ in range(self.random.randint(1, 20)):
                    await (self.write() if self.random.random() < 0.4 else self.read())
                    self.done += 1
                    await asyncio.sleep(self.random.uniform(0, 0.01))
            except (Failure, OSError, asyncio.TimeoutError) as it:
                self.failed += 1
                if getattr(it, "code", "") == KEY_REMOVED:
                    self.rejected_keys += 1
                    self.key = self.accounts.keys[
                        self.accounts.of(self.number)
                    ][-1]
                await asyncio.sleep(0.05)
            finally:
                if self.writer:
                    self.writer.close()


async def send_unknown_keys(ports, until):
    """Begins sessions with unknown keys; returns those that were accepted."""
    accepted = 0
    while asyncio.get_running_loop().time() < until:
        try:
            for port in ports:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                key = secrets.token_hex(10)
                writer.write(f"START orders {key}\r\n".encode())
                line = await asyncio.wait_for(reader.readline(), 5)
                accepted += line.startswith(b"READY")
                writer.close()
        except (OSError, asyncio.TimeoutError):
            pass  # A daemon that is down.
        await asyncio.sleep(0.05)
    return accepted


class World:
    """The stand-ins, and the daemons as processes."""

    def __init__(self, program, folder, accounts):
        self.accounts = accounts
        self.program = program
        self.folder = folder
        self.store = Store()
        self.group = Group("ledger", self.store)
        self.group.account_of = accounts.of_request
        self.version = CONFIGURATION["version"]
        self.processes = {}
        self.unread = -1
        self.fence = 0

    async def start(self):
        await serve_http(STORE, self._store)
        await serve_http(PROVIDER, self._provider)
        for n, zone in enumerate(ZONES):
            target = Target(self.group, f"i-{zone}", TARGETS + n, zone, n == 0)
            await target.start()
            self.group.add(target)
        self.put_configuration()
        for zone in ZONES:
            await self.start_daemon(zone)

    def put_configuration(self):
        routes = [
            dict(it, service="ledger", timeout_ms=800, latency_goal_ms=500, priority=1)
            for it in CONFIGURATION["routes"]
        ]
        spec = dict(
            CONFIGURATION,
            version=self.version,
            routes=routes,
            tenants=self.accounts.configuration(),
        )
        self.store.put("config", "main", spec)

    def remove_key(self):
        self.accounts.remove_key()
        self.version += 1
        self.put_configuration()

    async def _store(self, method, target, _, body):
        while self.store.away:
            await asyncio.sleep(0.05)
        return await self.store.answer(method, target, body)

    async def _provider(self, _, __, headers, body):
        number = int(headers["x-fence-token"])
        if number < self.fence:
            return 409, {}
        self.fence = number
        return (200, {}) if await self.group.promote(body["id"]) else (409, {})

    def port(self, zone):
        return DAEMONS + 10 * list(ZONES).index(zone)

    async def start_daemon(self, zone):
        port = self.port(zone)
        path = os.path.join(self.folder, f"{zone}.yaml")
        with open(path, "w") as file:
            file.write(
                SETTINGS.format(
                    zone=zone,
                    region=ZONES[zone],
                    port=port,
                    ready=port + 1,
                    inner=port + 2,
                    last=port + 5,
                )
            )
        log = self.open_log(zone)
        self.processes[zone] = await daemons.start(self.program, path, log)
        os.close(log)
        await daemons.until_ready(port + 1, START_LIMIT)

    def open_log(self, zone):
        """A log that is not read must not block a daemon."""
        if zone == UNREAD:
            self.unread, end = os.pipe()
            fcntl.fcntl(end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
            return end
        if zone == CLOSED:
            read_end, end = os.pipe()
            os.close(read_end)
            return end
        path = os.path.join(self.folder, f"{zone}.log")
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def log_is_full(self):
        """Whether the unread pipe has no room for another line."""
        waiting = fcntl.ioctl(self.unread, termios.FIONREAD, bytes(4))
        return int.from_bytes(waiting, sys.byteorder) > PIPE_BYTES - LONGEST_LINE

    def logs(self):
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".log"):
                with open(os.path.join(self.folder, name)) as file:
                    yield file.read()

    async def metric(self, zone, name):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.port(zone) + 3
        )
        writer.write(b"GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n")
        text = ""
        while line := await asyncio.wait_for(reader.readline(), 5):
            text += line.decode()
            if line.startswith(name.encode()):
                break
        writer.close()
        found = [it for it in text.splitlines() if it.startswith(name)]
        return float(found[-1].split(" ")[-1]) if found else 0

    def reload_unusable(self, zone):
        """Damages the settings file; the active settings must stay in force."""
        with open(os.path.join(self.folder, f"{zone}.yaml"), "w") as file:
            file.write("node_name: [")
        self.processes[zone].send_signal(signal.SIGHUP)

    def logged(self, zone, event):
        with open(os.path.join(self.folder, f"{zone}.log")) as file:
            return f"event={event} " in file.read()

    async def stop_daemon(self, zone, how):
        process = self.processes.pop(zone)
        process.send_signal(how)
        return await asyncio.wait_for(process.wait(), 10)


# Records of the daemons; desk reads its watcher's when it starts again.
OVERWRITTEN = ("duty", "daemon-entry-press", "watcher-desk")


def write_odd_objects(world):
    """Writes what another program may have written into the store."""
    sound = world.store.objects["servers"]["i-desk"]["spec"]
    for name, change in {
        "a b&watch=1%41\r\nc": {},
        "i-nested": {"version": raw("[" * 200_000 + "]" * 200_000)},
        "i-number": {"slots": raw("1e999")},
        "i-port": {"address": "127.0.0.1:65536", "db_role": "primary"},
        "i-slots": {"slots": 2**64, "db_role": "primary"},
        "z \u00e4": {"version": 7, "db_role": "primary"},
    }.items():
        world.store.put("servers", name, dict(sound, **change))
    for name in OVERWRITTEN:
        world.store.put("peridotfall", name, raw("1e999"))


async def trouble(world, seconds):
    """Injects each fault once, one after the other."""
    step = seconds / 6
    world.reload_unusable("depot")
    await asyncio.sleep(step / 2)
    world.remove_key()
    write_odd_objects(world)
    await asyncio.sleep(step / 2)
    world.group.targets["i-press"].crash()
    world.store.delete("servers", "i-press")
    await asyncio.sleep(step)
    old = world.group.targets["i-press"]
    await old.start()
    # No await in between: a commit after the copy is replicated to it too.
    old.log = list(world.group.newest().log)
    world.group.announce(old)
    world.store.away = True
    await asyncio.sleep(step)
    world.store.away = False
    status = await world.stop_daemon("depot", signal.SIGTERM)
    if status != 0:
        raise RuntimeError(f"a stopped daemon exited with {status}")
    await world.start_daemon("depot")
    await asyncio.sleep(step / 2)
    await world.stop_daemon("desk", signal.SIGKILL)
    await world.start_daemon("desk")


def findings(world, callers):
    log = world.group.newest().log
    counts = {}
    for _, _, _, data in log:
        counts[data] = counts.get(data, 0) + 1
    out = []
    for it in callers:
        out += [f"lost: {d}" for d in it.acknowledged if d not in counts]
        out += [f"kept though refused: {d}" for d in it.refused if d in counts]
        out += [f"old read: {r}, acknowledged {a}" for r, a in it.stale]
        if it.served_late:
            out.append(f"a removed key was served {it.served_late} times")
    out += [f"ran for {account}: {it}" for it, account in world.group.mixed]
    if not any(it.rejected_keys for it in callers):
        out.append("no session learnt that its key was removed")
    out += [f"twice: {d}" for d, n in counts.items() if n > 1]
    differ = [t.name for t in world.group.targets.values() if t.log != log]
    out += [f"the stand-in's logs differ: {name}" for name in differ]
    return out


async def main(program, seconds, seed):
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory() as folder:
        accounts = Accounts()
        # Also of the removed one.
        secret = [it for keys in accounts.keys.values() for it in keys]
        world = World(program, folder, accounts)
        ports = [world.port(zone) for zone in ZONES]
        callers = [Caller(n, ports, seed, accounts) for n in range(CALLERS)]
        try:
            await world.start()
            until = loop.time() + seconds
            accepted, *_ = await asyncio.gather(
                send_unknown_keys(ports, until),
                trouble(world, seconds),
                *(it.run(until) for it in callers),
            )
            served_by = {
                zone: await world.metric(
                    zone,
                    'peridotfall_statements_total{outcome="served",route="primary"}',
                )
                for zone in ZONES
            }
        finally:
            for process in world.processes.values():
                process.kill()
        wrong = findings(world, callers)
        if not world.logged("depot", SETTINGS_REJECTED):
            wrong.append("a settings file that cannot be used was not reported")
        if not world.log_is_full():
            wrong.append("the log that nobody reads is not full: nothing is shown")
        wrong += [f"{it} served nothing" for it in ZONES if not served_by[it]]
        if accepted:
            wrong.append(f"{accepted} sessions with an unknown key were accepted")
        if any(it in text for it in secret for text in world.logs()):
            wrong.append("a log shows a key")
        for name in OVERWRITTEN:
            if isinstance(world.store.objects["peridotfall"][name]["spec"], str):
                wrong.append(f"{name} was overwritten and not replaced")
        if wrong:
            for text in world.logs():
                print(text)
    served = sum(it.done for it in callers)
    acknowledged = sum(len(it.acknowledged) for it in callers)
    print(
        f"seed {seed}: {served} operations served, {acknowledged} writes "
        f"acknowledged, {sum(it.failed for it in callers)} sessions failed, "
        f"term {world.group.term}"
    )
    for it in wrong:
        print(it)
    changed = world.group.term > 1
    if not changed:
        print("the primary was not replaced")
    return 0 if served and changed and not wrong else 1


if __name__ == "__main__":
    arguments = sys.argv[1:]
    run_seconds = float(arguments[1]) if len(arguments) > 1 else 9
    run_seed = int(arguments[2]) if len(arguments) > 2 else 1
    sys.exit(asyncio.run(main(arguments[0], run_seconds, run_seed)))
