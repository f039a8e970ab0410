"""Network between the machines of a lab: a proxy before the inbound and the internal address of every
node, by which a machine can be cut off. Nodes name the proxies' addresses to each other by the two
settings for port forwarding."""

import asyncio
import os
import socket

from lab import Proxy


def owner_of(port, nodes):
    """Returns the node whose process holds the local TCP port, else None."""
    inodes = set()
    with open("/proc/net/tcp") as f:
        next(f)
        for line in f:
            words = line.split()
            if int(words[1].split(":")[1], 16) == port:
                inodes.add(words[9])
    for node in nodes:
        folder = f"/proc/{node.process.pid}/fd"
        try:
            names = os.listdir(folder)
        except OSError:
            continue
        for name in names:
            try:
                link = os.readlink(f"{folder}/{name}")
            except OSError:
                continue
            if link.startswith("socket:[") and link[8:-1] in inodes:
                return node
    return None


class Network:
    def __init__(self, lab):
        self.lab = lab
        self.cut = set()
        self.healed = asyncio.Event()
        self.healed.set()
        # Called with (source, target, bytes) for each datagram that passes.
        self.watch = None
        self.sockets = []

    def is_blocked(self, a, b):
        return a is not b and (a in self.cut or b in self.cut)

    def cut_off(self, *nodes):
        self.healed.clear()
        self.cut = set(nodes)

    def heal(self):
        self.cut = set()
        self.healed.set()

    async def add(self, node):
        """Puts proxies before the node, and one between the node and the store."""
        relay = await asyncio.start_server(
            lambda r, w: self.serve(node, node.listen["inbound"], r, w), node.ip, 0)
        node.relay_advertised = "%s:%d" % relay.sockets[0].getsockname()[:2]
        own = f"{node.ip}:{node.internal[0]}"
        peer = await asyncio.start_server(lambda r, w: self.serve(node, own, r, w), node.ip, 0)
        address = peer.sockets[0].getsockname()[:2]
        node.peer_advertised = "%s:%d" % address
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: Front(self, node), local_addr=address)
        self.sockets.append(transport)
        store = await asyncio.start_server(
            lambda r, w: self.serve_store(node, r, w), "127.0.0.1", 0)
        node.store_address = "%s:%d" % store.sockets[0].getsockname()[:2]

    async def serve(self, node, target, reader, writer):
        source = owner_of(writer.get_extra_info("peername")[1], self.lab.nodes)
        await self.relay(lambda: self.is_blocked(source, node), target, reader, writer)

    async def serve_store(self, node, reader, writer):
        await self.relay(lambda: node in self.cut, self.lab.store.address, reader, writer)

    async def relay(self, is_blocked, target, reader, writer):
        """Relays a connection; bytes wait while it is blocked."""
        far = None
        try:
            while is_blocked():
                await self.healed.wait()
            host, port = target.rsplit(":", 1)
            far = await asyncio.open_connection(host, int(port))

            async def copy(source, sink):
                try:
                    while data := await source.read(65536):
                        while is_blocked():
                            await self.healed.wait()
                        sink.write(data)
                        await sink.drain()
                    while is_blocked():
                        await self.healed.wait()
                except ConnectionError:
                    pass
                sink.close()

            await asyncio.gather(copy(reader, far[1]), copy(far[0], writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if far:
                far[1].close()


class Front(asyncio.DatagramProtocol):
    """Address of a node at which the others reach it by datagrams."""

    def __init__(self, network, node):
        self.network, self.node = network, node
        self.backs = {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        asyncio.ensure_future(self.forward(data, addr))

    async def forward(self, data, addr):
        source = next((n for n in self.network.lab.nodes if (n.ip, n.internal[0]) == addr), None)
        if self.network.is_blocked(source, self.node):
            return
        if self.network.watch:
            self.network.watch(source, self.node, data)
        back = self.backs.get(addr)
        if back is None:
            loop = asyncio.get_running_loop()
            back, _ = await loop.create_datagram_endpoint(
                lambda: Back(self, source, addr), local_addr=("127.0.0.1", 0))
            back = self.backs.setdefault(addr, back)
        back.sendto(data, (self.node.ip, self.node.internal[0]))


class Back(asyncio.DatagramProtocol):
    """Passes a node's answers back to the one that it answers."""

    def __init__(self, front, source, addr):
        self.front, self.source, self.addr = front, source, addr

    def datagram_received(self, data, addr):
        network = self.front.network
        if not network.is_blocked(self.source, self.front.node):
            if network.watch:
                network.watch(self.front.node, self.source, data)
            self.front.transport.sendto(data, self.addr)
