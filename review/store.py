"""Stand-ins of the users' platform: the object store and the provider.

They follow PROTOCOL.md ("The platform's metadata store", "Singleton duties").
"""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

PREFIX = "/peridotfall/objects/"
PAGE = 500  # Objects in one page of a list.
PROMOTE_S = 0.6  # From the accepted call until the new primary leads.


class Store:
    """Objects by kind and name, with one revision counter and watches."""

    def __init__(self):
        self.revision = 1
        self.objects = {}  # kind -> name -> object
        self.history = []  # (revision, kind, deleted, object)
        self.changed = asyncio.Event()

    def put(self, kind, name, spec, finalizers=()):
        old = self.objects.setdefault(kind, {}).get(name)
        if old and old["spec"] == spec:
            return old
        self.revision += 1
        created = old["meta"]["created_rev"] if old else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "created_rev": created,
            "finalizers": list(finalizers),
            "deleting": False,
        }
        it = {"meta": meta, "spec": spec, "status": None}
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

    def _list(self, kind, after):
        names = sorted(n for n in self.objects.get(kind, {}) if n > after)
        items = [self.objects[kind][n] for n in names[:PAGE]]
        return {
            "items": items,
            "has_more": len(names) > PAGE,
            "at_rev": self.revision,
        }

    async def _watch(self, kind, revision, wait_s):
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

    async def answer(self, method, target, _headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        kind, _, name = url.path[len(PREFIX):].partition("/")
        if method == "GET" and "watch" in query:
            wait_s = min(int(query.get("wait_ms", "0")), 30000) / 1000
            return 200, await self._watch(kind, int(query["watch"]), wait_s)
        if method == "GET" and not name:
            return 200, self._list(kind, query.get("after", ""))
        meta = (body or {}).get("meta", {})
        name = name or meta.get("name", "")
        known = self.objects.get(kind, {}).get(name)
        if method == "GET":
            return (200, known) if known else (404, {})
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


class Provider:
    """Takes promotions; refuses a fencing token lower than one seen before."""

    def __init__(self, services, record):
        self.services = services  # name -> service with promote(id)
        self.seen = {}
        self.record = record

    async def answer(self, method, target, headers, body):
        if (method, target) != ("POST", "/promote"):
            return 404, {}
        token = int(headers["x-fence-token"])
        name = body["service"]
        if token < self.seen.get(name, 0):
            self.record(f"promote {name} {body['id']} token {token}: 409")
            return 409, {}
        self.seen[name] = token
        done = self.services[name].promote(body["id"], PROMOTE_S)
        self.record(
            f"promote {name} {body['id']} token {token} by "
            f"{headers['x-duty-holder']}: {200 if done else 409}"
        )
        return (200, {}) if done else (409, {})


async def serve_http(host, port, answer):
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
                text = out if isinstance(out, bytes) else json.dumps(out).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The client has closed.
        except asyncio.CancelledError:
            pass  # The run has ended.
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=4 << 20)
