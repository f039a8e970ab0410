"""A backend that has left is in use again after its node was restarted."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from backend import Backend
from fleet import Fleet, call, config, main

HOST, ROUTE = "shop.example", "/intake/"
DRAIN_S = 2.0          # bound of the pages
CONTACT_S = 3.0        # a machine is in touch this long after its start
LATE_S = 3.0           # delay of the heartbeat on its way
SERVES_S = 10.0        # how long the backend goes on after its leave


async def case(folder, trouble):
    fleet = Fleet(folder, [("a-1", "counter", "a"), ("b-1", "intake", "b"), ("c-1", "intake", "c")])
    a, b, c = fleet.nodes.values()
    backends = {n.name: Backend(fleet.record, "i-" + n.name, n.service, n.address("app"),
                                n.address("control"), n.zone) for n in (a, b, c)}
    leaver = backends["b-1"]
    try:
        await fleet.start(config(3, [(HOST, ROUTE, "safe", "intake", 1.5, 0.5)],
                                 ["counter", "intake"]))
        for backend in backends.values():
            await backend.start()
        await fleet.wait_ready()
        await asyncio.sleep(2)
        sent = {}

        async def clients():
            while True:
                asyncio.create_task(one())
                await asyncio.sleep(0.05)

        async def one():
            at = time.monotonic()
            ident, status, _, _ = await call(a, HOST, ROUTE + "x")
            sent[ident] = at
            fleet.record(f"client: {ident} answered {status}")

        load = asyncio.create_task(clients())
        await asyncio.sleep(3)
        # The last heartbeat before the leave lies on its way for some seconds.
        leaver.beats.cancel()
        late = leaver.beat()
        fleet.record("backend i-b-1: heartbeat sent, on its way")
        beat_sent = time.monotonic()
        await asyncio.sleep(0.3)
        leave = leaver.message("deregister", {"born": leaver.born})
        if not await leaver.send(leave, "deregister"):
            raise RuntimeError("the leave was not acknowledged")
        left = time.monotonic()
        await asyncio.sleep(0.5)
        started = 0.0
        if trouble:
            b.kill()
            await asyncio.sleep(0.3)
            b.start()
            started = time.monotonic()
        await asyncio.sleep(beat_sent + LATE_S - time.monotonic())
        asyncio.create_task(leaver.send(late, f"heartbeat that was {LATE_S} s on its way"))
        await asyncio.sleep(left + SERVES_S - time.monotonic())
        load.cancel()
        bad = [run for run in leaver.runs
               if run[0] > left + DRAIN_S and run[0] > started + CONTACT_S]
        fleet.record(f"requests that reached the backend later than {DRAIN_S} s after the "
                     f"acknowledgement of its leave, with all machines in touch: {len(bad)}")
        print("late requests at the backend that has left:", len(bad))
        return not bad
    finally:
        for backend in backends.values():
            await backend.stop()
        fleet.stop()


main(case, Path(__file__).resolve().parent)
