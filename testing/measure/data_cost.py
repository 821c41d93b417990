#!/usr/bin/env python3
"""Measures the cost of queries on the nodes, for sites of several sizes.

Usage: testing/measure/data_cost.py [SECONDS]

Prints a row for each size: CPU time of all nodes per query and per leaf request, memory, and the
load report with latency and coverage; then a linear fit of the CPU time per query: constant +
slope * shards.
"""

import json
import subprocess
import sys
import time

from small_site import BUILD, SmallSite, least_squares

SIZES = [(1, 10, 100), (3, 10, 100), (9, 10, 100), (3, 40, 50), (9, 40, 50), (9, 160, 10)]
SETTLE_SECONDS = 6


def run_load(site, rate, seconds):
    done = subprocess.run([str(BUILD / "load"), f"--entries={site.entry(1)}", "--service=standings",
                           f"--rate={rate}", f"--seconds={seconds}", "--callers=32", "--json"],
                          capture_output=True, text=True, check=True)
    return json.loads(done.stdout)


def measure(nodes, shards, rate, seconds, port):
    with SmallSite(port) as site:
        site.start_back_ends()
        site.put_service(groups=shards)
        site.start_nodes(nodes)
        time.sleep(SETTLE_SECONDS)
        run_load(site, rate, 5)
        names = [f"n{i}" for i in range(1, nodes + 1)]
        cpu = sum(site.cpu_seconds(name) for name in names)
        report = run_load(site, rate, seconds)
        cpu = sum(site.cpu_seconds(name) for name in names) - cpu
        memory = max(site.resident_bytes(name) for name in names) / 1e6
        return report, cpu, memory


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    rows, costs = [], []
    for i, (nodes, shards, rate) in enumerate(SIZES):
        report, cpu, memory = measure(nodes, shards, rate, seconds, 27000 + 300 * i)
        queries = rate * seconds
        per_query = 1000 * cpu / queries
        print(f"{nodes} nodes {shards:3} shards {rate:3} queries/s  {per_query:.2f} ms a query  "
              f"{1000 * per_query / shards:.0f} us a leaf request  {memory:.1f} MB  "
              f"{json.dumps(report)}", flush=True)
        if nodes > 1:
            rows.append([1, shards])
            costs.append(per_query)
    constant, slope = least_squares(rows, costs)
    print(f"ms a query: {constant:.3f} + {slope:.4f} * shards")


main()
