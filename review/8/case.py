"""A leaf runs some unsafe requests and fails them with 503, without saying that they did not run."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins_2 import Leaf, has_trouble, run_case  # noqa: E402

LEAFS = 7  # one of them fails
FAILED_SHARE = 0.45  # of the requests to that leaf
TROUBLE_S = 6.5
CLIENTS = 6
NODES = 3
PROMISES = (408, 421, 429, 503)  # not run, and never will be


class FailingLeaf(Leaf):
    fails = False

    async def respond(self, connection, method, path, headers, body):
        status = 503 if self.fails and random.random() < FAILED_SHARE else 200
        attempt = headers.value("Gooseberrymoor-Attempt-Id")
        connection["writer"].write(await self.run_or_reject(attempt, status))


async def case(site):
    leafs = [await site.add_leaf(FailingLeaf(site, f"i-{number}", "desk"))
             for number in range(LEAFS)]
    site.configure(1, [site.route("order", "unsafe", service="desk")], [site.service("desk")])
    await site.start_nodes(NODES)
    await asyncio.sleep(0.5)
    leafs[0].fails = has_trouble()
    until = site.record.now() + TROUBLE_S
    broken = []

    def runs_of(attempt):
        return sum(1 for leaf in leafs for _, each in leaf.runs if each == attempt)

    async def client(number):
        order = 0
        while site.record.now() < until:
            order += 1
            runs = 0
            # A client sends an unsafe request once more after a promise that it has not run.
            for retry in range(2):
                attempt = f"order-{number}-{order}-{retry}"
                answer = await site.ask(site.nodes[number % NODES], "POST", "/order/1", attempt,
                                        body=b"one")
                if runs_of(attempt) and answer.status in PROMISES:
                    broken.append(f"REFUSED: {attempt} was answered {answer.status} and has run")
                runs += runs_of(attempt)
                if answer.status not in PROMISES:
                    break
            if runs > 1:
                broken.append(f"order {order} of client {number} was run {runs} times")
            await asyncio.sleep(0.05)

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    return broken


run_case(FOLDER, case)
