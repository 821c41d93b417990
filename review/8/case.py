"""All nodes lose power for two seconds and start again while the leafs of a service are cold."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins_2 import Leaf, has_trouble, run_case  # noqa: E402

NODES = 9
LEAFS = 3
COLD_PER_S = 4.0
COLD_S = 6.0
COLD_KNOWN_S = 2.0  # after which all nodes that run know that a leaf is cold
POWER_LOSS_S = 2.0
START_SPREAD_S = 0.3  # all machines start within this time
CLIENTS = 100
REQUEST_GAP_S = 0.45  # of one client
ROUNDS = 3


async def case(site):
    leafs = [await site.add_leaf(Leaf(site, f"i-{number}", "desk", work_s=0.005))
             for number in range(LEAFS)]
    site.configure(1, [site.route("sweep", "safe", service="desk")],
                   [site.service("desk", cold_per_s=COLD_PER_S, cold_start_s=COLD_S)])
    await site.start_nodes(NODES)
    await asyncio.sleep(1)
    is_over = False
    sent = {}

    async def client(number):
        """Asks again and again; a node that can't be reached is left out for a while."""
        await asyncio.sleep(random.random() * REQUEST_GAP_S)
        count = 0
        while not is_over:
            count += 1
            nodes = random.sample(site.nodes, 3)
            for node in nodes:
                attempt = f"q-{number}-{count}-{node.name}"
                sent[attempt] = time.monotonic()
                answer = await site.ask(node, "GET", "/sweep/1", attempt, deadline_ms=800)
                if answer.status:
                    break
            await asyncio.sleep(REQUEST_GAP_S)

    def make_cold():
        for leaf in leafs:
            leaf.cold_until = time.monotonic() + COLD_S
            site.store.put("servers/" + leaf.name, leaf.entry())

    async def start_later(node):
        await asyncio.sleep(random.random() * START_SPREAD_S)
        await node.start()

    cold_times = []
    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    for _ in range(ROUNDS):
        await asyncio.sleep(2)
        if has_trouble():
            for node in site.nodes:
                node.send_signal(9)
        await asyncio.sleep(POWER_LOSS_S - COLD_KNOWN_S)
        make_cold()
        await asyncio.sleep(COLD_KNOWN_S)
        cold_times.append((time.monotonic(), leafs[0].cold_until))
        if has_trouble():
            await asyncio.gather(*(start_later(node) for node in site.nodes))
        await asyncio.sleep(COLD_S)
    is_over = True
    await asyncio.gather(*clients)
    bound = COLD_PER_S * site.bounds["cold_burst_factor"] + site.bounds["cold_slack"]
    broken = []
    for leaf in leafs:
        for since, until in cold_times:
            # Counted are requests that were sent and arrived inside the second.
            times = [(sent[attempt], at) for at, attempt in leaf.arrivals if since <= at <= until]
            most = max((sum(1 for send, at in times if start <= send and at < start + 1)
                        for start, _ in times), default=0)
            site.record.write(f"leaf {leaf.name}: {most} requests in one second while cold")
            if most > bound:
                broken.append(f"FAILBACK: cold leaf {leaf.name} got {most} requests in one "
                              f"second, more than {bound:g}")
    return broken


run_case(FOLDER, case)
