#!/usr/bin/env python3
"""Measures the idle cost of a node, without any query, for cells of several sizes.

Usage: testing/measure/control_cost.py [SECONDS]

Prints a row for each size (CPU time, memory, bytes to peers, calls to the store, each per node) and
a linear fit of each value: constant + slope * peers + slope * targets of the service.
"""

import sys
import time

from small_site import SmallSite, least_squares

SIZES = [(3, 30), (6, 30), (9, 30), (9, 120), (9, 480), (16, 120)]
SETTLE_SECONDS = 6


def measure(nodes, targets, seconds, port):
    with SmallSite(port) as site:
        site.start_back_ends()
        site.put_service(groups=targets // 3)
        site.start_nodes(nodes)
        time.sleep(SETTLE_SECONDS)
        names = [f"n{i}" for i in range(1, nodes + 1)]
        cpu = [site.cpu_seconds(name) for name in names]
        counters = [site.dump(i)["counters"] for i in range(1, nodes + 1)]
        time.sleep(seconds)
        spent = sum(site.cpu_seconds(name) - before for name, before in zip(names, cpu))
        after = [site.dump(i)["counters"] for i in range(1, nodes + 1)]

        def rate(counter):
            return sum(b.get(counter, 0) - a.get(counter, 0)
                       for a, b in zip(counters, after)) / nodes / seconds

        memory = sum(site.resident_bytes(name) for name in names) / nodes
        return {"core %": 100 * spent / nodes / seconds, "MB": memory / 1e6,
                "bytes/s": rate("membership_bytes_sent"), "store calls/s": rate("store_calls")}


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    rows, results = [], []
    for i, (nodes, targets) in enumerate(SIZES):
        result = measure(nodes, targets, seconds, 26000 + 300 * i)
        print(f"{nodes:3} nodes {targets:4} targets  " +
              "  ".join(f"{key} {value:.3f}" for key, value in result.items()), flush=True)
        rows.append([1, nodes - 1, targets])
        results.append(result)
    for key in results[0]:
        constant, peers, targets = least_squares(rows, [result[key] for result in results])
        print(f"{key}: {constant:.4f} + {peers:.5f} * peers + {targets:.6f} * targets")


main()
