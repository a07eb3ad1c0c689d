"""One service, the platform and the daemons of a small deployment."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time

import backends
import fleet
import store

DATABASE = "orders"
SERVICE = "order-ledger"


class World:
    """`here` is the folder of the case, into which record.txt is written."""

    def __init__(self, here, per_zone=3, max_conns=16):
        self.started = time.monotonic()
        self.file = open(os.path.join(here, "record.txt"), "w")
        self.folder = tempfile.TemporaryDirectory()
        self.block = fleet.free_block()
        self.store = store.Store()
        self.service = backends.Service(
            SERVICE, self.store, self.record, max_conns=max_conns
        )
        self.provider = store.Provider({SERVICE: self.service}, self.record)
        self.fleet = fleet.Fleet(
            self.block,
            self.folder.name,
            per_zone,
            f"{self.block}.2:8783",
            f"{self.block}.3:8783",
        )
        self.version = 7

    def record(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")

    async def start(self):
        await store.serve_http(f"{self.block}.2", 8783, self.store.answer)
        await store.serve_http(f"{self.block}.3", 8783, self.provider.answer)
        for n, zone in enumerate(fleet.REGIONS):
            host = f"{self.block}.{101 + n}"
            it = backends.Backend(self.service, f"i-{n}{zone}", zone, host, 8080)
            await it.start()
            self.service.add(it)
        self.configure()
        await self.fleet.start()
        self.record("all daemons are ready")

    def configure(self):
        route = {
            "name": "r-1",
            "host": DATABASE,
            "path_prefix": "/",
            "type": "primary",
            "timeout_ms": 800,
            "latency_goal_ms": 300,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
        }
        service = {
            "name": SERVICE,
            "health_path": "/health",
            "max_conns": self.service.max_conns,
            "protocol": "h1",
            "tls": False,
            "sync_replicas": self.service.sync,
        }
        self.store.put(
            "config",
            "main",
            {
                "version": self.version,
                "routes": [route],
                "services": [service],
                "limits": {"tx_idle_ms": 3000},
            },
        )

    async def stop(self):
        """Ends all processes that this run has started."""
        await self.fleet.end()

    def close(self):
        self.file.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder.name, keep)
        self.folder.cleanup()


def run(here, main):
    """Runs `main(world)`; exits with 1 if it returns findings, with 2 if the
    case could not run."""
    # Ends the processes that were started, also if the run is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    world = World(here)

    async def judged():
        try:
            return await main(world)
        finally:
            await world.stop()

    try:
        findings = asyncio.run(judged())
        for it in findings:
            world.record(f"BROKEN {it}")
            print(it)
        print("broken" if findings else "held")
        return 1 if findings else 0
    except Exception as it:  # Anything else than a judged run.
        world.record(f"could not run: {it!r}")
        print(f"could not run: {it!r}")
        return 2
    finally:
        world.close()
