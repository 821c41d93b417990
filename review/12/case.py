"""A chunked request without a body arrives in pieces; the node that reads it ends by itself."""

import asyncio
import collections
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True
import stand_ins_3 as s

HOST = "hufi27.example"
PATH = "/goka902/2f"
PIECE_DELAY_S = 0.02  # between the bytes that the slow link passes
ROUNDS = 12
RESTART_S = 0.5  # "restarted after a short delay"


async def keep_running(site, node, ends):
    """Does the platform's part: starts a process that has ended by itself again."""
    while True:
        code = await node.process.wait()
        ends.append((s.now(), node.name, code))
        site.record.say(f"process of {node.name} ended by itself, code {code}")
        await asyncio.sleep(RESTART_S)
        await node.start()


async def usual_client(site, state):
    """Keeps its connection for some requests, and sends unsafe ones to sound leafs."""
    own = s.Client(site)
    while not state["done"]:
        node = own.peer or random.choice(site.nodes)
        kept = own.peer is not None
        attempt = f"{random.getrandbits(64):016x}"
        status, _, _ = await own.send(node, HOST, "POST", PATH, 3000, b"x" * 300, attempt)
        state["statuses"][status] += 1
        if status == 0 and kept:
            state["unanswered"].append(attempt)
        await asyncio.sleep(0.1 if status else 0.5)
        if random.random() < 0.05:
            own.close()
    own.close()


async def chunked_post(site, node, in_pieces):
    """Sends one POST in chunks with an empty body, whole or with its end byte by byte."""
    attempt = f"{random.getrandbits(64):016x}"
    head = (f"POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nGooseberrymoor-Attempt-Id: {attempt}\r\n"
            f"Gooseberrymoor-Deadline-Milliseconds: 3000\r\nTransfer-Encoding: chunked\r\n\r\n")
    message = head.encode() + b"0\r\n\r\n"
    site.record.write(f"sent to={node.name} attempt={attempt} chunked"
                      f" {'in pieces' if in_pieces else 'whole'}")
    reader, writer = await asyncio.open_connection(node.host, node.port)
    if in_pieces:
        writer.write(message[:-5])
        for at in range(len(message) - 5, len(message)):
            await writer.drain()
            await asyncio.sleep(PIECE_DELAY_S)
            writer.write(message[at:at + 1])
    else:
        writer.write(message)
    try:
        first, headers = await asyncio.wait_for(s.read_head(reader), 3.5)
        await s.read_body(reader, headers)
        status = int(first.split()[1])
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        status = 0
    writer.close()
    site.record.write(f"answered attempt={attempt} status={status}")
    return status


async def case(site, trouble):
    config = {"version": 7, "limits": s.LIMITS,
              "routes": [s.route("r-1", HOST, "/goka902/", "unsafe", 3000, service="registry")],
              "services": [s.service("registry")]}
    zones = ["kv-a", "kv-b", "kv-c"]
    for zone in zones:
        site.add_leaf(f"registry-{zone}", "registry", zone, work_s=0.3, slots=12)
    await site.start(zones, config)
    ends = []
    for node in site.nodes:
        site.spawn(keep_running(site, node, ends))
    await asyncio.sleep(6)
    state = {"done": False, "statuses": collections.Counter(), "unanswered": []}
    clients = [asyncio.ensure_future(usual_client(site, state)) for _ in range(24)]
    await asyncio.sleep(3)
    chunked = collections.Counter()
    for number in range(ROUNDS):
        try:
            status = await chunked_post(site, site.nodes[number % len(site.nodes)], trouble)
        except OSError:
            status = "no connection"
        chunked[status] += 1
        await asyncio.sleep(2)
    state["done"] = True
    await asyncio.gather(*clients)
    ran = {attempt for leaf in site.leafs.values() for _, attempt, _ in leaf.runs}
    lost = [attempt for attempt in state["unanswered"] if attempt in ran]
    for attempt in lost:
        site.record.write(f"lost attempt={attempt}: run by a sound leaf, connection closed")
    site.record.say(f"chunked requests by status: {dict(chunked)}; processes that ended:"
                    f" {len(ends)}; unsafe requests from kept connections that a sound leaf ran and"
                    f" whose connection closed without an answer: {len(lost)} (allowed: 3)")
    site.record.say(f"statuses of the usual clients: {dict(state['statuses'])}")
    return len(lost) <= 3


s.run_case(HERE, case)
