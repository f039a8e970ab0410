"""A leave that was acknowledged while the store was down is forgotten when all nodes are killed."""

import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib2"))
from mesh import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Leaves out single disruptions, to tell what each adds.
STORE_DOWN = TROUBLE and os.environ.get("STORE_DOWN", "1") != "0"
KILL = TROUBLE and os.environ.get("KILL", "1") != "0"
# Times in seconds from the begin of the outage.
DOWN_S = 4.5            # `platform_down` of the site's troubles
BEAT_AT, BEAT_LATE_S = 1.0, 3.4
LEAVE_AT = 1.5
KILL_AT, START_AT = 3.0, 4.0
END_AT = 12.0           # the backend goes on serving "at times many seconds"
DRAIN_S, CONTACT_S = BOUNDS["drain_s"], BOUNDS["contact_s"]


class Leaving:
    """Heartbeats and the leave of the backend beside `machine`, with the times that the test sets."""

    def __init__(self, machine):
        self.machine, self.sequence, self.stopped = machine, 0, threading.Event()
        self.born = int(time.time() * 1000)

    def heartbeat(self):
        self.sequence += 1
        return {"service": self.machine.service, "address": "%s:%d" % (HOST, self.machine.app),
                "zone": self.machine.zone, "version": "v1", "slots": 12, "state": "ready",
                "cold_remaining_s": 0, "sequence": self.sequence, "born": self.born}

    def call(self, name, body):
        path = "/v1/rpc?call=%s&of=%s" % (name, self.machine.options["id"])
        return request(self.machine.control, "POST", path, {"Content-Type": "application/json"},
                       json.dumps(body).encode(), timeout=1.0)[0]

    def beat(self):
        while not self.stopped.is_set():
            try:
                self.call("instances.heartbeat", self.heartbeat())
                self.stopped.wait(1.5)
            except OSError:
                self.stopped.wait(0.2)


def lookups(port, until, sent):
    while time.monotonic() < until:
        rid, at = new_id(), time.monotonic()
        try:
            status = request(port, "GET", "/look/1", client_headers("shop.example", 2500, rid),
                             timeout=2.5)[0]
        except OSError as error:
            status = type(error).__name__
        sent.append((rid, at, status))
        time.sleep(0.05)


def main(record):
    routes = [route("r-look", "/look/", "safe", "counter", 1.2, 0.4, 2)]
    machines = [("counter-a", "counter", "hr-north-a", {"silent": True}),
                ("counter-b", "counter", "hr-north-b", None),
                ("bench-a", "bench", "hr-north-a", None),
                ("bench-b", "bench", "hr-north-b", None)]
    with Mesh(machines, routes, ["counter", "bench"], record) as mesh:
        machine = mesh.machines["counter-a"]
        leaving = Leaving(machine)
        beats = threading.Thread(target=leaving.beat, daemon=True)
        beats.start()
        mesh.start()
        time.sleep(4.0)
        t0 = time.monotonic()
        at = lambda s: time.sleep(max(0.0, t0 + s - time.monotonic()))
        down = lambda *_: "reset" if STORE_DOWN and time.monotonic() < t0 + DOWN_S else None
        mesh.store.trouble = down
        mesh.note("the store %s" % ("resets all calls" if STORE_DOWN else "stays up"))
        leaving.stopped.set()
        beats.join()
        at(BEAT_AT)
        late = leaving.heartbeat()
        mesh.note("the backend of counter-a sends heartbeat %d, which is late" % late["sequence"])
        at(LEAVE_AT)
        status = leaving.call("instances.deregister", {"born": leaving.born})
        acknowledged = time.monotonic()
        mesh.note("the backend of counter-a says that it leaves: %d" % status)
        if status != 200:
            mesh.note("no acknowledgement, so that nothing is promised; the rule is kept")
            return 0
        at(KILL_AT)
        if KILL:
            for m in mesh.machines.values():
                m.node.kill()
            for m in mesh.machines.values():
                m.node.wait()
            mesh.note("all nodes are killed")
            at(START_AT)
            for m in mesh.machines.values():
                m.start_node()
            mesh.note("all nodes start again")
        at(BEAT_AT + BEAT_LATE_S)
        try:
            status = leaving.call("instances.heartbeat", late)
        except OSError as error:
            status = type(error).__name__
        mesh.note("heartbeat %d arrives %.1f s late: %s" % (late["sequence"], BEAT_LATE_S, status))
        at(max(DOWN_S, START_AT) + CONTACT_S)
        mesh.note("from here on the nodes are in touch: %.1f s after the last disruption" % CONTACT_S)
        sent, threads = [], []
        for m in mesh.machines.values():
            args = (m.outbound, t0 + END_AT, sent)
            threads.append(threading.Thread(target=lookups, args=args))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        arrived = {l["id"]: l["t"] for l in machine.backend_log() if l["event"] == "arrived"}
        late_ones = [r for r in sent if arrived.get(r[0], 0) > acknowledged + DRAIN_S]
        for rid, when, status in sorted(sent, key=lambda row: row[1]):
            reached = " at counter-a %.1f s after the acknowledgement" % (
                arrived[rid] - acknowledged) if rid in arrived else ""
            record.write("%8.3f look %s %s%s\n" % (when - mesh.t0, rid, status, reached))
        mesh.note("%d lookups, %d answered 200; %d reached the backend of counter-a later than "
                  "%.0f s after the acknowledgement of its leave"
                  % (len(sent), sum(r[2] == 200 for r in sent), len(late_ones), DRAIN_S))
        mesh.note("the rule is %s" % ("broken" if late_ones else "kept"))
        return 1 if late_ones else 0


if __name__ == "__main__":
    with open(os.path.join(HERE, "record.txt"), "w") as record:
        try:
            code = main(record)
        except Exception as error:
            record.write("can't run: %r\n" % error)
            code = 2
    sys.exit(code)
