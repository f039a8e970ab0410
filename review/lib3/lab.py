"""Small deployment for the scripts of this review: nodes of the project as separate processes on
loopback addresses, and stand-ins for the platform's store, the backends and the clients."""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
import uuid

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


def now():
    return time.monotonic()


class Record:
    """Writes record.txt: seconds from the start, and what was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def __call__(self, text):
        if not self.file.closed:
            self.file.write(f"{now() - self.start:9.3f} {text}\n")

    def say(self, text):
        self(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


# HTTP/1.1, as far as the stand-ins need it.

async def read_head(reader):
    """Returns (start line, fields) or None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if not e.partial:
            return None
        raise ConnectionError("stream ended within a head")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_close=False):
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_close else b""


def encode(start, fields, body=b""):
    fields = dict(fields)
    fields["Content-Length"] = str(len(body))
    head = start + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n"
    return head.encode("latin-1") + body


class Store:
    """The platform's metadata store (PROTOCOL.md), with one part."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.log = []
        self.ver = 0
        self.began = now()
        self.changed = asyncio.Condition()
        self.server = None
        self.address = None
        # Called with (method, path, query, body) before a call is served; may sleep, or return
        # (status, body) to answer in its place, or "drop" to close without an answer.
        self.before = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def write(self, table, key, value):
        """Writes a row as the operator does; returns the time of the acknowledgement."""
        async with self.changed:
            self.set(table, key, base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()
        return now()

    def set(self, table, key, value):
        self.ver += 1
        self.put(table, key, value)

    def put(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.ver)
        self.log.append((self.ver, table, key))

    def value(self, table, key):
        row = self.rows.get((table, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def row(self, table, key):
        row = self.rows.get((table, key))
        if row is None:
            return {"table": table, "part": "", "key": key, "ver": self.ver, "tombstone": True}
        return {"table": table, "part": "", "key": key, "value": row[0], "ver": row[1]}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                path, _, query = target.partition("?")
                args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                answer = None
                if self.before:
                    answer = await self.before(method, path, args, body)
                if answer == "drop":
                    break
                if answer is None:
                    answer = await self.answer(method, path, args, body)
                status, value = answer
                writer.write(encode(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"},
                                    json.dumps(value).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def extra(self):
        return {"ver": self.ver, "now_s": round(now() - self.began, 3)}

    async def answer(self, method, path, args, body):
        await asyncio.sleep(0.004)
        if path == "/v1/rows-get":
            return 200, self.list(args)
        if path == "/v1/rows-feed":
            return 200, await self.feed(args)
        if path == "/v1/rows-tx":
            async with self.changed:
                status, value = self.transact(json.loads(body))
                self.changed.notify_all()
            return status, value
        if path == "/v1/rows-parts":
            return 200, {"parts": [""], "has_more": False, **self.extra()}
        if path == "/v1/blob-list":
            return 200, {"names": [], "has_more": False}
        return 404, {}

    def list(self, args):
        table, low, high = args["table"], args.get("from_key", ""), args.get("to")
        keys = sorted(k for t, k in self.rows if t == table and k >= low and (high is None or k < high))
        limit = min(500, int(args.get("limit", 500)))
        rows = [self.row(table, key) for key in keys[:limit]]
        return {"rows": rows, "has_more": len(keys) > limit, **self.extra()}

    async def feed(self, args):
        table, after = args["table"], int(args["after"])
        end = now() + min(30000, int(args.get("wait_ms", 0))) / 1000
        async with self.changed:
            while True:
                seen = {}
                for ver, t, key in self.log:
                    if ver > after and t == table:
                        seen[key] = ver
                left = end - now()
                if seen or left <= 0:
                    rows = [self.row(table, key) for key in sorted(seen, key=seen.get)]
                    return {"rows": rows, **self.extra()}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def transact(self, tx):
        entries = tx.get("put", []) + tx.get("remove", [])
        if any(entry["table"] in ("op", "servers") for entry in entries):
            return 403, {}
        for entry in tx.get("expect", []):
            held = self.rows.get((entry["table"], entry["key"]))
            if (held[1] if held else 0) != entry["ver"]:
                rows = [self.row(e["table"], e["key"]) for e in tx["expect"]
                        if (e["table"], e["key"]) in self.rows]
                return 412, {"rows": rows, **self.extra()}
        self.ver += 1
        for entry in tx.get("put", []):
            self.put(entry["table"], entry["key"], entry["value"])
        for entry in tx.get("remove", []):
            self.put(entry["table"], entry["key"], None)
        return 200, self.extra()


class Proxy:
    """TCP proxy whose open connections can go silent for good, without a reset; new ones work."""

    def __init__(self, target):
        self.host, port = target.rsplit(":", 1)
        self.port = int(port)
        self.generation = 0
        self.address = None
        self.open = 0
        self.silenced = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def silence(self):
        self.generation += 1
        self.silenced = self.open
        return self.open

    async def serve(self, reader, writer):
        born = self.generation
        try:
            far = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.close()
            return
        self.open += 1

        async def copy(source, sink):
            try:
                while data := await source.read(65536):
                    if self.generation != born:
                        continue
                    sink.write(data)
                    await sink.drain()
            except ConnectionError:
                pass
            if self.generation == born:
                sink.close()

        try:
            await asyncio.gather(copy(reader, far[1]), copy(far[0], writer))
        except asyncio.CancelledError:
            pass
        finally:
            self.open -= 1
            writer.close()
            far[1].close()


class Backend:
    """A backend of a service beside one node."""

    def __init__(self, lab, node, service, version="v1", slots=12, work=0.02):
        self.lab, self.node, self.service, self.version = lab, node, service, version
        self.slots, self.work = slots, work
        self.id = "i-" + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.running = 0
        self.beats = None
        self.server = None

    async def start(self):
        host = self.node.ip
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beats = asyncio.create_task(self.beat_forever())

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(self.lab.bounds["heartbeat_s"])

    def beat_body(self, state=None):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.node.zone,
                "version": self.version, "slots": self.slots, "state": state or self.state,
                "cold_remaining_s": 0, "sequence": self.sequence, "born": self.born}

    async def beat(self, body=None):
        return await self.tell("heartbeat", body or self.beat_body())

    async def leave(self, body=None):
        return await self.tell("deregister", body)

    async def tell(self, call, body):
        """Returns the status of the answer if it came within a second, else None."""
        data = b"" if body is None else json.dumps(body).encode()
        target = f"/v1/rpc?call=instances.{call}&of={self.id}"
        try:
            status, _, _ = await asyncio.wait_for(
                request(self.node.listen["control"], "POST", target,
                        {"Host": "node", "Content-Type": "application/json"}, data), 1.0)
        except (OSError, asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            status = None
        self.lab.record(f"backend {self.id} ({self.service}) {call} "
                        f"{json.dumps(body)} -> {status}")
        return status

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                fields = head[1]
                if "100-continue" in fields.get("expect", ""):
                    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                body = await read_body(reader, fields)
                await self.run(writer, method, target, fields, body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def run(self, writer, method, target, fields, body):
        rid = fields.get("request-id", "-")
        wanted = fields.get("target-instance", self.id)
        if wanted != self.id:
            self.lab.record(f"backend {self.id} ({self.service}) gets {rid}, meant for {wanted} -> 421")
            writer.write(encode("HTTP/1.1 421 X", {"Instance-Id": self.id, "Request-Id": rid}))
            return
        if self.running >= self.slots + 48:
            writer.write(encode("HTTP/1.1 503 X", {"Not-Executed": "1", "Request-Id": rid}))
            return
        self.running += 1
        at = now()
        self.runs.append({"at": at, "id": rid, "method": method, "target": target,
                          "fields": fields, "body": body})
        self.lab.record(f"backend {self.id} ({self.service} {self.version}) runs {rid} {method} {target}"
                        f" caller-service={fields.get('caller-service')} tenant={fields.get('tenant')}")
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        answer = f"{self.service} {self.version} {self.id} {rid}".encode()
        writer.write(encode("HTTP/1.1 200 OK", {"Request-Id": rid, "Server-Seal": f"s.{self.id}.{rid}",
                                                "Server-Load": f"{self.running},0,{self.slots}"}, answer))


async def request(address, method, target, fields, body=b"", local=None):
    """Sends one request on a new connection; returns (status, fields, body)."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port), local_addr=local)
    try:
        writer.write(encode(f"{method} {target} HTTP/1.1", fields, body) if body or method != "GET"
                     else (f"{method} {target} HTTP/1.1\r\n"
                           + "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n").encode())
        await writer.drain()
        while True:
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed without an answer")
            status = int(head[0].split(" ")[1])
            if status >= 200:
                break
        return status, head[1], await read_body(reader, head[1], until_close=True)
    finally:
        writer.close()


