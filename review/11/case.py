"""A leaf breaks off a chunked answer without records; the node that reads it ends by itself."""

import asyncio
import collections
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True
import stand_ins_3 as s

HOST = "leno12.example"
SWEEP, SINGLE = "/rany330/2f", "/goka902/2f"
BROKEN_OFF = 0.02  # of the answers of the faulty leaf
LENGTH_S = 40
STAYS_SHORT = 0.05  # chance after each request that a client connects anew, to any node
RESTART_S = 0.5  # "restarted after a short delay"


class EmptyShardLeaf(s.Leaf):
    """A leaf of a shard that holds no records for the query: its parts are empty, in chunks."""

    faulty = False
    broken_off = 0

    async def handle(self, request):
        status, headers, body = await super().handle(request)
        if status != 200:
            return status, headers, body
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        writer = request["writer"]
        if self.faulty and random.random() < BROKEN_OFF:
            self.broken_off += 1
            attempt = request["headers"]["gooseberrymoor-attempt-id"]
            self.site.record.write(f"broken off by={self.ident} attempt={attempt}")
            writer.write(head + b"0\r\n")  # the final CRLF is never sent
            await writer.drain()
            raise s.Drop()
        writer.write(head + b"0\r\n\r\n")
        await writer.drain()
        raise s.Answered()


async def keep_running(site, node, ends):
    """Does the platform's part: starts a process that has ended by itself again."""
    while True:
        code = await node.process.wait()
        ends.append((s.now(), node.name, code))
        site.record.say(f"process of {node.name} ended by itself, code {code}")
        await asyncio.sleep(RESTART_S)
        await node.start()


async def single_client(site, state):
    """Keeps its connection and sends unsafe requests to sound leafs."""
    own = s.Client(site)
    while not state["done"]:
        node = own.peer or random.choice(site.nodes)
        kept = own.peer is not None
        attempt = f"{random.getrandbits(64):016x}"
        status, _, _ = await own.send(node, HOST, "POST", SINGLE, 3000, b"x" * 300, attempt)
        state["single"][status] += 1
        if status == 0 and kept:
            state["unanswered"].append(attempt)
        await asyncio.sleep(0.2 if status else 0.5)
        if random.random() < STAYS_SHORT:
            own.close()
    own.close()


async def sweep_client(site, state):
    own = s.Client(site)
    while not state["done"]:
        node = own.peer or random.choice(site.nodes)
        status, _, _ = await own.send(node, HOST, "GET", SWEEP, 800)
        state["sweep"][status] += 1
        await asyncio.sleep(0.05 if status else 0.5)
        if random.random() < STAYS_SHORT:
            own.close()
    own.close()


async def case(site, trouble):
    shards = ["s1", "s2", "s3"]
    config = {"version": 7, "limits": s.LIMITS,
              "routes": [s.route("r-1", HOST, "/rany330/", "safe", 800, gather=shards, top_k=10,
                                 minimum_success_share=0.6, target_latency_ms=150),
                         s.route("r-2", HOST, "/goka902/", "unsafe", 3000, service="registry")],
              "services": [s.service(name) for name in shards + ["registry"]]}
    zones = ["kv-a", "kv-b", "kv-c"]
    for zone in zones:
        for shard in shards:
            kind = EmptyShardLeaf if shard == "s1" else s.Leaf
            leaf = site.add_leaf(f"{shard}-{zone}", shard, zone, kind=kind)
            leaf.body = lambda request: b"0123456789abcdef" * 10
        site.add_leaf(f"registry-{zone}", "registry", zone, work_s=0.3, slots=6)
    faulty = site.leafs["s1-kv-a"]
    await site.start(zones, config)
    ends = []
    for node in site.nodes:
        site.spawn(keep_running(site, node, ends))
    await asyncio.sleep(6)
    faulty.faulty = trouble
    state = {"done": False, "single": collections.Counter(), "sweep": collections.Counter(),
             "unanswered": []}
    clients = [asyncio.ensure_future(single_client(site, state)) for _ in range(24)]
    clients += [asyncio.ensure_future(sweep_client(site, state)) for _ in range(9)]
    await asyncio.sleep(LENGTH_S)
    state["done"] = True
    await asyncio.gather(*clients)
    ran = {attempt for leaf in site.leafs.values() if leaf.service == "registry"
           for _, attempt, _ in leaf.runs}
    lost = [attempt for attempt in state["unanswered"] if attempt in ran]
    for attempt in lost:
        site.record.write(f"lost attempt={attempt}: run by a sound leaf, connection closed")
    site.record.say(f"answers broken off: {faulty.broken_off}; processes that ended: {len(ends)};"
                    f" unsafe requests from kept connections that a sound leaf ran and whose"
                    f" connection closed without an answer: {len(lost)} (allowed: 3)")
    site.record.say(f"statuses: unsafe {dict(state['single'])}, sweeps {dict(state['sweep'])}")
    return len(lost) <= 3


s.run_case(HERE, case)
