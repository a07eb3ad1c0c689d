"""Starts a small deployment: the stand-ins, and the daemons as the deploy file
says, each on loopback addresses of its own."""

import asyncio
import os
import random
import secrets
import signal
import sys
import tempfile
import tomllib
import traceback

from standins import (
    Client,
    Group,
    Provider,
    Record,
    Server,
    Store,
    serve_http,
    settings,
    until_ready,
)

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
REGIONS = {
    "amd-naroda": "gujarat-west",
    "amd-vatva": "gujarat-west",
    "srt-udhna": "gujarat-south",
}
CLIENT_PORT = 8784


def server_names():
    """Ids for one server in each zone. Of the two lowest, one is in the other
    region: the daemons choose the lowest of replicas with equal logs."""
    first, second, third = sorted("i-" + secrets.token_hex(4) for _ in REGIONS)
    low = random.sample([first, second], 2)
    near = random.sample([low[0], third], 2)
    return [*near, low[1]]


class Fleet:
    """Daemons, one in each zone, before `services` groups of three servers."""

    def __init__(self, record, services=1, zones=tuple(REGIONS), **group_settings):
        self.record = record
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.next_host = 40
        self.zones = zones
        self.daemons = {}  # Zone -> process
        self.groups = [
            Group(f"svc{n}", self.store, record, regions=REGIONS, **group_settings)
            for n in range(services)
        ]
        self.provider = Provider(self.groups, record)

    def address_of(self, zone):
        return (f"{self.net}.{10 + list(REGIONS).index(zone)}", CLIENT_PORT)

    def new_server(self, group, zone, name=None):
        self.next_host += 1
        name = name or "i-" + secrets.token_hex(4)
        address = (f"{self.net}.{self.next_host}", 8080)
        return Server(group, name, address, zone, self.record)

    def database(self, group, kind="primary"):
        return f"{group.name}-{kind}"

    def configuration(self, timeout_ms=800):
        return {
            "version": 7,
            "routes": [
                {
                    "name": f"r-{group.name}-{kind}",
                    "host": self.database(group, kind),
                    "path_prefix": "/",
                    "type": kind,
                    "timeout_ms": timeout_ms,
                    "latency_goal_ms": 300,
                    "priority": 1,
                    "service": group.name,
                    "max_attempts": 2,
                    "max_staleness_ms": 1500 if kind != "primary" else 0,
                }
                for group in self.groups
                for kind in ("primary", "bounded_staleness")
            ],
            "services": [
                {
                    "name": group.name,
                    "max_conns": group.max_connections,
                    "sync_replicas": group.sync,
                }
                for group in self.groups
            ],
            "limits": {"tx_idle_ms": 3000},
        }

    async def start(self, timeout_ms=800):
        store = (f"{self.net}.1", 8783)
        provider = (f"{self.net}.2", 8783)
        await serve_http(store, self.store.answer)
        await serve_http(provider, self.provider.answer)
        for group in self.groups:
            for zone, name in zip(REGIONS, server_names()):
                await group.add(self.new_server(group, zone, name))
        self.store.put("config", "main", self.configuration(timeout_ms))
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split(" ")
        for zone in self.zones:
            await self.start_daemon(zone, command, store, provider)
        for zone in self.zones:
            ip = self.address_of(zone)[0]
            if not await until_ready(ip, CLIENT_PORT + 1):
                return False
        return True

    async def start_daemon(self, zone, command, store, provider):
        ip = self.address_of(zone)[0]
        path = os.path.join(self.folder.name, zone + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings(zone, REGIONS, ip, CLIENT_PORT, store, provider))
        log_path = os.environ.get("DAEMON_LOGS", self.folder.name)
        with open(os.path.join(log_path, zone + ".log"), "ab") as log:
            self.daemons[zone] = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C",
                    "PERIDOTFALL_CONFIG": path,
                },
                stdout=log,
                stderr=log,
            )

    def client(self, group, number, kind="primary"):
        zone = self.zones[number % len(self.zones)]
        return Client(self.address_of(zone), self.database(group, kind), self.record)

    def lost_commits(self):
        """Commits that a client was told of and a promoted server lacked."""
        return [
            it
            for group in self.groups
            for it in group.lost
            if it[1] in self.record.succeeded
        ]

    async def stop(self):
        for it in self.daemons.values():
            if it.returncode is None:
                it.kill()
                await it.wait()
        self.folder.cleanup()


def main(folder, run):
    """Runs `run(record)` and exits with what it returns; with 2 if it fails or is
    ended from outside."""

    async def guarded(record):
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await run(record)
        except asyncio.CancelledError:
            return 2
        except Exception:  # The case could not run.
            traceback.print_exc()
            return 2

    record = Record(os.path.join(folder, "record.txt"))
    status = asyncio.run(guarded(record))
    record.close()
    sys.exit(status)