class Node:
    """A process of the project, started as the deploy file says."""

    def __init__(self, lab, name, zone, service, ip):
        self.lab, self.name, self.zone, self.service, self.ip = lab, name, zone, service, ip
        ports = free_ports(ip, 6)
        self.listen = dict(zip(("inbound", "outbound", "ready", "control"),
                               (f"{ip}:{port}" for port in ports)))
        self.internal = ports[4:6]
        self.process = None
        self.starts = 0
        # Set where proxies stand before the node.
        self.relay_advertised = self.peer_advertised = self.store_address = None

    def settings(self):
        fields = {"node_name": self.name, "service": self.service, "zone": self.zone,
                  "region": "r1", "ip": self.ip, "listen": self.listen,
                  "internal_port_range": self.internal, "heartbeat_s": self.lab.bounds["heartbeat_s"],
                  "platform": {"address": self.store_address or self.lab.store_address},
                  "bounds": self.lab.bounds}
        with open(os.path.join(REPO, "deploy/settings.ini")) as f:
            text = render(f.read(), fields)
        if self.peer_advertised:
            text = text.replace("[listen]\n", f"[listen]\nrelay_advertised = {self.relay_advertised}\n"
                                f"peer_advertised = {self.peer_advertised}\n")
        return text

    def start(self):
        self.starts += 1
        path = os.path.join(self.lab.folder, f"{self.name}.ini")
        with open(path, "w") as f:
            f.write(self.settings())
        self.log = open(os.path.join(self.lab.folder, f"{self.name}.{self.starts}.log"), "w")
        run = os.path.join(REPO, "target/release/sycamoreshiftd-site")
        env = {"PATH": os.environ["PATH"], "SYCAMORESHIFT_BOOT": path}
        self.process = subprocess.Popen([run], cwd=REPO, env=env, stdout=self.log, stderr=self.log,
                                        stdin=subprocess.DEVNULL)
        self.lab.record(f"node {self.name} started")

    def signal(self, number):
        self.lab.record(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.01)

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                request(self.listen["ready"], "GET", "/v1/readiness", {"Host": "node"}), 1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            return False


