"""A tenant sends many times its usual while the machine that keeps its quota is cut off."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib3"))
from lab import CannotRun, Lab, TROUBLE, main, now, route  # noqa: E402
from net import Network  # noqa: E402

SERVICES = ["inventario", "entregas"]
# One machine of four is cut off.
MACHINES = [("m-a-1", "zone-a", "inventario"), ("m-b-1", "zone-b", "entregas"),
            ("m-c-1", "zone-c", "inventario"), ("m-a-2", "zone-a", "entregas")]
PATHS = {"inventario": "/stock/7", "entregas": "/order/7"}
TENANT, KEY = "hule930", "f75rjvz48wuakn2ftima"
RATE, BURST = 60, 60
# The tenant's usual is its rate / 1.6, and it sends 7.5 times that.
HOT_PER_S = RATE / 1.6 * 7.5
HOT_S = 6.5
CUT_S = 5.5
# Time from the first of these requests to the cut.
BEFORE_S = 1.6
WINDOW_S, OVERSHOOT, SLACK = 5, 0.1, 20


async def find_home(lab, network, fields):
    """Returns the node that the others ask for the tenant's credit."""
    asked = []

    def watch(source, target, data):
        if TENANT.encode() in data and source is not None:
            asked.append((source.name, target))

    network.watch = watch
    for node in lab.nodes:
        await asyncio.sleep(0.5)
        await lab.call(node, "GET", PATHS[node.service], fields=fields)
    network.watch = None
    targets = [target for _, target in asked]
    if not targets:
        raise CannotRun("no node asked for credit")
    return max(set(targets), key=lambda node: len({s for s, t in asked if t is node}))


async def case(folder):
    lab = Lab(folder, revoke_strict=True, revoke_s=5, config_apply_s=2.5, budget_extra_tries=166)
    network = Network(lab)
    fields = {"Authorization": f"Token {KEY}"}
    try:
        tenants = [{"name": TENANT, "api_keys": [KEY], "priority": 1, "rate_per_s": RATE,
                    "burst_size": BURST}]
        await lab.configure([route("stock", "/stock/", "inventario"),
                             route("order", "/order/", "entregas")], SERVICES, tenants)
        await lab.start(MACHINES, network=network)
        await lab.add_backends(slots=12, work=0.02)
        await lab.wait_ready()
        await asyncio.sleep(5)
        home = await find_home(lab, network, fields)
        lab.record.say(f"{home.name} keeps the quota")
        await asyncio.sleep(2)
        begin = now()
        sent = {}
        calls = set()

        async def client(node, number):
            # Even load over all machines, whatever the answers.
            pause = len(lab.nodes) / HOT_PER_S
            await asyncio.sleep(pause * number / len(lab.nodes))
            at = now()
            while now() < begin + HOT_S:
                task = asyncio.create_task(one(node))
                calls.add(task)
                at += pause
                await asyncio.sleep(max(0, at - now()))

        async def one(node):
            result = await lab.call(node, "GET", PATHS[node.service], fields=fields, deadline_ms=1000)
            sent[result["id"]] = result["sent"]

        async def cut():
            await asyncio.sleep(BEFORE_S)
            if TROUBLE:
                network.cut_off(home)
                lab.record.say(f"{home.name} is cut off")
                await asyncio.sleep(CUT_S)
                network.heal()
                lab.record.say(f"{home.name} is back")

        await asyncio.gather(cut(), *(client(node, i) for i, node in enumerate(lab.nodes)))
        await asyncio.gather(*calls)
        runs = sorted((sent[run["id"]], run["at"]) for backend in lab.backends for run in backend.runs
                      if run["id"] in sent and run["fields"].get("tenant") == TENANT)
        limit = (RATE * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
        most, start = 0, 0
        for first, _ in runs:
            count = sum(1 for s, at in runs if s >= first and at <= first + WINDOW_S)
            if count > most:
                most, start = count, first
        by_node = {}
        for backend in lab.backends:
            by_node[backend.node.name] = sum(
                1 for run in backend.runs
                if start <= sent.get(run["id"], -1) and run["at"] <= start + WINDOW_S)
        lab.record.say(f"{len(sent)} requests were sent, {len(runs)} ran; most in {WINDOW_S} s: {most}, "
                       f"from {start - begin:.2f} s on; allowed are {limit:.0f}; by machine {by_node}")
        return most > limit
    finally:
        await lab.end()


main(case)
