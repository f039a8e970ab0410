"""A configuration with an ordinary tenant's name is rejected by every node."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from backend import Backend
from fleet import Fleet, call, config, main

HOST, ROUTE = "shop.example", "/hold/"
APPLY_S = 2.5          # bound of the pages
KEY = "f75rjvz48wuakn2ftima"


async def case(folder, trouble):
    bounds = {"config_apply_s": APPLY_S, "revoke_strict": "true", "revoke_s": 5,
              "budget_extra_tries": 166, "drain_s": 2.5}
    fleet = Fleet(folder, [("a-1", "stock", "a"), ("b-1", "orders", "b"), ("c-1", "stock", "c")],
                  bounds)
    nodes = list(fleet.nodes.values())
    backends = [Backend(fleet.record, "i-" + n.name, n.service, n.address("app"),
                        n.address("control"), n.zone) for n in nodes]
    names = ["stock", "orders"]
    known = {"name": "hule930", "api_keys": [KEY], "priority": 1, "rate_per_s": 357,
             "burst_size": 357}
    new = {"name": "Farmacia del Centro" if trouble else "farmacia-del-centro",
           "api_keys": ["j3nr26tta828m82thhkm"], "priority": 1, "rate_per_s": 20, "burst_size": 20}
    try:
        await fleet.start(config(3, [(HOST, ROUTE, "safe", "stock", 1.5, 0.5)], names,
                                 tenants=[known]))
        for backend in backends:
            await backend.start()
        await fleet.wait_ready()
        await asyncio.sleep(2)
        answers = []

        async def one(node):
            at = time.monotonic()
            ident, status, _, _ = await call(node, HOST, ROUTE + "x",
                                             fields=[("Authorization", f"Token {KEY}")])
            answers.append((at, ident, status))
            fleet.record(f"client at {node.name}: {ident} answered {status}")

        async def clients():
            for turn in range(1 << 30):
                asyncio.create_task(one(nodes[turn % 3]))
                await asyncio.sleep(0.03)

        load = asyncio.create_task(clients())
        await asyncio.sleep(2)
        # The route moves to another service, and a tenant is added.
        acked = await fleet.store.put("op/config", config(
            8, [(HOST, ROUTE, "safe", "orders", 1.5, 0.5)], names, tenants=[known, new]))
        fleet.record("operator: version 8 acknowledged")
        await asyncio.sleep(12)
        load.cancel()
        await asyncio.sleep(1)
        late = {ident: status for at, ident, status in answers if at > acked + APPLY_S}
        old = [run[2] for b in backends if b.service == "stock" for run in b.runs if run[2] in late]
        refused = sum(1 for status in late.values() if status != 200)
        fleet.record(f"requests sent later than {APPLY_S} s after the acknowledgement: {len(late)}, "
                     f"run by the old service: {len(old)}, not served: {refused}")
        print("late", len(late), "old", len(old), "refused", refused)
        return not old
    finally:
        for backend in backends:
            await backend.stop()
        fleet.stop()


main(case, Path(__file__).resolve().parent)
