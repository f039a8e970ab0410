"""A change of the configuration is missed while the answer to a watch is lost."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from backend import Backend
from fleet import Fleet, call, config, main

HOST, ROUTE = "shop.example", "/ticket/"
APPLY_S, CONTACT_S = 2.0, 3.0      # bounds of the pages
DOWN_S = 0.6


async def case(folder, trouble):
    places = [("a-1", "counter", "a"), ("a-2", "intake", "a"), ("b-1", "counter", "b"),
              ("b-2", "intake", "b"), ("c-1", "counter", "c"), ("c-2", "intake", "c")]
    fleet = Fleet(folder, places)
    nodes = list(fleet.nodes.values())
    backends = [Backend(fleet.record, "i-" + n.name, n.service, n.address("app"),
                        n.address("control"), n.zone) for n in nodes]
    names = ["counter", "intake"]

    def version(number, service, timeout_s=1.5):
        return config(number, [(HOST, ROUTE, "safe", service, timeout_s, 0.5)], names)

    try:
        await fleet.start(version(3, "counter"))
        for backend in backends:
            await backend.start()
        await fleet.wait_ready()
        await asyncio.sleep(6)
        sent = {}

        async def one(node):
            at = time.monotonic()
            ident, status, _, _ = await call(node, HOST, ROUTE + "x")
            sent[ident] = at
            fleet.record(f"client at {node.name}: {ident} answered {status}")

        async def clients():
            for turn in range(1 << 30):
                asyncio.create_task(one(nodes[turn % len(nodes)]))
                await asyncio.sleep(0.02)

        load = asyncio.create_task(clients())
        await asyncio.sleep(2)
        await fleet.store.put("op/config", version(8, "counter", 1.6))
        fleet.record("operator: version 8 acknowledged")
        await asyncio.sleep(0.15)
        ended = 0.0
        if trouble:
            for node in nodes:
                node.way.is_cut = True
            fleet.record("store: gives no answers")
            await asyncio.sleep(DOWN_S)
            for node in nodes:
                node.way.is_cut = False
                node.way.lose_answers()
            ended = time.monotonic()
            fleet.record("store: answers again; the answers of the calls until now are lost")
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(0.1)
        acked = await fleet.store.put("op/config", version(9, "intake"))
        fleet.record("operator: version 9 acknowledged")
        await asyncio.sleep(8)
        load.cancel()
        await asyncio.sleep(1)
        begin = max(acked + APPLY_S, ended + CONTACT_S)
        old = [run for b in backends if b.service == "counter" for run in b.runs
               if sent.get(run[2], 0) > begin]
        last = max((run[0] for b in backends if b.service == "counter" for run in b.runs), default=0)
        fleet.record(f"requests sent later than {APPLY_S} s after the acknowledgement and {CONTACT_S} s "
                     f"after the disruption of the store, run by the old service: {len(old)}; the last "
                     f"run there {last - acked:.2f} s after the acknowledgement")
        print("run by the old service", len(old), f"until {last - acked:.2f} s")
        return not old
    finally:
        for backend in backends:
            await backend.stop()
        fleet.stop()


main(case, Path(__file__).resolve().parent)
