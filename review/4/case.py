"""One node loses the store for a second, again and again, while a leaf's entry is removed."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from stand_ins import TROUBLE, Client, Leaf, beat, configuration, main, route

NODES, LEAFS, CLIENTS = 3, 4, 12
ZONES = ["kv-a", "kv-b", "kv-c"]
DRAIN_S = 3
CUT_S, PERIOD_S, CUTS = 0.65, 1.65, 9
REMOVED_AFTER_CUTS = 3


async def case(site):
    await site.start_store(NODES)
    beats = []
    for number in range(LEAFS):
        leaf = await site.add_leaf(Leaf, f"i-{number}", "registry", ZONES[(number + 1) % 3], queue=24)
        beats.append(asyncio.create_task(beat(site.store, leaf)))
    await site.store.put("op/config", configuration(7, [route("laps", "/laps/", "registry")], ["registry"]))
    for node in range(NODES):
        site.start_node(node, ZONES[node])
    await site.until_ready(range(NODES))
    await asyncio.sleep(5)
    sent = {}
    stopped = False

    async def client(number):
        connection = Client(site.record, site.address(1 + number % (NODES - 1)))
        count = 0
        while not stopped:
            count += 1
            attempt = f"c{number}x{count}"
            sent[attempt] = site.record.now()
            await connection.send("GET", f"/laps/{attempt}", attempt, 4000)
            await asyncio.sleep(0.05)

    async def cuts():
        for count in range(CUTS):
            if TROUBLE:
                site.record.write("node 0 is partitioned from the store")
                site.store.cut.add(0)
            await asyncio.sleep(CUT_S)
            if TROUBLE:
                site.record.write("node 0 reaches the store")
            site.store.cut.discard(0)
            if count + 1 == REMOVED_AFTER_CUTS:
                await asyncio.sleep(0.4)
                beats[0].cancel()
                await site.store.delete("servers/i-0")
                site.removed = site.record.now()
                site.record.write("the entry of i-0 is removed; it goes on serving")
                await asyncio.sleep(PERIOD_S - CUT_S - 0.4)
            else:
                await asyncio.sleep(PERIOD_S - CUT_S)

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await cuts()
    await asyncio.sleep(2)
    stopped = True
    await asyncio.gather(*clients)
    for each in beats:
        each.cancel()
    due = site.removed + DRAIN_S
    leaf = site.leafs[0]
    last = max([at for at, _ in leaf.arrivals], default=0) - site.removed
    late = [(at, attempt) for at, attempt in leaf.arrivals if at > due and sent[attempt] > due]
    summary = (f"{len(sent)} requests by way of nodes 1 and 2; the last reached the removed leaf "
               f"{last:.2f} s after its entry was removed; {len(late)} were sent and reached it later than {DRAIN_S} s")
    site.record.write(summary)
    for at, attempt in late:
        site.record.write(f"DRAIN: {attempt} reached i-0 at {at:.3f}")
    print(summary)
    return not late


main(pathlib.Path(__file__).resolve().parent, case)
