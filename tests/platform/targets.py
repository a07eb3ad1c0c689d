"""A stand-in for one group of targets: a primary and replicas of one log.

Replication is synchronous, so that a promotion loses no acknowledged write. A
crashed target does not answer; it restarts as a replica with its log.

Statements are parsed by their fields as on the users' pages: the last field
extends to the end of the line. Text is read as Latin-1, so that each byte is
kept.
"""

import asyncio
import secrets
import typing


class Target:
    def __init__(self, group, name, port, zone, primary):
        self.group = group
        self.name = name
        self.port = port
        self.zone = zone
        self.primary = primary
        self.log = []  # (term, number, item, data)
        self.server = None
        self.writers = {}  # With the task that serves each.
        self.max_connections = 16
        self.born = 1

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
        self.born += 1
        for writer, task in list(self.writers.items()):
            writer.transport.abort()
            task.cancel()

    async def _connection(self, reader, writer):
        self.writers[writer] = asyncio.current_task()
        try:
            await self._serve(reader, writer)
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass  # The peer has closed; its open transaction is rolled back.
        finally:
            del self.writers[writer]
            writer.close()

    async def _serve(self, reader, writer):
        start = (await reader.readuntil(b"\r\n")).decode("latin-1").split()
        wrong = start[1] != self.group.name or start[3] != self.name
        if wrong or len(self.writers) > self.max_connections:
            code = "WRONGNODE" if wrong else "CONNLIMIT"
            writer.write(f"ERROR {code} {self.name}\r\n".encode())
            return
        account = start[2]
        session = Session(self)
        self.group.note_start(session)
        writer.write(f"READY I {session.position()}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\r\n")).decode("latin-1")[:-2]
            if line == "TERM":
                return
            _, request, text = line.split(" ", 2)
            self.group.check_account(request, account)
            if text.split(" ")[0] in ("READ", "WRITE", "EXECUTE", "COMMIT"):
                await asyncio.sleep(self.group.run_time())
            answer = session.run(request, text).encode("latin-1")
            await self.group.deliver(reader, writer, answer)


class Transaction:
    def __init__(self, plain, term):
        self.plain = plain
        self.term = term
        self.writes = []
        self.failed = False


