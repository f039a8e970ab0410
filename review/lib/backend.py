"""Stand-in for an application's backend, as PROTOCOL.md tells: it announces itself to its node, runs
requests in slots, and drops a request whose connection closes."""

import asyncio
import json
import time

from http1 import encode, exchange, read_body, read_head


class Backend:
    def __init__(self, record, name, service, address, control, zone, slots=8, work_s=0.02,
                 beat_s=1.5, version="v1"):
        self.record, self.name, self.service = record, name, service
        self.address, self.control, self.zone = address, control, zone
        self.slots, self.work_s, self.beat_s, self.version = slots, work_s, beat_s, version
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.room = asyncio.Semaphore(slots)
        self.server = self.beats = None
        self.connections = set()
        self.running = 0
        self.runs = []               # (time of the head, time of the begin, id, target, fields)
        self.on_request = None       # async hook(head, body, reader, writer) -> True if it answered

    async def start(self, announces=True):
        self.server = await asyncio.start_server(self.connection, *self.address, limit=1 << 22,
                                                 backlog=512)
        if announces:
            self.beats = asyncio.create_task(self.announce())

    async def stop(self):
        """Ends as a process does: all of its connections close."""
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def beat(self, state=None):
        """Returns the next heartbeat."""
        self.sequence += 1
        body = {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": state or self.state,
                "cold_remaining_s": 0, "sequence": self.sequence, "born": self.born}
        return self.message("heartbeat", body)

    def message(self, call, body):
        start = f"POST /v1/rpc?call=instances.{call}&of={self.name} HTTP/1.1"
        fields = [("Host", "node"), ("Content-Type", "application/json")]
        return encode(start, fields, json.dumps(body).encode())

    async def send(self, data, what):
        """Sends a message to the node; returns whether it was acknowledged."""
        status, _, _ = await exchange(self.control, data, 1.0)
        self.record(f"backend {self.name}: {what} answered {status}")
        return status is not None and 200 <= status < 300

    async def announce(self):
        while True:
            status, _, _ = await exchange(self.control, self.beat(), 1.0)
            await asyncio.sleep(self.beat_s if status == 200 else 0.2)

    async def connection(self, reader, writer):
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                if not await self.request(head, reader, writer):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def request(self, head, reader, writer):
        came = time.monotonic()
        method, target, _ = head.start.split(" ", 2)
        if target == "/health":
            writer.write(encode("HTTP/1.1 200 OK", [("Instance-Id", self.name)]))
            return True
        body = await read_body(reader, head)
        ident = head.get("request-id")
        fields = [("Request-Id", ident or "")]
        wanted = head.get("target-instance")
        if wanted is not None and wanted != self.name:
            writer.write(encode("HTTP/1.1 421 Misdirected Request",
                                fields + [("Instance-Id", self.name)]))
            await writer.drain()
            return True
        if self.on_request and await self.on_request(head, body, reader, writer):
            return True
        run = asyncio.create_task(self.run(came, ident, target, head))
        gone = asyncio.create_task(self.wait_gone(reader))
        await asyncio.wait({run, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            run.cancel()
            self.record(f"backend {self.name}: request {ident} dropped, its connection closed")
            return False
        gone.cancel()
        answer = json.dumps({"ran": ident, "by": self.name, "body": len(body)}).encode()
        writer.write(encode("HTTP/1.1 200 OK", fields + [
            ("Server-Seal", f"seal.{self.name}.{ident}"),
            ("Server-Load", f"{self.running},0,{self.slots}"),
        ], answer))
        await writer.drain()
        return True

    async def wait_gone(self, reader):
        # The node sends one request at a time, so nothing but the end of the connection comes.
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)

    async def run(self, came, ident, target, head):
        async with self.room:
            self.running += 1
            try:
                began = time.monotonic()
                self.runs.append((came, began, ident, target, dict(head.fields)))
                self.record(f"backend {self.name}: runs {ident} {target}")
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
