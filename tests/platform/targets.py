"""A stand-in for one group of targets: a primary and replicas of one log.

Replication is synchronous, so that a promotion loses no acknowledged write. A
crashed target does not answer; it restarts as a replica with its log.
"""

import asyncio
import secrets


class Target:
    def __init__(self, group, name, port, zone, primary):
        self.group = group
        self.name = name
        self.port = port
        self.zone = zone
        self.primary = primary
        self.log = []  # (term, number, item, data)
        self.server = None
        self.writers = set()
        self.max_connections = 16

    @property
    def position(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (1, 0)

    def value(self, item):
        for entry in reversed(self.log):
            if entry[2] == item:
                return entry[3]
        return "-"

    async def start(self):
        self.server = await asyncio.start_server(
            self._connection, "127.0.0.1", self.port, limit=2 << 20
        )

    def crash(self):
        self.server.close()
        self.server = None
        self.primary = False
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass  # The peer has closed; its open transaction is rolled back.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve(self, reader, writer):
        start = (await reader.readuntil(b"\r\n")).decode().split()
        wrong = start[1] != self.group.name or start[3] != self.name
        if wrong or len(self.writers) > self.max_connections:
            code = "WRONGNODE" if wrong else "CONNLIMIT"
            writer.write(f"ERROR {code} {self.name}\r\n".encode())
            return
        account = start[2]
        session = Session(self)
        writer.write(f"READY I {session.position()}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            if line == "TERM":
                return
            _, request, text = line.split(" ", 2)
            self.group.check_account(request, account)
            if text.split(" ")[0] in ("READ", "WRITE", "EXECUTE", "COMMIT"):
                await asyncio.sleep(self.group.run_time())
            writer.write(session.run(request, text).encode())
            await writer.drain()


class Session:
    """State of one connection, and the execution of its statements."""

    def __init__(self, target):
        self.target = target
        self.state = "I"
        self.plain = False
        self.writes = []
        self.prepared = {}

    def position(self):
        return "%d.%d" % self.target.position

    def run(self, request, text):
        try:
            rows, signed = self._run(text)
        except Refused as it:
            if self.state == "T":
                self.state = "E"
                self.writes = []
            return f"ERROR {it} x\r\nREADY {self.state} {self.position()}\r\n"
        signature = f"{request}.{secrets.token_hex(4)}" if signed else "-"
        out = "".join(f"ROW {row}\r\n" for row in rows)
        return (
            f"{out}COMPLETE {signature}\r\n"
            f"READY {self.state} {self.position()}\r\n"
        )

    def _run(self, text):
        words = text.split(" ")
        if words[0] == "AFTER":
            term, number = (int(n) for n in words[1].split("."))
            if self.target.position < (term, number):
                raise Refused("LAGGING")
            words = words[2:]
        if self.state == "E" and words[0] != "ROLLBACK":
            raise Refused("MALFORMED")
        return getattr(self, "_" + words[0].lower())(words)

    def _lead(self):
        if not self.target.primary:
            raise Refused("READONLY")

    def _begin(self, words):
        if self.state != "I":
            raise Refused("MALFORMED")
        self.plain = words[1:] != ["READ"]
        if self.plain:
            self._lead()
        self.state = "T"
        return [], False

    def _rollback(self, _):
        if self.state == "I":
            raise Refused("MALFORMED")
        self.state = "I"
        self.writes = []
        return [], False

    def _commit(self, _):
        if self.state != "T":
            raise Refused("MALFORMED")
        if self.writes:
            self._lead()
        self.target.group.commit(self.target, self.writes)
        self.writes = []
        self.state = "I"
        return [], True

    def _read(self, words):
        if self.state == "T" and self.plain:
            self._lead()
        if self.target.group.fails_read():
            raise Refused("FAILED")
        return [self.target.value(words[1])], True

    def _write(self, words):
        self._lead()
        self.writes.append((words[1], words[2]))
        if self.state == "I":
            self.target.group.commit(self.target, self.writes)
            self.writes = []
        return [], True

    def _prepare(self, words):
        self.prepared[words[1]] = words[2]
        return [], False

    def _execute(self, words):
        kind = self.prepared.get(words[1])
        if not kind:
            raise Refused("NOSTMT")
        return getattr(self, "_" + kind.lower())([kind] + words[2:])

    def _set(self, _):
        return [], False

    def _reset(self, _):
        self.prepared = {}
        return [], False

    def _status(self, _):
        role = "primary" if self.target.primary else "replica"
        term = self.target.group.term
        return [f"{role} {term} {self.position()} 0 0 0 1"], False


class Refused(Exception):
    pass


class Group:
    """The targets of one log, one of them the primary."""

    def __init__(self, name, store):
        self.name = name
        self.store = store
        self.term = 1
        self.targets = {}
        self.account_of = lambda request: None
        self.run_time = lambda: 0.002  # Simulated execution time, seconds.
        self.fails_read = lambda: False
        self.mixed = []  # (request, account of its connection)

    def add(self, target):
        self.targets[target.name] = target
        self.announce(target)

    def announce(self, target, state="ready"):
        spec = {
            "service": self.name,
            "address": f"127.0.0.1:{target.port}",
            "zone": target.zone,
            "version": "v1",
            "slots": 2,
            "state": state,
            "cold_ms": 0,
            "sequence": 1,
            "born": 1,
            "db_role": "primary" if target.primary else "replica",
        }
        self.store.put("servers", target.name, spec)

    def check_account(self, request, account):
        """Notes a caller's statement on a connection of another account."""
        if request != "-" and self.account_of(request) != account:
            self.mixed.append((request, account))

    def newest(self):
        return max(self.targets.values(), key=lambda it: it.position)

    def commit(self, leader, writes):
        for item, data in writes:
            entry = (self.term, leader.position[1] + 1, item, data)
            for it in self.targets.values():
                if it.server:
                    it.log.append(entry)

    async def promote(self, name):
        target = self.targets.get(name)
        if not target or not target.server:
            return False
        await asyncio.sleep(0.1)
        self.term += 1
        for it in self.targets.values():
            it.primary = it is target
        self.announce(target)
        return True
