"""Callers whose sessions have values, prepared statements and transactions.

Tells the judge what was sent and answered. Texts are Latin-1, one character for
each byte.
"""

import asyncio
import collections
import random

ANSWER_LIMIT = 3.0  # Seconds until a caller leaves.


def latin(text):
    return text.encode().decode("latin-1")


class Words:
    """Draws the last fields of statements."""

    PLAIN = ["q7", "q2c", "va", "r_q7", "w_q7", "ummvnnzg", "s1", "dt"]
    KEYWORDS = ["READ", "WRITE", "AFTER", "1.1", "BEGIN", "COMMIT", "QUERY", "-"]
    ODD = ['"', "'", "=", "%", "%20", "%0D%0A", "\\", "\\r\\n", "{}", "#d", "\t"]
    BYTES = ["\r", "\n", "\0", "\xff\xfe", "\x80", "\x1b", latin("é€😀")]
    GAPS = [" ", " ", " ", "  ", "", "\t", " \t ", "\n", "\r"]

    def __init__(self, rng, free):
        self.random = rng
        self.free = free

    def word(self):
        return self.random.choice(self.PLAIN)

    def text(self):
        """Not empty, and without the end of a line."""
        if not self.free:
            return self.word()
        rng = self.random
        if rng.random() < 0.02:
            part = self.word() + rng.choice(self.GAPS) + rng.choice(self.ODD)
            return (part * 20000)[: rng.randint(1000, 20000)].replace("\r\n", "|")
        kinds = [self.PLAIN, self.PLAIN, self.KEYWORDS, self.ODD, self.BYTES]
        # Few parts, so that callers often prepare the same shape, or shapes of
        # which one begins like the other.
        out = rng.choice(["", "", "", " ", "  ", "\t"])
        for _ in range(rng.randint(1, 4)):
            out += rng.choice(rng.choice(kinds)) + rng.choice(self.GAPS)
        if rng.random() < 0.7:
            out = out.rstrip(" ")
        return out.replace("\r\n", "|") or self.word()


class Left(Exception):
    """The caller closes its session, or finds it closed."""