class Session:
    """State of one connection, and the execution of its statements."""

    def __init__(self, target):
        self.target = target
        self.transaction = None
        self.values = {}
        self.prepared = {}  # Name -> (mode, shape).

    @property
    def state(self):
        if not self.transaction:
            return "I"
        return "E" if self.transaction.failed else "T"

    def position(self):
        return "%d.%d" % self.target.position

    def run(self, request, text):
        transaction = self.transaction
        rows, signature, code = [], "-", None
        try:
            rows, signed = self._run(text)
            if signed:
                signature = f"{request}.{secrets.token_hex(4)}"
        except Refused as it:
            code = str(it)
            if self.transaction:
                self.transaction.failed = True
                self.transaction.writes = []
        self.target.group.note_run(
            self, transaction, request, text, Answer(rows, signature, code)
        )
        out = "".join(f"ROW {row}\r\n" for row in rows)
        out += f"ERROR {code} x\r\n" if code else f"COMPLETE {signature}\r\n"
        return out + f"READY {self.state} {self.position()}\r\n"

    def _run(self, text):
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            at, _, text = rest.partition(" ")
            word, _, rest = text.partition(" ")
            if word not in ("READ", "EXECUTE", "BEGIN"):
                raise Refused("MALFORMED")
            term, number = (int(n) for n in at.split("."))
            if self.target.position < (term, number):
                raise Refused("LAGGING")
        run = getattr(self, "_" + word.lower(), None)
        if word not in STATEMENTS or (
            self.state == "E" and word not in ("COMMIT", "ROLLBACK")
        ):
            raise Refused("MALFORMED")
        refusal = self.target.group.refusal(word)
        if not refusal:
            return run(rest)
        code, runs = refusal
        if runs:
            run(rest)
        raise Refused(code)

    def _lead(self):
        """Also refuses a plain transaction of an earlier time as the primary."""
        term = self.target.group.term
        earlier = self.transaction and self.transaction.term != term
        if not self.target.primary or earlier:
            raise Refused("READONLY")

    def _begin(self, rest):
        if self.state != "I" or rest not in ("", "READ"):
            raise Refused("MALFORMED")
        plain = rest != "READ"
        if plain:
            self._lead()
        self.transaction = Transaction(plain, self.target.group.term)
        return [], False

    def _rollback(self, _):
        if self.state == "I":
            raise Refused("MALFORMED")
        self.transaction = None
        return [], False

    def _commit(self, _):
        if self.state == "I":
            raise Refused("MALFORMED")
        if self.transaction.failed:
            self.transaction = None
            raise Refused("ABORTED")
        if self.transaction.writes:
            self._lead()
        self.target.group.commit(self.target, self.transaction.writes)
        self.transaction = None
        return [], True

    def _read(self, item):
        if not item:
            raise Refused("MALFORMED")
        if self.transaction and self.transaction.plain:
            self._lead()
        if self.target.group.fails_read():
            raise Refused("FAILED")
        own = self.transaction.writes if self.transaction else []
        written = [data for it, data in own if it == item]
        return [written[-1] if written else self.target.value(item)], True

    def _write(self, rest):
        write = fields(rest, 2)
        self._lead()
        if self.transaction:
            self.transaction.writes.append(write)
        else:
            self.target.group.commit(self.target, [write])
        return [], True

    def _prepare(self, rest):
        name, mode, shape = fields(rest, 3)
        if mode not in ("READ", "WRITE"):
            raise Refused("MALFORMED")
        self.prepared[name] = (mode, shape)
        return [], False

    def _execute(self, rest):
        name, arguments = fields(rest, 2)
        if name not in self.prepared:
            raise Refused("NOSTMT")
        mode, _ = self.prepared[name]
        return self._write(arguments) if mode == "WRITE" else self._read(arguments)

    def _close(self, name):
        if not self.prepared.pop(name, None):
            raise Refused("NOSTMT")
        return [], False

    def _set(self, rest):
        name, value = fields(rest, 2)
        self.values[name] = value
        return [], False

    def _reset(self, _):
        self.values = {}
        self.prepared = {}
        return [], False

    def _status(self, _):
        role = "primary" if self.target.primary else "replica"
        term = self.target.group.term
        return [f"{role} {term} {self.position()} 0 0 0 1"], False


STATEMENTS = {
    *("BEGIN", "COMMIT", "ROLLBACK", "READ", "WRITE", "SET", "PREPARE"),
    *("EXECUTE", "CLOSE", "RESET", "STATUS"),
}


def fields(rest, count):
    """That many fields, none of them empty."""
    out = tuple(rest.split(" ", count - 1))
    if len(out) < count or not all(out):
        raise Refused("MALFORMED")
    return out


class Answer(typing.NamedTuple):
    rows: list
    signature: str
    code: str | None  # Of an error.


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
            "born": target.born,
            "db_role": "primary" if target.primary else "replica",
        }
        self.store.put("servers", target.name, spec)

    def check_account(self, request, account):
        """Notes a caller's statement on a connection of another account."""
        if request != "-" and self.account_of(request) != account:
            self.mixed.append((request, account))

    def note_start(self, session):
        """Called for each connection that is accepted."""

    def note_run(self, session, transaction, request, text, answer):
        """Called behind each statement; `transaction` is the one in which it
        ran."""

    def refusal(self, word):
        """The code with which to refuse such a statement, and whether to run it
        all the same; None to run and answer it."""

    async def deliver(self, _, writer, answer):
        writer.write(answer)
        await writer.drain()

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
        if target.primary or not target.server:
            return True
        self.term += 1
        for it in self.targets.values():
            it.primary = it is target
        self.announce(target)
        return True
