"""Stand-in of a service: a primary and its replicas, as PROTOCOL.md tells.

Every statement that reaches a backend is noted with its connection and its
transaction.
"""

import asyncio
import itertools

STATEMENT_S = 0.003  # Work of a read, a write or a commit.
HANDSHAKE_S = 0.012  # A new connection takes a slot for this long.


class Refused(Exception):
    pass


class Service:
    """One log: a primary, replicas, and the term that the primary leads."""

    def __init__(self, name, store, record, slots=2, max_conns=16):
        self.name = name
        self.store = store
        self.record = record
        self.slots = slots
        self.max_conns = max_conns
        self.sync = 0  # Replicas that must have received a commit.
        self.term = 1
        self.backends = {}
        self.primary = None
        self.connections = itertools.count(1)
        self.transactions = itertools.count(1)
        self.on_promoted = lambda: None
        self.promoted = []  # (backend, its log when it began to lead)
        self.commits = []  # (transaction, [request ids of its writes], commit id)
        self.ran = []  # (backend, transaction, request id)

    def add(self, backend):
        self.backends[backend.id] = backend
        if self.primary is None:
            self.primary = backend
        self.announce(backend)

    def announce(self, backend):
        role = "primary" if backend is self.primary else "replica"
        self.store.put(
            "servers",
            backend.id,
            {
                "service": self.name,
                "address": f"{backend.host}:{backend.port}",
                "zone": backend.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "draining" if backend.draining else "ready",
                "cold_ms": 0,
                "sequence": 1,
                "born": backend.born,
                "db_role": role,
            },
        )

    def promote(self, name, delay):
        backend = self.backends.get(name)
        if backend is None or backend.server is None:
            return False
        if backend is not self.primary:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._lead, backend)
        return True

    def _lead(self, backend):
        if backend is self.primary:
            return
        old, self.primary = self.primary, backend
        self.term += 1
        self.record(f"{backend.id} leads term {self.term} at {backend.position()}")
        self.promoted.append((backend, list(backend.log)))
        self.on_promoted()
        for it in self.backends.values():
            if it.server:
                it.follow(backend)
        for it in (old, backend):
            if it.server:
                self.announce(it)