class Caller:
    """Runs one session at a time, mostly long ones."""

    def __init__(self, number, world, seed, free):
        self.number = number
        self.world = world
        self.judge = world.judge
        self.random = random.Random(f"{seed} {number}")
        self.words = Words(self.random, free)
        self.reader = self.writer = None
        self.count = 0
        self.item = f"item-{number}"
        self.database = ""
        self.values = {}
        self.prepared = {}
        self.state = "I"
        self.last = "-"  # Last data acknowledged to this caller.
        self.written_here = False  # Whether in this session.
        self.own = []  # Attempts that wrote.
        self.served = 0
        self.refused = collections.Counter()

    async def line(self):
        raw = await asyncio.wait_for(
            self.reader.readuntil(b"\r\n"), ANSWER_LIMIT
        )
        return raw.decode("latin-1")[:-2]

    async def connect(self):
        self.database = self.random.choice(self.world.databases)
        self.values, self.prepared = {}, {}
        self.state, self.written_here = "I", False
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(
                "127.0.0.1", self.random.choice(self.world.ports), limit=2 << 20
            ),
            1,
        )
        self.writer.write(f"START {self.database} u3f1\r\n".encode())
        if not (await self.line()).startswith("READY"):
            raise Left

    async def query(self, attempt, text, body=None):
        """The rows and the code of the error, if it is one."""
        self.count += 1
        request = f"c{self.number}q{self.count}"
        self.judge.note_sent(request, text, attempt, self.values, body)
        self.world.record(f"c{self.number} sends {request} {ascii(text)[:120]}")
        self.writer.write(f"QUERY {request} {text}\r\n".encode("latin-1"))
        rows, signature, code = [], "", None
        while True:
            word, _, rest = (await self.line()).partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                code = rest.split(" ")[0]
            elif word == "READY":
                self.state = rest[:1]
                break
        result = f"{code or 'ok'} {self.state}"
        self.world.record(f"c{self.number} is answered {request} {result}")
        self.judge.note_answer(request, rows, signature, code)
        if code:
            self.refused[code] += 1
        else:
            self.served += 1
        return rows, code

    def new_data(self):
        """Different for each write, also of other callers."""
        mark = f"<{self.number}.{self.count}.{self.random.randrange(1 << 30)}>"
        cut = self.words.text()
        return self.words.text() + mark + cut if self.words.free else mark

    async def session_statement(self, attempt):
        """SET, PREPARE or CLOSE; a caller leaves if one is refused."""
        rng = self.random
        name = rng.choice(["s1", "s2", "s3", "r_q7"])
        value_name = rng.choice(["tz", "role", "a=b"])
        value, shape = self.words.text(), self.words.text()
        mode = rng.choice(["READ", "WRITE"])
        kind = rng.choice(["SET", "PREPARE", "PREPARE", "CLOSE"])
        text = {
            "SET": f"SET {value_name} {value}",
            "PREPARE": f"PREPARE {name} {mode} {shape}",
            "CLOSE": f"CLOSE {name}",
        }[kind]
        _, code = await self.query(attempt, text)
        if code:
            raise Left
        # Replaced, as the judge keeps those of earlier statements.
        if kind == "SET":
            self.values = dict(self.values, **{value_name: value})
        elif kind == "PREPARE":
            self.prepared[name] = (mode, shape)
        else:
            self.prepared.pop(name, None)

    async def data_statement(self, attempt, may_write):
        rng = self.random
        names = sorted(
            it for it, (mode, _) in self.prepared.items() if may_write or mode == "READ"
        )
        text, body = "READ ", None
        if names and rng.random() < 0.5:
            name = rng.choice(names)
            text, body = f"EXECUTE {name} ", self.prepared[name]
        writes = body[0] == "WRITE" if body else may_write and rng.random() < 0.5
        if writes:
            data = self.new_data()
            attempt.writes.append(data)
            text = text if body else "WRITE "
            _, code = await self.query(attempt, f"{text}{self.item} {data}", body)
            return code
        own = rng.random() < 0.7
        item = self.item if own else self.words.text()
        rows, code = await self.query(attempt, text + item, body)
        if own and not code:
            self.check_own(attempt, rows)
        return code

    def check_own(self, attempt, rows):
        allowed = {self.last}
        for it in self.own:
            if it.outcome == "unknown" and it.asked_commit:
                allowed.update(it.writes)
        if attempt.writes:
            allowed = {attempt.writes[-1]}
        elif self.database != "orders" and not self.written_here:
            return
        elif self.database == "views":
            return
        if not rows or rows[0] not in allowed:
            self.judge.find("STALE", "own write not read", self.database, rows)

    def keep(self, attempt):
        """Notes what the attempt has written."""
        if attempt.writes:
            self.own.append(attempt)
            if attempt.outcome == "acknowledged":
                self.last = attempt.writes[-1]
                self.written_here = True

    async def single(self):
        attempt = self.judge.begin("single")
        try:
            await self.data_statement(attempt, True)
        finally:
            self.keep(attempt)
        if self.state != "I":
            raise Left

    async def transaction(self):
        rng = self.random
        attempt = self.judge.begin(rng.choice(["BEGIN", "BEGIN", "BEGIN READ"]))
        try:
            _, code = await self.query(attempt, attempt.kind)
            for _ in range(rng.randint(0, 5)):
                if code:
                    break
                if rng.random() < 0.25:
                    await self.session_statement(attempt)
                else:
                    code = await self.data_statement(
                        attempt, attempt.kind == "BEGIN"
                    )
                await asyncio.sleep(rng.choice([0, 0, 0.02, 0.1, 0.4]))
            end = rng.choices(["COMMIT", "ROLLBACK", ""], [6, 2, 1])[0]
            if self.state == "I":
                return
            if not end:
                raise Left
            # The end of a failed transaction rolls back.
            attempt.asked_commit = end == "COMMIT" and self.state == "T"
            await self.query(attempt, end)
        finally:
            self.keep(attempt)
        if self.state != "I":
            raise Left

    async def run(self, until):
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            try:
                await self.connect()
                # The daemon's end or a failure ends the long ones.
                left = self.random.choice([1, 10, 1 << 30, 1 << 30])
                while left and loop.time() < until:
                    left -= 1
                    kind = self.random.random()
                    if kind < 0.25:
                        await self.session_statement(self.judge.begin("single"))
                    elif kind < 0.65:
                        await self.single()
                    else:
                        await self.transaction()
                    await asyncio.sleep(self.random.choice([0, 0.01, 0.05, 0.2]))
            except (Left, OSError, EOFError, asyncio.TimeoutError):
                await asyncio.sleep(self.random.uniform(0.01, 0.1))
            finally:
                if self.writer:
                    self.writer.close()