def render(text, fields):
    """Fills in a template as DEPLOY.md says: values, and sections for present and absent values."""
    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = find(match[2])
        return match[3] if (value not in (None, False)) == (match[1] == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)

    def plain(match):
        value = find(match[1])
        return "" if value is None else str(value).lower() if isinstance(value, bool) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", plain, text)


def free_ports(ip, count):
    held = []
    for _ in range(count):
        tcp = socket.socket()
        tcp.bind((ip, 0))
        held.append(tcp)
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


class Lab:
    """A small deployment. Bounds are those of the site klupa-mesh."""

    def __init__(self, case_folder, **bounds):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.bounds = {"heartbeat_s": 1.5, "config_apply_s": 2, "grace_s": 6, "budget_extra_tries": 60,
                       "contact_s": 3, "drain_s": 2, **bounds}
        self.nodes, self.backends = [], []
        self.store = Store(self.record)
        self.store_address = None
        self.version = 0

    async def start(self, services, store_proxy=None, network=None):
        """Starts the store and a node with a backend for each (name, zone, service)."""
        binary = os.path.join(REPO, "target/release/sycamoreshiftd-site")
        if not os.access(binary, os.X_OK):
            raise CannotRun("the node's program isn't built")
        await self.store.start()
        self.store_address = self.store.address
        if store_proxy:
            self.proxy = Proxy(self.store.address)
            await self.proxy.start()
            self.store_address = self.proxy.address
        for i, (name, zone, service) in enumerate(services):
            node = Node(self, name, zone, service, f"127.0.77.{i + 1}")
            self.nodes.append(node)
        for node in self.nodes:
            if network:
                await network.add(node)
            node.start()

    async def add_backends(self, **options):
        for node in self.nodes:
            backend = Backend(self, node, node.service, **options)
            self.backends.append(backend)
            await backend.start()

    def node(self, name):
        return next(node for node in self.nodes if node.name == name)

    def of(self, node):
        return next(b for b in reversed(self.backends) if b.node is node)

    async def wait_ready(self, seconds=20):
        end = now() + seconds
        while now() < end:
            if all(await asyncio.gather(*(node.is_ready() for node in self.nodes))):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes did not become ready")

    async def configure(self, routes, services, tenants=None, limits=None):
        """Writes the next configuration; returns its version and the time of the acknowledgement."""
        self.version += 3
        config = {"version": self.version, "routes": routes,
                  "services": [{"name": s, "health_path": "/health", "max_connections": 120,
                                "protocol": "h1", "tls": False} for s in services],
                  "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                                       "header_timeout_s": 3, "idle_timeout_s": 15}}
        if tenants is not None:
            config["tenants"] = tenants
        at = await self.store.write("op", "config", config)
        self.record(f"operator writes config version {self.version}: {json.dumps(routes)}")
        return self.version, at

    async def call(self, node, method, target, host="shop.example", deadline_ms=1000, body=b"",
                   fields=None, quiet=False):
        """Sends a client's request; returns a dict with what came of it."""
        rid = uuid.uuid4().hex[:16]
        head = {"Host": host, "Request-Id": rid, "Deadline-Ms": str(deadline_ms), **(fields or {})}
        sent = now()
        result = {"id": rid, "node": node.name, "sent": sent, "status": None, "fields": {}, "body": b""}
        try:
            status, got, text = await asyncio.wait_for(
                request(node.listen["outbound"], method, target, head, body), deadline_ms / 1000 + 0.5)
            result.update(status=status, fields=got, body=text)
        except (OSError, asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError) as e:
            result["error"] = type(e).__name__
        result["done"] = now()
        if not quiet:
            self.record(f"client at {node.name}: {rid} {method} {target} sent {sent - self.record.start:.3f}"
                        f" -> {result['status']} {result.get('error', '')} {result['body'][:80]!r}")
        return result

    async def end(self, keep=False):
        for backend in self.backends:
            await backend.stop()
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        self.record.close()
        if not keep and not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)


def route(name, prefix, service, kind="safe", host="shop.example", timeout=1.2, objective=0.4,
          attempts=2, priority=1, **more):
    one = {"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_s": timeout,
           "target_latency_s": objective, "priority": priority, "retry_attempts": attempts, **more}
    if isinstance(service, str):
        one["service"] = service
    else:
        one["weighted_services"] = service
    return one


def main(case):
    """Runs `case(folder)`, a coroutine function that returns whether the rule was broken."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    loop = asyncio.new_event_loop()
    # Connections that end with the lab are no news.
    loop.set_exception_handler(lambda *_: None)
    asyncio.set_event_loop(loop)
    task = loop.create_task(asyncio.wait_for(case(folder), 110))
    # A script that is ended from outside ends its nodes first.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        broken = loop.run_until_complete(task)
        code = 1 if broken else 0
        print("rule broken" if broken else "rule held")
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as e:
        code = 2
        print("the case could not run:", repr(e))
    # All processes have ended by now; the stand-ins' open connections end with this one.
    sys.stdout.flush()
    os._exit(code)
