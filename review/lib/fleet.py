"""Small deployment of the project's own program on loopback addresses, for the review's scripts."""

import asyncio
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http1 import encode, exchange
from store import Store, Way

ROOT = Path(__file__).resolve().parents[2]
ROLES = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
ROLE = ROLES["node"]
HEARTBEAT_S = 1.5
# The bounds of the pages' small deployments.
BOUNDS = {"config_apply_s": 2, "budget_extra_tries": 60, "grace_s": 6, "drain_s": 2}
PORTS = ("inbound", "outbound", "ready", "control", "app")


def unused_base(ips):
    """Returns a number from which 23 ports are free on all of the addresses."""
    while True:
        base = random.randrange(20000, 30000, 32)
        try:
            for ip in ips:
                for port in range(base, base + 23):
                    with socket.socket() as sock:
                        sock.bind((ip, port))
            return base
        except OSError:
            continue


class Node:
    def __init__(self, fleet, name, service, zone, ip, base):
        self.fleet, self.name, self.service, self.zone, self.ip = fleet, name, service, zone, ip
        self.ports = {port: base + i for i, port in enumerate(PORTS)}
        self.internal = (base + 6, base + 21)
        self.way = Way()
        self.store_port = base + 22
        self.process = None

    def address(self, port):
        return (self.ip, self.ports[port])

    def settings(self):
        """Fills in the template of the deploy file, as the platform does."""
        listen = {f"listen.{p}": "%s:%d" % self.address(p) for p in PORTS if p != "app"}
        values = {
            "node_name": self.name, "service": self.service, "zone": self.zone, "region": "r",
            "ip": self.ip, "internal_port_range.0": self.internal[0],
            "internal_port_range.1": self.internal[1],
            "platform.address": f"{self.ip}:{self.store_port}", "heartbeat_s": HEARTBEAT_S,
            **listen, **{f"bounds.{k}": v for k, v in self.fleet.bounds.items()},
        }
        text = (ROOT / ROLE["template"]).read_text()
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                      lambda m: m[2] if values.get(m[1]) else "", text, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(values.get(m[1], "")), text)

    def start(self):
        path = self.fleet.folder / f"{self.name}.ini"
        path.write_text(self.settings())
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["SYCAMORESHIFT_BOOT"] = str(path)
        command = ROLE["run"].split()
        self.process = subprocess.Popen([str(ROOT / command[0]), *command[1:]], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.fleet.record(f"node {self.name}: started")

    def signal(self, sig):
        self.process.send_signal(sig)
        self.fleet.record(f"node {self.name}: {signal.Signals(sig).name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        data = encode("GET /v1/readiness HTTP/1.1", [("Host", "node")])
        status, _, _ = await exchange(self.address("ready"), data, 1.0)
        return status == 200


class Fleet:
    """Nodes with a store of their own. `places` lists name, service and zone of each."""

    def __init__(self, folder, places, bounds=None):
        self.started = time.monotonic()
        self.out = open(Path(folder) / "record.txt", "w")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = {**BOUNDS, **(bounds or {})}
        ips = [f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}.{i + 2}"
               for i in range(len(places))]
        base = unused_base(ips)
        self.nodes = {name: Node(self, name, service, zone, ip, base)
                      for (name, service, zone), ip in zip(places, ips)}
        self.store = Store()

    def record(self, line):
        if not self.out.closed:
            self.out.write(f"{time.monotonic() - self.started:8.3f} {line}\n")

    async def start(self, config):
        await self.store.put("op/config", config)
        for node in self.nodes.values():
            await self.store.listen(node.ip, node.store_port, node.way)
            node.start()

    async def wait_ready(self, seconds=20.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await node.is_ready() for node in self.nodes.values()]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes did not become ready")

    def stop(self):
        for node in self.nodes.values():
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.out.close()


def config(version, routes, services, **more):
    """Returns a configuration; a route is (host, prefix, kind, service, timeout_s, target_s)."""
    return {
        "version": version,
        "routes": [{"name": f"r-{i}", "host": host, "path_prefix": prefix, "kind": kind,
                    "timeout_s": timeout, "target_latency_s": target, "priority": 1,
                    "service": service, "retry_attempts": 2, "auth_exempt": False}
                   for i, (host, prefix, kind, service, timeout, target) in enumerate(routes)],
        "services": [{"name": name, "health_path": "/health", "max_connections": 120,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3,
                   "idle_timeout_s": 15},
        **more,
    }


_idents = iter(range(1, 1 << 40))


def new_id():
    return "%016x" % ((next(_idents) << 20) | random.getrandbits(20))


async def call(node, host, target, method="GET", deadline_ms=2500, body=b"", fields=()):
    """Sends one request of a client to `node`; returns its id, the status, the head and the body."""
    ident = new_id()
    head = [("Host", host), ("Request-Id", ident), ("Deadline-Ms", deadline_ms), *fields]
    data = encode(f"{method} {target} HTTP/1.1", head, body)
    node.fleet.record(f"client at {node.name}: {ident} sent, {method} {target}")
    status, head, answer = await exchange(node.address("outbound"), data, deadline_ms / 1000)
    return ident, status, head, answer


def main(case, folder):
    """Runs `case(folder, trouble)`, which returns True if the rule held, and ends the process."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # Ended from outside, the script ends its nodes as well.
        current = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
        try:
            held = await asyncio.wait_for(case(folder, trouble), 110)
        except BaseException as error:  # the case couldn't run
            print(f"not run: {error!r}", file=sys.stderr, flush=True)
            os._exit(2)
        print("held" if held else "broken", flush=True)
        # The tasks of the stand-ins need no orderly end: all nodes have been stopped.
        os._exit(0 if held else 1)

    asyncio.run(run())
