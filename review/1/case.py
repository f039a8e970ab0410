"""An answer that was reset on its way reaches the client as a complete success."""

import asyncio
import fcntl
import os
import random
import socket
import struct
import sys
import termios
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from backend import Backend
from fleet import Fleet, config, main, new_id
from http1 import encode, read_body, read_head

HOST, ROUTE = "shop.example", "/photo/"
SIZE = int(os.environ.get("SIZE", 200_000))
CLIENTS = int(os.environ.get("CLIENTS", 2))
SECONDS = float(os.environ.get("SECONDS", 50))
X = float(os.environ.get("X", 0.03))
WHOLE = b"receipt " * 1000
PART = WHOLE[:3000]


class Early(Backend):
    """Backend whose answers to uploads have no length; some of them begin before the upload was
    read, and break off as the connection is closed. The unread bytes make the close a reset."""

    def __init__(self, *args, breaks_off, **kwargs):
        super().__init__(*args, **kwargs)
        self.breaks_off, self.broken = breaks_off, 0

    async def start(self, announces=True):
        self.sock = socket.create_server(self.address, backlog=512)
        self.sock.setblocking(False)
        self.beats = asyncio.create_task(self.announce())
        self.accepts = asyncio.create_task(self.accept())

    async def stop(self):
        self.beats.cancel()
        self.accepts.cancel()
        self.sock.close()

    async def accept(self):
        tasks = set()
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self.sock)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            tasks.add(task := asyncio.create_task(self.serve(sock)))
            task.add_done_callback(tasks.discard)

    async def serve(self, sock):
        loop, data = asyncio.get_running_loop(), b""
        try:
            while b"\r\n\r\n" not in data:
                if not (piece := await loop.sock_recv(sock, 1024)):
                    return
                data += piece
            raw, body = data.split(b"\r\n\r\n", 1)
            fields = dict(line.split(": ", 1) for line in raw.decode().split("\r\n")[1:])
            ident, length = fields["request-id"], int(fields.get("content-length", 0))
            if fields.get("target-instance", self.name) != self.name:
                self.record(f"backend {self.name}: {ident} is for another, 421")
                return sock.send((f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {ident}\r\n"
                                  "Connection: close\r\nContent-Length: 0\r\n\r\n").encode())
            start = (f"HTTP/1.1 200 OK\r\nRequest-Id: {ident}\r\n"
                     f"Server-Seal: seal.{self.name}.{ident}\r\nConnection: close\r\n\r\n").encode()
            if random.random() < self.breaks_off:
                while not (unread := unread_bytes(sock)):
                    await asyncio.sleep(0)
                sock.send(start + PART)
                self.broken += 1
                self.record(f"backend {self.name}: answers {ident} with {len(PART)} of {len(WHOLE)} "
                            f"bytes, and closes with {unread} bytes unread, which resets")
                return
            left = length - len(body)
            while left > 0:
                if not (piece := await loop.sock_recv(sock, 1 << 16)):
                    return
                left -= len(piece)
            self.record(f"backend {self.name}: ran {ident}, answers it whole")
            await loop.sock_sendall(sock, start + WHOLE)
        except OSError:
            pass
        finally:
            sock.close()


def unread_bytes(sock):
    """Returns the number of received bytes that were not read."""
    return struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, b"\0" * 4))[0]


async def case(folder, trouble):
    fleet = Fleet(folder, [("a-1", "counter", "a"), ("b-1", "bench", "b"), ("c-1", "bench", "c")])
    a, b, c = fleet.nodes.values()
    backends = [Backend(fleet.record, "i-a-1", "counter", a.address("app"), a.address("control"), "a")]
    backends += [Early(fleet.record, f"i-{n.name}", "bench", n.address("app"), n.address("control"),
                       n.zone, slots=12, breaks_off=X if trouble and n is b else 0.0)
                 for n in (b, c)]
    try:
        await fleet.start(config(3, [(HOST, ROUTE, "upload", "bench", 3.0, 0.5)],
                                 ["counter", "bench"]))
        for backend in backends:
            await backend.start()
        await fleet.wait_ready()
        await asyncio.sleep(2)
        outcomes, body, end = {}, random.randbytes(SIZE), time.monotonic() + SECONDS

        async def client():
            while time.monotonic() < end:
                ident = new_id()
                data = encode(f"POST {ROUTE}x HTTP/1.1", [("Host", HOST), ("Request-Id", ident),
                              ("Deadline-Ms", 3000)], body)
                what = "closed"
                fleet.record(f"client: {ident} sent")
                reader, writer = await asyncio.open_connection(*a.address("outbound"))
                try:
                    writer.write(data)
                    head = await asyncio.wait_for(read_head(reader), 3.0)
                    if head is not None:
                        status = int(head.start.split(" ")[1])
                        answer = await asyncio.wait_for(read_body(reader, head), 3.0)
                        whole = "whole" if answer == WHOLE else f"complete, {len(answer)} bytes"
                        what = f"{status} {whole}" if status == 200 else str(status)
                except (ConnectionError, OSError, asyncio.TimeoutError,
                        asyncio.IncompleteReadError) as error:
                    what = f"cut ({type(error).__name__})"
                finally:
                    writer.close()
                outcomes[what] = outcomes.get(what, 0) + 1
                fleet.record(f"client: {ident} answered {what}")

        await asyncio.gather(*(client() for _ in range(CLIENTS)))
        fleet.record(f"answers broken off: {sum(b.broken for b in backends[1:])}; seen by clients: "
                     f"{outcomes}")
        print(sum(b.broken for b in backends[1:]), outcomes)
        return not any(what.startswith("200 complete") for what in outcomes)
    finally:
        for backend in backends:
            await backend.stop()
        fleet.stop()


main(case, Path(__file__).resolve().parent)
