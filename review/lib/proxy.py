"""Proxy before the relay and peer listeners of the nodes, which can cut single nodes off from all others.

A node is recognised by the process that holds the other end of a connection, since all of them have
loopback addresses; only processes that the script started are looked at."""

import asyncio
import os
import re


def inode_of(port):
    """Returns the inode of the TCP socket with this local port that is connected."""
    with open("/proc/net/tcp") as table:
        for line in table.readlines()[1:]:
            parts = line.split()
            if int(parts[1].split(":")[1], 16) == port and parts[3] != "0A":
                yield parts[9]


def holds(pid, inodes):
    try:
        for fd in os.listdir(f"/proc/{pid}/fd"):
            match = re.fullmatch(r"socket:\[(\d+)\]", os.readlink(f"/proc/{pid}/fd/{fd}"))
            if match and match[1] in inodes:
                return True
    except OSError:
        pass
    return False


class Proxy:
    def __init__(self, fleet):
        self.fleet, self.cut, self.datagrams = fleet, set(), {}
        self.streams = []            # (source node, target node, writers)

    def is_cut(self, source, target):
        return source is not target and (source in self.cut or target in self.cut)

    def sender(self, port):
        inodes = set(inode_of(port))
        for node in self.fleet.nodes.values():
            if node.process and holds(node.process.pid, inodes):
                return node
        return None

    async def listen(self, target, front, back, datagrams):
        async def connection(reader, writer):
            source = self.sender(writer.get_extra_info("peername")[1])
            if self.is_cut(source, target):
                return writer.transport.abort()
            try:
                far_reader, far_writer = await asyncio.open_connection(*back)
            except OSError:
                return writer.transport.abort()
            entry = (source, target, (writer, far_writer))
            self.streams.append(entry)

            async def pump(read, write):
                try:
                    while data := await read.read(1 << 16):
                        write.write(data)
                        await write.drain()
                except (ConnectionError, OSError):
                    pass
                write.close()

            await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
            self.streams.remove(entry)

        await asyncio.start_server(connection, *front)
        if datagrams:
            loop = asyncio.get_running_loop()
            await loop.create_datagram_endpoint(lambda: Front(self, target, back), local_addr=front)

    def cut_off(self, node):
        """Cuts `node` off from all others; its open connections are reset."""
        self.cut.add(node)
        for source, target, writers in list(self.streams):
            if self.is_cut(source, target):
                for writer in writers:
                    writer.transport.abort()
        self.fleet.record(f"node {node.name}: cut off from all other nodes")

    def heal(self, node):
        self.cut.discard(node)
        self.fleet.record(f"node {node.name}: in touch with the others again")


class Front(asyncio.DatagramProtocol):
    """Takes the datagrams to one node; answers go back the same way."""

    def __init__(self, proxy, target, back):
        self.proxy, self.target, self.back, self.ways = proxy, target, back, {}
        self.by_ip = {node.ip: node for node in proxy.fleet.nodes.values()}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, source):
        node = self.by_ip.get(source[0])
        key = (node, self.target)
        self.proxy.datagrams[key] = self.proxy.datagrams.get(key, 0) + 1
        if not self.proxy.is_cut(node, self.target):
            asyncio.create_task(self.send(data, source, node))

    async def send(self, data, source, node):
        way = self.ways.get(source)
        if way is None:
            future = self.ways[source] = asyncio.get_running_loop().create_future()
            transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: Back(self, source, node), remote_addr=self.back)
            future.set_result(transport)
            way = future
        (await way).sendto(data)


class Back(asyncio.DatagramProtocol):
    def __init__(self, front, source, node):
        self.front, self.source, self.node = front, source, node

    def datagram_received(self, data, _):
        if not self.front.proxy.is_cut(self.node, self.front.target):
            self.front.transport.sendto(data, self.source)

    def error_received(self, _):
        pass
