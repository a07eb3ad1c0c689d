"""Stand-in of clients: sessions that run transactions with pauses."""

import asyncio
import random

import fleet

NOT_KEPT = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}
ANSWER_LIMIT_S = 4.0


class Failure(Exception):
    def __init__(self, code):
        super().__init__(code)
        self.code = code


class Attempt:
    """One client attempt: its request ids, and what its client was told."""

    def __init__(self, name):
        self.name = name
        self.outcome = "open"
        self.asked_commit = False


class Caller:
    """One session at a time, at one daemon."""

    def __init__(self, name, ip, database, record):
        self.name = name
        self.ip = ip
        self.database = database
        self.record = record
        self.random = random.Random(name)
        self.attempts = []
        self.writes = 0
        self.reader = self.writer = None

    async def line(self):
        raw = await asyncio.wait_for(self.reader.readline(), ANSWER_LIMIT_S)
        if not raw:
            raise Failure("closed")
        return raw.decode().rstrip("\r\n")

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.ip, fleet.FRONTEND
        )
        self.writer.write(f"START {self.database}\r\n".encode())
        line = await self.line()
        if not line.startswith("READY"):
            raise Failure(line)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def query(self, request, text):
        self.record(f"{self.name} sends {request} {text}")
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        rows, error = [], None
        while True:
            word, _, rest = (await self.line()).partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "ERROR":
                error = rest.split(" ")[0]
            elif word == "READY":
                break
        self.record(f"{self.name} gets {request} {error or 'ok'} {' '.join(rows)}")
        if error:
            raise Failure(error)
        return rows

    async def transaction(self, steps, pause):
        """BEGIN, `steps` writes with a pause before each later one, COMMIT."""
        attempt = Attempt(f"{self.name}a{len(self.attempts) + 1}")
        self.attempts.append(attempt)
        try:
            if not self.writer:
                await self.connect()
            await self.query(f"{attempt.name}.0", "BEGIN")
            for n in range(1, steps + 1):
                if n > 1:
                    await asyncio.sleep(pause())
                data = f"{attempt.name}-{n}"
                await self.query(
                    f"{attempt.name}.{n}", f"WRITE item-{attempt.name} {data}"
                )
            attempt.asked_commit = True
            await self.query(f"{attempt.name}.{steps + 1}", "COMMIT")
            attempt.outcome = "kept"
        except Failure as it:
            attempt.outcome = "not kept" if it.code in NOT_KEPT else "unknown"
            self.close()
        except (OSError, asyncio.TimeoutError):
            attempt.outcome = "unknown"
            self.close()
        return attempt

    async def write(self):
        """A single write. Returns its request id once it is acknowledged."""
        self.writes += 1
        request = f"{self.name}w{self.writes}.1"
        try:
            if not self.writer:
                await self.connect()
            await self.query(request, f"WRITE item-{self.name} {request}")
            return request
        except (Failure, OSError, asyncio.TimeoutError):
            self.close()
            return None
