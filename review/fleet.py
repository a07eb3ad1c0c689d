"""Starts the daemons with the command of the deploy file, and ends them."""

import asyncio
import os
import random
import signal
import socket

REGIONS = {
    "tartu-press": "tartu",
    "tallinn-desk": "tallinn",
    "tartu-depot": "tartu",
}
FRONTEND, READINESS, INNER, INNER_LAST, METRICS = 8784, 8785, 7440, 7455, 9464
READY_LIMIT_S = 15.0
STOP_LIMIT_S = 8.0

SETTINGS = """node_name: "{name}"
role: "entry"
machine_class: "frontend"
serves:
  - "frontend"
ip: "{ip}"
zone: "{zone}"
region: "{region}"
zones:
  tartu-press: "tartu"
  tallinn-desk: "tallinn"
  tartu-depot: "tartu"
listen:
  frontend: "{ip}:8784"
  readiness: "{ip}:8785"
internal_ports:
  - 7440
  - 7455
seeds: []
bootstrap: {bootstrap}
limits:
  cpu_share: 0.25
  cpu_cores: 1
  memory_mb: 260
  max_fds: 4200
  bandwidth_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
ingress: "vip"
heartbeat_ms: 1200
bounds:
  contact_ms: 4000
  drain_ms: 7000
  grace_s: 6
  loss_slack_ms: 200
  config_apply_ms: 3000
  downgrade_ms: 250
  max_skew_ms: 12000
  recovery_s: 12
  require_fencing: true
platform:
  address: "{store}"
  form: "objects"
  writes_per_s: 400
  reads_per_s: 2000
  retention_s: 20
  max_value_bytes: 1048576
provider:
  address: "{provider}"
  rate_per_s: 50.0
  duties:
    - "failover"
  duty_per_s: 50.0
"""


def free_block():
    """First three numbers of loopback addresses on which nobody listens."""
    for _ in range(100):
        block = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONTEND, READINESS, INNER, METRICS):
                with socket.socket() as it:
                    it.bind((f"{block}.11", port))
            return block
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


class Daemon:
    def __init__(self, name, zone, ip, folder, store, provider):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.folder = folder
        self.addresses = {"store": store, "provider": provider}
        self.process = None
        self.starts = 0

    async def start(self, bootstrap=False):
        path = os.path.join(self.folder, f"{self.name}.yaml")
        with open(path, "w") as file:
            file.write(
                SETTINGS.format(
                    name=self.name,
                    ip=self.ip,
                    zone=self.zone,
                    region=REGIONS[self.zone],
                    bootstrap=str(bootstrap).lower(),
                    **self.addresses,
                )
            )
        self.starts += 1
        with open(os.path.join(self.folder, f"{self.name}.log"), "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                "target/peridotfalld",
                "--on_platform",
                "--metrics_port",
                str(METRICS),
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "PERIDOTFALL_CONFIG": path,
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def ready(self):
        """Whether the readiness address answers 200."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, READINESS)
            writer.write(b"GET /peridotfall/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def until_ready(self):
        end = asyncio.get_running_loop().time() + READY_LIMIT_S
        while not await self.ready():
            if asyncio.get_running_loop().time() > end:
                raise RuntimeError(f"{self.name} does not get ready")
            await asyncio.sleep(0.05)

    async def kill(self, how=signal.SIGKILL):
        self.process.send_signal(how)
        return await asyncio.wait_for(self.process.wait(), STOP_LIMIT_S)

    def ended(self):
        return self.process is not None and self.process.returncode is not None


class Fleet:
    """The daemons of a deployment, `per_zone` in each of its three zones."""

    def __init__(self, block, folder, per_zone, store, provider):
        self.daemons = []
        for zone in REGIONS:
            for n in range(1, per_zone + 1):
                ip = f"{block}.{11 + len(self.daemons)}"
                name = f"frontend-{zone}-{n}"
                self.daemons.append(
                    Daemon(name, zone, ip, folder, store, provider)
                )

    async def start(self):
        await asyncio.gather(*(it.start(True) for it in self.daemons))
        await asyncio.gather(*(it.until_ready() for it in self.daemons))

    def of(self, zone):
        return [it for it in self.daemons if it.zone == zone]

    async def end(self):
        for it in self.daemons:
            if it.process and it.process.returncode is None:
                it.process.kill()
                await it.process.wait()
