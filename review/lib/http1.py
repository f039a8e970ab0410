"""Small HTTP/1.1 server and client on asyncio, for the stand-ins of the review's scripts."""

import asyncio


class Head:
    """Start line and header fields of a message; the names of the fields are in lower case."""

    def __init__(self, start, fields):
        self.start, self.fields = start, fields

    def get(self, name, default=None):
        for key, value in self.fields:
            if key == name:
                return value
        return default


async def read_head(reader):
    """Returns the next head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields.append((name.strip().lower(), value.strip()))
    return Head(lines[0], fields)


async def read_body(reader, head, until_close=False):
    """Returns the whole body of a message; raises if the connection ends within it."""
    if (head.get("transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    length = head.get("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if until_close else b""


def encode(start, fields, body=b""):
    """Returns a message with a length."""
    lines = [start] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(host, port, handle):
    """Listens and calls `handle(method, target, head, body, writer)` for each request. It returns the
    bytes to send, or None to close the connection."""

    async def connection(reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head.start.split(" ", 2)
                body = await read_body(reader, head)
                answer = await handle(method, target, head, body, writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 22, backlog=512)


async def exchange(address, data, timeout):
    """Sends `data` on a new connection; returns the status, the head and the body of the answer."""

    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(data)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None, None, b""
            body = await read_body(reader, head, until_close=True)
            return int(head.start.split(" ")[1]), head, body
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except asyncio.TimeoutError:
        return None, None, b"timeout"
    except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
        return None, None, repr(error).encode()
