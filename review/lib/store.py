"""Stand-in for the platform's metadata store: rows, their feed, and objects, as PROTOCOL.md tells.

Each node reaches the store through an address of its own, so that a script can cut one node off, or
lose or delay its calls. The operator writes directly."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from http1 import encode, serve


class Way:
    """Way of one node to the store."""

    def __init__(self):
        self.is_cut = False          # no answer, and nothing is done
        self.refuse = None           # status of every answer, or None
        self.delay = 0.0             # seconds before an answer is sent
        self.lose_writes = False     # writes are done, and not answered
        self.lost = 0                # calls received up to this number get no answer any more
        self.received = 0

    def lose_answers(self):
        """Loses the answers of all calls that are under way; their connections deliver nothing further."""
        self.lost = self.received


class Store:
    def __init__(self, history_s=20.0):
        self.rows = {}               # (table, part, key) -> (value, ver)
        self.ver = 0
        self.log = []                # (ver, place, value or None)
        self.objects = {}
        self.changed = asyncio.Condition()
        self.started = time.monotonic()
        self.era = None
        self.calls = 0

    async def listen(self, host, port, way):
        async def handle(method, target, head, body, writer):
            self.calls += 1
            way.received += 1
            number = way.received
            while way.is_cut:
                await asyncio.sleep(0.05)
                if writer.is_closing() or writer.transport.is_closing():
                    return None
            if way.refuse is not None:
                return encode(f"HTTP/1.1 {way.refuse} Refused", [])
            status, answer = await self.call(method, target, head, body)
            if way.lose_writes and method != "GET":
                return None
            if way.delay:
                await asyncio.sleep(way.delay)
            while way.is_cut or number <= way.lost:
                # A connection on which a response is lost delivers nothing further.
                await asyncio.sleep(0.05)
                if writer.transport.is_closing():
                    return None
            data = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
            fields = [("Content-Type", "application/json")]
            if self.era is not None:
                fields.append(("Store-Era", str(self.era)))
            return encode(f"HTTP/1.1 {status} X", fields, data)

        return await serve(host, port, handle)

    def stamp(self, **fields):
        return {"ver": self.ver, "now_s": time.monotonic() - self.started, **fields}

    def row(self, place, value, ver):
        table, part, key = place
        return {"table": table, "part": part, "key": key, "ver": ver,
                "value": base64.b64encode(value).decode()}

    async def put(self, key, value):
        """Writes a row as the operator does; `key` is TABLE/KEY. Returns the time of the answer."""
        table, rest = key.split("/", 1)
        await self.apply([((table, "", rest), json.dumps(value).encode())], [])
        return time.monotonic()

    async def apply(self, puts, removes):
        self.ver += 1
        for place, value in puts:
            self.rows[place] = (value, self.ver)
            self.log.append((self.ver, place, value))
        for place in removes:
            if self.rows.pop(place, None) is not None:
                self.log.append((self.ver, place, None))
        async with self.changed:
            self.changed.notify_all()

    def get(self, key):
        table, rest = key.split("/", 1)
        found = self.rows.get((table, "", rest))
        return json.loads(found[0]) if found else None

    async def call(self, method, target, head, body):
        url = urlsplit(target)
        args = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        path = url.path
        if path == "/v1/rows-get":
            places = sorted((p for p in self.rows if p[0] == args["table"]
                             and p[1] == args.get("part", "")
                             and p[2] >= args.get("from_key", "")
                             and ("to" not in args or p[2] < args["to"])),
                            key=lambda p: p[2].encode())
            limit = min(int(args.get("limit", 500)), 500)
            rows = [self.row(p, *self.rows[p]) for p in places[:limit]]
            await asyncio.sleep(0.004)
            return 200, self.stamp(rows=rows, has_more=len(places) > limit)
        if path == "/v1/rows-feed":
            after, wait = int(args["after"]), int(args.get("wait_ms", 0)) / 1000
            if after > self.ver:
                return 410, {}
            end = time.monotonic() + wait

            def news():
                return [entry for entry in self.log
                        if entry[0] > after and entry[1][0] == args["table"]]

            while not news() and time.monotonic() < end:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
            rows = []
            for ver, place, value in news():
                if value is None:
                    rows.append({"table": place[0], "part": place[1], "key": place[2],
                                 "ver": ver, "tombstone": True})
                else:
                    rows.append(self.row(place, value, ver))
            return 200, self.stamp(rows=rows)
        if path == "/v1/rows-tx":
            tx = json.loads(body)
            place = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
            await asyncio.sleep(0.005)
            current = [(place(e), self.rows.get(place(e)), e["ver"]) for e in tx["expect"]]
            if any((found[1] if found else 0) != ver for _, found, ver in current):
                rows = [self.row(p, *found) for p, found, _ in current if found]
                return 412, self.stamp(rows=rows)
            if any(place(e)[0] in ("op", "servers") for e in tx["put"] + tx["remove"]):
                return 403, {}
            puts = [(place(e), base64.b64decode(e["value"])) for e in tx["put"]]
            await self.apply(puts, [place(e) for e in tx["remove"]])
            return 200, self.stamp()
        if path == "/v1/rows-parts":
            return 200, self.stamp(parts=sorted({p[1] for p in self.rows if p[0] == args["table"]}))
        if path.startswith("/v1/blob-put/"):
            name = unquote(path.removeprefix("/v1/blob-put/"))
            if head.get("if-none-match") == "*" and name in self.objects:
                return 412, {}
            self.objects[name] = body
            return 200, {}
        if path.startswith("/v1/blob-get/"):
            found = self.objects.get(unquote(path.removeprefix("/v1/blob-get/")))
            return (404, {}) if found is None else (200, found)
        if path.startswith("/v1/blob-drop/"):
            self.objects.pop(unquote(path.removeprefix("/v1/blob-drop/")), None)
            return 200, {}
        if path == "/v1/blob-list":
            prefix = args.get("path_prefix", "")
            names = sorted(n for n in self.objects if n.startswith(prefix))
            return 200, {"names": names[:1000], "has_more": len(names) > 1000}
        return 404, {}