class Backend:
    def __init__(self, service, name, zone, host, port):
        self.service = service
        self.id = name
        self.zone = zone
        self.host = host
        self.port = port
        self.born = 1_700_000_000_000
        self.log = []  # (term, number, item, data, request)
        self.server = None
        self.writers = set()
        self.slot = asyncio.Semaphore(service.slots)
        self.receive_s = 0.001  # Network delay from the primary.
        self.draining = False
        self.deaf = False  # Receives nothing from the primary.

    def position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else "1.0"

    def leads(self):
        return self.service.primary is self

    def value(self, item):
        for entry in reversed(self.log):
            if entry[2] == item:
                return entry[3]
        return "none"

    async def start(self):
        self.server = await asyncio.start_server(
            self._connection, self.host, self.port, limit=2 << 20
        )

    def crash(self):
        """The process ends; the log stays."""
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def follow(self, leader):
        """Drops what the leader's log does not have, and receives the rest."""
        n = 0
        for mine, other in zip(self.log, leader.log):
            if mine != other:
                break
            n += 1
        self.log = self.log[:n]
        if not self.deaf:
            self.log += leader.log[n:]

    def hear(self):
        """Ends `deaf`: the replica receives what it has missed."""
        self.deaf = False
        self.follow(self.service.primary)

    async def commit(self, writes):
        """Appends to this log, and to the replicas' after the network delay.
        Waits for as many of these as the service's commits need."""
        loop = asyncio.get_running_loop()
        received = asyncio.Semaphore(0)
        added = []
        for item, data, request in writes:
            number = self.log[-1][1] + 1 if self.log else 1
            entry = (self.service.term, number, item, data, request)
            self.log.append(entry)
            added.append(entry)
        for it in self.service.backends.values():
            if it is not self:
                loop.call_later(it.receive_s, it.receive, self, added, received)
        for _ in range(self.service.sync):
            await received.acquire()

    def receive(self, leader, entries, received):
        if leader.leads() and self.server and not self.deaf:
            self.log.extend(entries)
            received.release()

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The peer has closed; its open transaction is rolled back.
        except asyncio.CancelledError:
            pass  # The run has ended.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve(self, reader, writer):
        start = (await reader.readuntil(b"\r\n")).decode().split()
        expected = start[3] if len(start) > 3 else self.id
        if start[1] != self.service.name or expected != self.id:
            writer.write(f"ERROR WRONGNODE {self.id}\r\n".encode())
            return
        if len(self.writers) > self.service.max_conns:
            writer.write(f"ERROR CONNLIMIT {self.id}\r\n".encode())
            return
        async with self.slot:
            await asyncio.sleep(HANDSHAKE_S)
        session = Session(self, next(self.service.connections))
        writer.write(f"READY I {self.position()}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            if line == "TERM":
                return
            _, request, text = line.split(" ", 2)
            if text.split(" ")[0] not in ("BEGIN", "ROLLBACK", "SET", "RESET"):
                async with self.slot:
                    await asyncio.sleep(STATEMENT_S)
            writer.write((await session.run(request, text)).encode())
            await writer.drain()


class Session:
    """State of one connection."""

    def __init__(self, backend, connection):
        self.backend = backend
        self.connection = connection
        self.state = "I"
        self.plain = False
        self.transaction = None
        self.writes = []
        self.committing = []
        self.prepared = {}

    async def run(self, request, text):
        transaction = self.transaction
        try:
            rows, signature = await self._run(request, text)
            result = "ok"
        except Refused as it:
            if self.state == "T":
                self.state = "E"
                self.writes = []
            rows, signature, result = [], None, str(it)
        if request != "-":
            transaction = transaction or self.transaction
            self.backend.service.ran.append((self.backend.id, transaction, request))
            self.backend.service.record(
                f"{self.backend.id} connection {self.connection} transaction "
                f"{transaction or '-'}: {request} {text}: {result}"
            )
        out = "".join(f"ROW {row}\r\n" for row in rows)
        if signature is None:
            out += f"ERROR {result} {self.backend.id}\r\n"
        else:
            out += f"COMPLETE {signature}\r\n"
        return out + f"READY {self.state} {self.backend.position()}\r\n"

    async def _run(self, request, text):
        words = text.split(" ")
        if words[0] == "AFTER":
            have = tuple(int(n) for n in self.backend.position().split("."))
            if have < tuple(int(n) for n in words[1].split(".")):
                raise Refused("LAGGING")
            words = words[2:]
        if self.state == "E" and words[0] not in ("ROLLBACK", "COMMIT"):
            raise Refused("MALFORMED")
        signed = words[0] in ("READ", "WRITE", "EXECUTE", "COMMIT")
        rows = getattr(self, "_" + words[0].lower())(request, words)
        if self.committing:
            await self.backend.commit(self.committing)
            self.committing = []
        return rows, f"{self.backend.id}.{request}" if signed else "-"

    def _lead(self):
        if not self.backend.leads():
            raise Refused("READONLY")

    def _begin(self, _, words):
        if self.state != "I":
            raise Refused("MALFORMED")
        self.plain = words[1:] != ["READ"]
        if self.plain:
            self._lead()
        self.state = "T"
        self.transaction = next(self.backend.service.transactions)
        return []

    def _end(self):
        self.state = "I"
        self.transaction = None
        self.writes = []

    def _rollback(self, *_):
        if self.state == "I":
            raise Refused("MALFORMED")
        self._end()
        return []

    def _commit(self, request, _):
        if self.state == "I":
            raise Refused("MALFORMED")
        if self.state == "E":
            self._end()
            raise Refused("ABORTED")
        if self.writes:
            self._lead()
            self.committing = self.writes
            self.backend.service.commits.append(
                (self.transaction, [it[2] for it in self.writes], request)
            )
        self._end()
        return []

    def _read(self, _, words):
        if self.state == "T" and self.plain:
            self._lead()
        for item, data, _ in reversed(self.writes):
            if item == words[1]:
                return [data]
        return [self.backend.value(words[1])]

    def _write(self, request, words):
        self._lead()
        entry = (words[1], words[2], request)
        if self.state == "T":
            self.writes.append(entry)
        else:
            self.committing = [entry]
            self.backend.service.commits.append((None, [request], request))
        return []

    def _set(self, *_):
        return []

    def _reset(self, *_):
        self.prepared = {}
        return []

    def _prepare(self, _, words):
        self.prepared[words[1]] = words[2]
        return []

    def _execute(self, request, words):
        kind = self.prepared.get(words[1])
        if not kind:
            raise Refused("NOSTMT")
        return getattr(self, "_" + kind.lower())(request, [kind] + words[2:])

    def _status(self, *_):
        role = "primary" if self.backend.leads() else "replica"
        term, at = self.backend.service.term, self.backend.position()
        busy = self.backend.service.slots - self.backend.slot._value
        return [f"{role} {term} {at} {term} 0 {busy} {len(self.backend.writers)}"]
