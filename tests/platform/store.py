"""A small stand-in for the platform's object store, and an HTTP server.

Uses HTTP/1.1 with JSON bodies. Objects have a kind and a name. Every change
has the next revision; a watch waits for changes after a given revision.
"""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

PREFIX = "/peridotfall/objects/"
PAGE = 2  # Small, so that lists have several pages.
RAW = {}  # Text that is sent in place of a string.


def raw(text):
    """Returns a value that is sent as this text, which may be no JSON."""
    name = f"raw text {len(RAW)}"
    RAW[json.dumps(name)] = text
    return name


class Store:
    def __init__(self):
        self.revision = 1
        self.objects = {}  # kind -> name -> object
        self.history = []  # (revision, kind, deleted, object)
        self.changed = asyncio.Event()
        self.away = False  # Accepts connections and answers nothing.

    def put(self, kind, name, spec):
        """Creates or replaces an object without a revision check."""
        self.revision += 1
        old = self.objects.setdefault(kind, {}).get(name)
        created = old["meta"]["created_rev"] if old else self.revision
        it = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created_rev": created,
                "finalizers": [],
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
        self.history.append((self.revision, kind, deleted, it))
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, kind, after):
        names = sorted(n for n in self.objects.get(kind, {}) if n > after)
        items = [self.objects[kind][n] for n in names[:PAGE]]
        return {
            "items": items,
            "has_more": len(names) > PAGE,
            "at_rev": self.revision,
        }

    async def watch(self, kind, revision, wait_s):
        end = asyncio.get_running_loop().time() + wait_s
        while True:
            events = [
                {"deleted": deleted, "object": it}
                for rev, k, deleted, it in self.history
                if rev > revision and k == kind
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return {"events": events, "at_rev": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        kind, _, name = url.path[len(PREFIX) :].partition("/")
        name = unquote(name)
        if method == "GET" and "watch" in query:
            wait_s = int(query.get("wait_ms", "0")) / 1000
            return 200, await self.watch(kind, int(query["watch"]), wait_s)
        if method == "GET" and name:
            known = self.objects.get(kind, {}).get(name)
            return (200, known) if known else (404, {})
        if method == "GET":
            return 200, self.page(kind, query.get("after", ""))
        meta = body.get("meta", {}) if body else {}
        name = name or meta.get("name", "")
        known = self.objects.get(kind, {}).get(name)
        if method == "POST":
            if known:
                return 409, known
            return 200, self.put(kind, name, body["spec"])
        if not known:
            return 404, {}
        wanted = meta.get("revision") or int(query.get("revision", "0"))
        if wanted and wanted != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            return 200, self.delete(kind, name)
        return 200, self.put(kind, name, body["spec"])


async def serve_http(port, answer):
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
                raw = await reader.readexactly(size) if size else b""
                body = json.loads(raw) if raw else None
                status, out = await answer(method, target, headers, body)
                text = json.dumps(out)
                for name, odd in RAW.items():
                    text = text.replace(name, odd)
                text = text.encode()
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
            writer.close()  # The client has closed, or the run has ended.

    return await asyncio.start_server(connection, "127.0.0.1", port)
