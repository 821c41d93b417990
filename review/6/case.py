"""A busy leaf sends some of its answers a second time, late: one leaf of three, of three services."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins_2 import Leaf, has_trouble, run_case  # noqa: E402

WINDOWS = 4  # of trouble
WINDOW_S = 5.0
WINDOW_GAP_S = 3.0
EXTRA_SHARE = 0.04  # of the answers of the leaf in trouble
NODES = 9
SERVICES = ("desk-0", "desk-1", "desk-2")  # one leaf each; the first one's is in trouble
ORDER_GAP_S = 0.02  # between two orders of a client; each node has one client for each service
WORK_S = 0.03


class RepeatingLeaf(Leaf):
    """Repeats some answers where the next answer on the connection is due."""

    repeats = False

    async def respond(self, connection, method, path, headers, body):
        writer = connection["writer"]
        extra = connection.pop("extra", None)
        if extra:
            writer.write(extra)
            self.site.record.write(f"leaf {self.name} sends an answer a second time: "
                                   + extra.split(b"\r\n")[0].decode())
        answer = await self.run_or_reject(headers.value("Gooseberrymoor-Attempt-Id"))
        writer.write(answer)
        if self.repeats and random.random() < EXTRA_SHARE:
            connection["extra"] = answer


async def case(site):
    leafs = [await site.add_leaf(RepeatingLeaf(site, "i-" + service, service, slots=2, queue=2,
                                               work_s=WORK_S)) for service in SERVICES]
    site.configure(1, [site.route(service, "unsafe", service=service) for service in SERVICES],
                   [site.service(service) for service in SERVICES])
    await site.start_nodes(NODES)
    await asyncio.sleep(0.5)
    orders = []
    until = site.record.now() + WINDOWS * (WINDOW_S + WINDOW_GAP_S)

    async def send_one_by_one(node, service):
        while site.record.now() < until:
            attempt = f"order-{len(orders)}"
            answer = asyncio.create_task(
                site.ask(node, "POST", f"/{service}/1", attempt, body=b"one"))
            orders.append((attempt, answer))
            await answer
            await asyncio.sleep(ORDER_GAP_S)

    callers = [asyncio.create_task(send_one_by_one(node, service))
               for node in site.nodes for service in SERVICES]
    for _ in range(WINDOWS):
        leafs[0].repeats = has_trouble()
        await asyncio.sleep(WINDOW_S)
        leafs[0].repeats = False
        await asyncio.sleep(WINDOW_GAP_S)
    await asyncio.gather(*callers)
    answers = {attempt: await answer for attempt, answer in orders}
    await asyncio.sleep(1)
    broken = []
    for attempt, answer in answers.items():
        runs = sum(1 for leaf in leafs for _, each in leaf.runs if each == attempt)
        if runs > 1:
            broken.append(f"TWICE: {attempt} ran {runs} times")
        if runs and answer.status in (408, 421, 429, 503):
            broken.append(f"REFUSED: {attempt} was answered {answer.status} and has run")
    statuses = [answer.status for answer in answers.values()]
    site.record.write(f"{len(statuses)} orders, " + ", ".join(
        f"{statuses.count(each)} answered {each}" for each in sorted(set(statuses))))
    return broken


run_case(FOLDER, case)
