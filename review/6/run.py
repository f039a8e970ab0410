"""An answer without end: requests of other routes at the same node stay unanswered past their timeout."""

import multiprocessing
import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib2"))
from mesh import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Objectives and deadlines of two kinds of requests as the sheets of the pages have them: `invoice-history`
# (2 s and 8 s) and `job-intake` (0.5 s and 3 s; its route's timeout in the site file is 1.5 s). An unsafe
# request that isn't read is not given up before its deadline, as an idempotent one would be.
HISTORY = {"timeout_s": 4.0, "target_s": 2.0, "deadline_ms": 8000}
INTAKE = {"timeout_s": 1.5, "target_s": 0.5, "deadline_ms": 3000}
# The rule: no final answer half a second after the route's `timeout_s`, for eight requests and over a
# quarter of those that last longer than it.
GRACE_S, MIN_LATE, MAX_SHARE = 0.5, 8, 0.25
# Less than the 1,000 Mbit/s of a machine's link.
RATE = 100e6
PLAY_S, QUIET_S, INTAKE_CLIENTS, HISTORY_CLIENTS = 24.0, 2.0, 6, 1


def read_history(port, until, results):
    """Sends one request after the other and reads each answer until it ends, or the deadline."""
    buf = bytearray(1 << 22)
    deadline_s = HISTORY["deadline_ms"] / 1000
    while time.monotonic() < until:
        sent, got, end = time.monotonic(), 0, "deadline"
        rid = new_id()
        sock = socket.create_connection((HOST, port), timeout=1.0)
        sock.sendall(encode("GET", "/history/1", client_headers("shop.example",
                                                                HISTORY["deadline_ms"], rid)))
        try:
            status, fields, rest = read_head(sock)
            got = len(rest)
            length = int(fields["content-length"]) if "content-length" in fields else None
            end = "whole %d" % status if length is not None and got >= length else end
            while end == "deadline" and time.monotonic() < sent + deadline_s:
                sock.settimeout(max(0.01, sent + deadline_s - time.monotonic()))
                # The client counts the bytes and keeps none.
                read = sock.recv_into(buf, len(buf), socket.MSG_TRUNC)
                got += read
                end = "closed" if read == 0 else end
                if length is not None and got >= length:
                    end = "whole %d" % status
        except socket.timeout:
            pass
        except OSError as error:
            end = "closed (%s)" % type(error).__name__
        sock.close()
        results.put(("history", rid, sent, time.monotonic() - sent, end, got))
        time.sleep(0.3)


def send_intake(port, until, results):
    while time.monotonic() < until:
        sent, rid = time.monotonic(), new_id()
        try:
            status, _, body = request(port, "POST", "/intake/1", client_headers(
                "shop.example", INTAKE["deadline_ms"], rid), timeout=INTAKE["deadline_ms"] / 1000)
            end = "whole %d" % status
        except OSError as error:
            end = "none (%s)" % type(error).__name__
        results.put(("intake", rid, sent, time.monotonic() - sent, end, 0))
        time.sleep(max(0.0, 0.1 - (time.monotonic() - sent)))


def main(record):
    routes = [route("r-history", "/history/", "safe", "offert", HISTORY["timeout_s"],
                    HISTORY["target_s"]),
              route("r-intake", "/intake/", "unsafe", "intake", INTAKE["timeout_s"],
                    INTAKE["target_s"])]
    trouble = {"trouble": ["endless", {"suffix": "/1", "bytes_per_s": RATE}]} if TROUBLE else None
    machines = [("offert-a", "offert", "hr-north-a", trouble),
                ("offert-b", "offert", "hr-north-b", trouble),
                ("intake-a", "intake", "hr-north-a", None),
                ("intake-b", "intake", "hr-north-b", None)]
    with Mesh(machines, routes, ["offert", "intake"], record) as mesh:
        mesh.start()
        node = mesh.machines["intake-a"]
        # An answer without end passes through its backend's node and the client's.
        nodes = [mesh.machines[name] for name in ("intake-a", "offert-a", "offert-b")]
        time.sleep(3.0)
        begin = time.monotonic()
        results = multiprocessing.Queue()
        clients = [multiprocessing.Process(target=send_intake,
                                           args=(machine.outbound, begin + PLAY_S, results))
                   for machine in nodes for _ in range(INTAKE_CLIENTS)]
        for client in clients:
            client.start()
        time.sleep(QUIET_S)
        mesh.note("requests for histories begin; the backends of offert %s"
                  % ("answer them without end" if TROUBLE else "answer them whole"))
        readers = [multiprocessing.Process(target=read_history,
                                           args=(node.outbound, begin + PLAY_S - 4, results))
                   for _ in range(HISTORY_CLIENTS)]
        for reader in readers:
            reader.start()
        rows = []
        while any(p.is_alive() for p in clients + readers) or not results.empty():
            try:
                rows.append(results.get(timeout=0.2))
            except Exception:
                pass
        alive = all(machine.node.poll() is None for machine in nodes)
        for kind, rid, sent, took, end, got in sorted(rows, key=lambda row: row[2]):
            record.write("%8.3f %-7s %s took %.3f s, %s, %d MB\n"
                         % (sent - mesh.t0, kind, rid, took, end, got >> 20))
        limits = {"history": HISTORY["timeout_s"], "intake": INTAKE["timeout_s"]}
        over = [r for r in rows if r[3] > limits[r[0]]]
        late = [r for r in over if r[3] > limits[r[0]] + GRACE_S]
        broken = len(late) >= MIN_LATE and len(late) > MAX_SHARE * len(over)
        mesh.note("%d requests at three nodes, %d lasted longer than their route's timeout, "
                  "%d had no final answer 0.5 s after it; longest intake request %.3f s; nodes alive: %s"
                  % (len(rows), len(over), len(late),
                     max((r[3] for r in rows if r[0] == "intake"), default=0.0), alive))
        mesh.note("the rule is %s" % ("broken" if broken else "kept"))
        return 1 if broken else 0


if __name__ == "__main__":
    with open(os.path.join(HERE, "record.txt"), "w") as record:
        try:
            code = main(record)
        except Exception as error:
            record.write("can't run: %r\n" % error)
            code = 2
    sys.exit(code)
