"""Stand-ins for the scripts of this review: the platform's store, its provider
and groups of database servers with replication that takes time.

All of them answer as the users' pages say. They run in the script's process;
the daemons are processes of their own.
"""

import asyncio
import json
import secrets
import time
from urllib.parse import parse_qs, unquote, urlsplit

PREFIX = "/peridotfall/objects/"
PAGE = 500  # Objects in one page of a list.


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.succeeded = set()  # Requests whose client was told of a success.
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        self.file.close()


async def serve_http(address, answer):
    """Serves `answer(method, target, headers, body) -> (status, object)`."""

    async def connection(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode().split("\r\n")
                method, target, _ = first.split(" ")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                status, out = await answer(
                    method, target, headers, json.loads(body) if body else None
                )
                text = json.dumps(out).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass  # The client has closed, or the run has ended.
        finally:
            writer.close()

    return await asyncio.start_server(connection, *address)


class Store:
    """The platform's metadata store."""

    RETENTION_S = 20

    def __init__(self):
        self.revision = 1
        self.objects = {}  # kind -> name -> object
        self.history = []  # (time, revision, kind, deleted, object)
        self.forgotten = 0  # Revision up to which the history is gone.
        self.changed = asyncio.Event()

    def put(self, kind, name, spec, finalizers=()):
        old = self.objects.setdefault(kind, {}).get(name)
        if old and old["spec"] == spec:
            return old
        self.revision += 1
        it = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created_rev": old["meta"]["created_rev"] if old else self.revision,
                "finalizers": list(finalizers),
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = it
        self._note(kind, False, it)
        return it

    def delete(self, kind, name):
        it = self.objects.get(kind, {}).pop(name, None)
        if it:
            self.revision += 1
            self._note(kind, True, it)
        return it

    def _note(self, kind, deleted, it):
        now = time.monotonic()
        self.history.append((now, self.revision, kind, deleted, it))
        while self.history[0][0] < now - self.RETENTION_S:
            self.forgotten = self.history.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _watch(self, kind, revision, wait_s):
        end = time.monotonic() + wait_s
        while True:
            if revision < self.forgotten:
                return 410, {}
            events = [
                {"deleted": deleted, "object": it}
                for _, rev, of, deleted, it in self.history
                if rev > revision and of == kind
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def answer(self, method, target, _, body):
        await asyncio.sleep(0.004)
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        kind, _, name = url.path[len(PREFIX) :].partition("/")
        kind, name = unquote(kind), unquote(name)
        known = self.objects.get(kind, {})
        if method == "GET" and "watch" in query:
            wait_s = min(int(query.get("wait_ms", "0")), 30000) / 1000
            return await self._watch(kind, int(query["watch"]), wait_s)
        if method == "GET" and name:
            return (200, known[name]) if name in known else (404, {})
        if method == "GET":
            names = sorted(n for n in known if n > query.get("after", ""))
            return 200, {
                "items": [known[n] for n in names[:PAGE]],
                "has_more": len(names) > PAGE,
                "at_rev": self.revision,
            }
        meta = (body or {}).get("meta", {})
        name = name or meta.get("name", "")
        if method == "POST":
            if name in known:
                return 409, known[name]
            return 200, self.put(kind, name, body["spec"])
        if name not in known:
            return 404, {}
        wanted = meta.get("revision") or int(query.get("revision", "0"))
        if wanted and wanted != known[name]["meta"]["revision"]:
            return 409, known[name]
        if method == "DELETE":
            return 200, self.delete(kind, name)
        return 200, self.put(kind, name, body["spec"])


class Provider:
    """Carries out promotions, and checks their fencing tokens."""

    def __init__(self, groups, record):
        self.groups = {it.name: it for it in groups}
        self.record = record
        self.seen = {}  # Service -> highest token.
        self.on_promote = lambda group, name: None

    async def answer(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        if (method, target) != ("POST", "/promote"):
            return 404, {}
        service, name = body["service"], body["id"]
        token = int(headers["x-fence-token"])
        holder = headers["x-duty-holder"]
        status = 409
        group = self.groups[service]
        target = group.servers.get(name)
        if token >= self.seen.get(service, 0) and target and target.is_up:
            self.seen[service] = token
            status = 200
            group.promote(target)
        self.record.line(
            f"promote service={service} id={name} holder={holder} "
            f"token={token} -> {status}"
        )
        if status == 200:
            self.on_promote(group, name)
        return status, {}


class Refused(Exception):
    pass


class Group:
    """The servers of one log, one of them the primary. A commit goes to each
    replica over the network; with `sync`, it is acknowledged once one has it.
    """

    def __init__(self, name, store, record, **settings):
        self.name = name
        self.store = store
        self.record = record
        self.sync = settings.get("sync", 1)
        self.slots = settings.get("slots", 3)
        self.max_connections = settings.get("max_connections", 38)
        self.handshake_s = settings.get("handshake_s", 0.027)
        self.work_s = settings.get("work_s", 0.006)
        self.promote_s = settings.get("promote_s", 1.0)
        self.rows_of = settings.get("rows_of", {})  # Item -> rows of its reads.
        self.regions = settings["regions"]  # Zone -> region.
        self.in_region_s = settings.get("in_region_s", 0.0014)
        self.cross_region_s = settings.get("cross_region_s", 0.008)
        self.term = 1
        self.servers = {}
        self.leader = None
        self.promoting = False
        self.acknowledged = {}  # (term, number) -> items of a commit
        self.lost = []  # Acknowledged commits that a new primary lacks.
        self.ran = set()  # Requests that reached a server.

    def delay(self, a, b):
        same = self.regions[a.zone] == self.regions[b.zone]
        return self.in_region_s if same else self.cross_region_s

    def announce(self, it, state=None):
        it.state = state or it.state
        self.store.put(
            "servers",
            it.name,
            {
                "service": self.name,
                "address": "%s:%d" % it.address,
                "zone": it.zone,
                "version": "v1",
                "slots": self.slots,
                "state": it.state,
                "cold_ms": 0,
                "sequence": 1,
                "born": it.born,
                "db_role": "primary" if it is self.leader else "replica",
            },
        )

    async def add(self, server, state="ready"):
        """A new server starts with the log of the primary."""
        await server.start()
        if self.leader:
            server.log = list(self.leader.log)
            server.link = list(self.leader.log)
        else:
            self.leader = server
        self.servers[server.name] = server
        self.announce(server, state)

    def remove(self, server):
        server.stop()
        del self.servers[server.name]
        self.store.delete("servers", server.name)

    async def commit(self, server, writes, request):
        """Returns once the commit is acknowledged; raises what ends it."""
        term = self.term
        number = server.log[-1][1] + 1 if server.log else 1
        entry = (term, number, request, tuple(writes))
        server.log.append(entry)
        received = asyncio.get_running_loop().create_future()
        self._send(server, received)
        if self.sync:
            ended = asyncio.ensure_future(server.wait_lost_lead(term))
            await asyncio.wait(
                {received, ended}, return_when=asyncio.FIRST_COMPLETED
            )
            ended.cancel()
            if not received.done():
                received.cancel()
                # It stays in no log, or it is in the new primary's: unknown.
                raise Refused("TIMEOUT")
        if self.leader is not server or self.term != term:
            raise Refused("TIMEOUT")
        self.acknowledged[(term, number)] = request
        self.record.line(
            f"acknowledged service={self.name} at={server.name} "
            f"position={term}.{number} request={request}"
        )

    def _send(self, leader, received):
        """Sends what each replica lacks; it arrives after the link's delay."""
        loop = asyncio.get_running_loop()
        term, size = self.term, len(leader.log)
        for it in self.servers.values():
            if it is leader or not it.is_up or it.deaf or not leader.is_heard:
                continue

            def arrive(it=it):
                if self.term != term or not it.is_up or it.deaf:
                    return
                if len(it.log) < size:
                    it.log = leader.log[:size]
                if not received.done():
                    loop.call_later(self.delay(leader, it), settle)

            def settle():
                if not received.done():
                    received.set_result(None)

            loop.call_later(self.delay(leader, it), arrive)

    def catch_up(self):
        """Replicas that were deaf get what they lack."""
        for it in self.servers.values():
            if it is not self.leader and it.is_up and not it.deaf:
                it.log = list(self.leader.log)

    def promote(self, target):
        if target is self.leader or self.promoting:
            return
        self.promoting = True
        asyncio.get_running_loop().call_later(
            self.promote_s, self._take_over, target
        )

    def _take_over(self, target):
        self.promoting = False
        if not target.is_up or target is self.leader:
            return
        old = self.leader
        had = {it[:2] for it in target.log}
        lacks = [it for it in self.acknowledged if it not in had]
        self.term += 1
        self.leader = target
        self.record.line(
            f"takes over service={self.name} id={target.name} zone={target.zone} "
            f"old={old.name} term={self.term} has={len(target.log)} "
            f"lacks={len(lacks)}"
        )
        for it in lacks:
            request = self.acknowledged.pop(it)
            self.lost.append((it, request, target.name))
            self.record.line(
                f"LOST service={self.name} position={it[0]}.{it[1]} "
                f"request={request}: acknowledged, not in the log of "
                f"{target.name}, which was promoted"
            )
        for it in self.servers.values():
            if it is not target:
                it.log = list(target.log)
        old.lose_lead()
        self.announce(target)
        if old.is_up and old.is_heard:
            self.announce(old)


class Server:
    """One database server."""

    def __init__(self, group, name, address, zone, record):
        self.group = group
        self.name = name
        self.address = address
        self.zone = zone
        self.record = record
        self.log = []  # (term, number, request, writes)
        self.link = []
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.deaf = False  # Receives nothing from the primary.
        self.is_heard = True  # False: dark; it reads and sends nothing.
        self.light = asyncio.Event()
        self.light.set()
        self.listener = None
        self.writers = {}
        self.lost_lead = asyncio.Event()
        self.free = asyncio.Semaphore(group.slots)

    @property
    def is_up(self):
        return self.listener is not None

    @property
    def leads(self):
        return self.group.leader is self

    def position(self):
        return "%d.%d" % (self.log[-1][:2] if self.log else (1, 0))

    async def start(self):
        self.listener = await asyncio.start_server(
            self._connection, *self.address, limit=2 << 20
        )

    def stop(self):
        self.listener.close()
        self.listener = None
        for writer, task in list(self.writers.items()):
            writer.transport.abort()
            task.cancel()

    def go_dark(self):
        self.is_heard = False
        self.light.clear()

    def come_back(self):
        self.is_heard = True
        self.light.set()

    def lose_lead(self):
        self.lost_lead.set()
        self.lost_lead = asyncio.Event()

    async def wait_lost_lead(self, term):
        while self.leads and self.group.term == term:
            await self.lost_lead.wait()

    async def _connection(self, reader, writer):
        self.writers[writer] = asyncio.current_task()
        try:
            await self._serve(reader, writer)
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass  # The peer has closed: its open transaction is rolled back.
        finally:
            del self.writers[writer]
            writer.close()

    async def _read(self, reader):
        line = (await reader.readuntil(b"\r\n")).decode("latin-1")[:-2]
        await self.light.wait()
        return line

    async def _serve(self, reader, writer):
        word, service, _, *expected = (await self._read(reader)).split(" ")
        if word != "START" or service != self.group.name or (
            expected and expected[0] != self.name
        ):
            writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
            return
        if len(self.writers) > self.group.max_connections:
            writer.write(f"ERROR CONNLIMIT {self.name}\r\n".encode())
            return
        async with self.free:
            await asyncio.sleep(self.group.handshake_s)
        writer.write(f"READY I {self.position()}\r\n".encode())
        session = Session(self)
        while True:
            line = await self._read(reader)
            if line == "TERM":
                return
            _, request, text = line.split(" ", 2)
            answer = await session.run(request, text)
            await self.light.wait()
            writer.write(answer.encode("latin-1"))
            await writer.drain()


class Session:
    """State of one connection, and the execution of its statements."""

    def __init__(self, server):
        self.server = server
        self.group = server.group
        self.state = "I"
        self.plain = False
        self.term = 0
        self.writes = []
        self.prepared = {}
        self.values = {}

    async def run(self, request, text):
        rows, signature, code = [], "-", None
        self.group.ran.add(request)
        try:
            rows, signed = await self._run(request, text)
            if signed:
                signature = f"{request}.{secrets.token_hex(6)}"
        except Refused as it:
            code = str(it)
            if self.state == "T" and code not in ("BUSY", "LAGGING"):
                self.state, self.writes = "E", []
        if request != "-":
            self.server.record.line(
                f"run at={self.server.name} {request} {text} -> {code or 'ok'}"
            )
        out = "".join(f"ROW {row}\r\n" for row in rows)
        out += f"ERROR {code} x\r\n" if code else f"COMPLETE {signature}\r\n"
        return out + f"READY {self.state} {self.server.position()}\r\n"

    def _lead(self):
        in_transaction = self.state == "T"
        if not self.server.leads or (in_transaction and self.term != self.group.term):
            raise Refused("READONLY")

    async def _run(self, request, text):
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            at, _, text = rest.partition(" ")
            word, _, rest = text.partition(" ")
            term, number = (int(n) for n in at.split("."))
            have = self.server.log[-1][:2] if self.server.log else (1, 0)
            if have < (term, number):
                raise Refused("LAGGING")
        if self.state == "E" and word not in ("COMMIT", "ROLLBACK"):
            raise Refused("MALFORMED")
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                raise Refused("NOSTMT")
            word = self.prepared[name][0]
        if word in ("READ", "WRITE", "COMMIT", "STATUS"):
            async with self.server.free:
                if word != "STATUS":
                    await asyncio.sleep(self.group.work_s)
        return await getattr(self, "_" + word.lower())(request, rest)

    async def _begin(self, _, rest):
        if self.state != "I":
            raise Refused("MALFORMED")
        if rest != "READ":
            self._lead()
        self.state, self.plain, self.writes = "T", rest != "READ", []
        self.term = self.group.term
        return [], False

    async def _rollback(self, *_):
        if self.state == "I":
            raise Refused("MALFORMED")
        self.state, self.writes = "I", []
        return [], False

    async def _commit(self, request, _):
        if self.state == "I":
            raise Refused("MALFORMED")
        if self.state == "E":
            self.state = "I"
            raise Refused("ABORTED")
        if self.writes:
            self._lead()
        writes, self.writes, self.state = self.writes, [], "I"
        if writes:
            await self.group.commit(self.server, writes, request)
        return [], True

    async def _read(self, _, item):
        if self.state == "T" and self.plain:
            self._lead()
        if item in self.group.rows_of:
            return self.group.rows_of[item], True
        for it, data in reversed(self.writes):
            if it == item:
                return [data], True
        for entry in reversed(self.server.log):
            for it, data in reversed(entry[3]):
                if it == item:
                    return [data], True
        return ["-"], True

    async def _write(self, request, rest):
        item, _, data = rest.partition(" ")
        self._lead()
        if self.state == "T":
            self.writes.append((item, data))
        else:
            await self.group.commit(self.server, [(item, data)], request)
        return [], True

    async def _prepare(self, _, rest):
        name, mode, shape = rest.split(" ", 2)
        self.prepared[name] = (mode, shape)
        return [], False

    async def _close(self, _, name):
        if not self.prepared.pop(name, None):
            raise Refused("NOSTMT")
        return [], False

    async def _set(self, _, rest):
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return [], False

    async def _reset(self, *_):
        self.values, self.prepared = {}, {}
        return [], False

    async def _status(self, *_):
        role = "primary" if self.server.leads else "replica"
        at = self.server.position()
        return [f"{role} {self.group.term} {at} 0 0 0 {len(self.server.writers)}"], False


class ClientFailure(Exception):
    """A connection that ended, or an answer that is an error."""


class Client:
    """A caller's session; each statement is answered before the next."""

    def __init__(self, address, database, record):
        self.address = address
        self.database = database
        self.record = record
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.address, limit=2 << 20), 2
        )
        self.writer.write(f"START {self.database}\r\n".encode())
        line = await asyncio.wait_for(self._line(), 2)
        if not line.startswith("READY"):
            raise ClientFailure(line)

    async def _line(self):
        return (await self.reader.readuntil(b"\r\n")).decode("latin-1")[:-2]

    async def query(self, text, request=None, limit=5):
        """The signature and rows of a success; raises ClientFailure."""
        request = request or secrets.token_hex(8)
        self.record.line(f"sent {request} {text}")
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode("latin-1"))
            return await asyncio.wait_for(self._answer(request), limit)
        except (
            asyncio.IncompleteReadError,
            asyncio.TimeoutError,
            ConnectionError,
        ) as it:
            self.record.line(f"answered {request} none: {type(it).__name__}")
            raise ClientFailure("no answer") from it

    async def _answer(self, request):
        rows, signature, error = [], None, None
        while True:
            word, _, rest = (await self._line()).partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                error = rest
            else:
                break
        self.record.line(f"answered {request} {error or signature} {rest}")
        if error:
            raise ClientFailure(error)
        self.record.succeeded.add(request)
        return signature, rows

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None


SETTINGS = """
node_name: "frontend-{zone}-1"
role: "entry"
machine_class: "frontend"
serves: ["frontend"]
ip: "{ip}"
zone: "{zone}"
region: "{region}"
zones: {zones}
listen: {{frontend: "{ip}:{port}", readiness: "{ip}:{ready}"}}
internal_ports: [{inner}, {last}]
bootstrap: true
heartbeat_ms: 1200
limits: {{bandwidth_mbps: 1000.0}}
bounds: {{grace_s: 6, drain_ms: 7000, config_apply_ms: 3000}}
platform: {{address: "{store}", reads_per_s: 2000, writes_per_s: 400}}
provider: {{address: "{provider}"}}
"""


def settings(zone, regions, ip, ports, store, provider):
    return SETTINGS.format(
        zone=zone,
        region=regions[zone],
        zones=json.dumps(regions),
        ip=ip,
        port=ports,
        ready=ports + 1,
        inner=ports + 10,
        last=ports + 25,
        store="%s:%d" % store,
        provider="%s:%d" % provider,
    )


async def until_ready(ip, port, limit_s=20):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(b"GET /peridotfall/ready HTTP/1.1\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            if b" 200 " in line:
                return True
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.1)
    return False
