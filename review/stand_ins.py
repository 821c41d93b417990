"""Stand-ins for review cases: the platform's store, leafs and clients, on loopback addresses.

Each case drives the project's own program, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ID = "gooseberrymoor-attempt-id"
DEADLINE = "gooseberrymoor-deadline-milliseconds"
EXPECTED = "gooseberrymoor-expected-instance"
STAMP = "gooseberrymoor-server-stamp"
NOT_EXECUTED = "gooseberrymoor-not-executed"
ROOT = pathlib.Path(__file__).resolve().parent.parent
FRONT, READY, CONTROL, DIRECTORY, PEER, METRICS = 8226, 8227, 8224, 8225, 7740, 9470
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, in the order in which it happened."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")


async def read_message(reader):
    """One HTTP message: its first line, its headers by lower-case name, and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def encode_reply(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} S"] + [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Lease:
    def __init__(self, ttl_ms):
        self.ttl_ms = ttl_ms
        self.until = time.monotonic() + ttl_ms / 1000


class Store:
    """The platform's metadata store. `cut` holds the names of nodes that don't reach it."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()
        self.cut = set()
        self.writers = {}

    async def listen(self, host, port, node):
        """A listener for one node, so that its path to the store can be cut alone."""
        return await asyncio.start_server(lambda r, w: self.serve(node, r, w), host, port)

    async def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created_revision"] if key in self.items else self.revision
        text = value if isinstance(value, str) else json.dumps(value)
        self.items[key] = {"key": key, "value": base64.b64encode(text.encode()).decode(),
                           "revision": self.revision, "created_revision": created, "lease": lease}
        self.history.append((self.revision, key, self.items[key]))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append((self.revision, key, None))
        async with self.changed:
            self.changed.notify_all()

    async def expire_leases(self):
        while True:
            now = time.monotonic()
            for number in [n for n, each in self.leases.items() if each.until < now]:
                await self.end_lease(number)
            await asyncio.sleep(0.05)

    async def end_lease(self, number):
        known = self.leases.pop(number, None)
        for key in [k for k, each in self.items.items() if each["lease"] == number]:
            await self.delete(key)
        return known is not None

    async def serve(self, node, reader, writer):
        self.writers.setdefault(node, set()).add(writer)
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                arguments = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                await self.while_cut(node)
                status, answer = await self.answer(method, path, arguments, body)
                await self.while_cut(node)
                writer.write(encode_reply(status, [("Content-Type", "application/json")],
                                          json.dumps(answer).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers[node].discard(writer)
            writer.close()

    async def while_cut(self, node):
        while node in self.cut:
            await asyncio.sleep(0.01)

    async def answer(self, method, path, arguments, body):
        await asyncio.sleep(0.004)
        if path == "/kv-range":
            prefix, after = arguments["path_prefix"], arguments.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "store_revision": self.revision}
        if path == "/kv-watch":
            return 200, await self.watch(arguments)
        if path == "/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/kv-lease":
            number, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = json.loads(body)["ttl_ms"]
            self.leases[number] = Lease(ttl)
            return 200, {"lease": number, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease.until = time.monotonic() + lease.ttl_ms / 1000
            return 200, {"ttl_ms": lease.ttl_ms}
        if path.startswith("/kv-lease-end/"):
            ended = await self.end_lease(int(path.rsplit("/", 1)[1]))
            return (200 if ended else 404), {}
        return 404, {}

    async def watch(self, arguments):
        prefix, after = arguments["path_prefix"], int(arguments["after"])
        until = time.monotonic() + int(arguments.get("wait_ms", 0)) / 1000
        while True:
            events = [item or {"key": key, "revision": revision, "deleted": True}
                      for revision, key, item in self.history
                      if revision > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "store_revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, call):
        for each in call.get("expected_revision", []):
            known = self.items.get(each["key"])
            if (known["revision"] if known else 0) != each["revision"]:
                return 412, {"items": []}
        for each in call.get("puts", []):
            if each["key"].startswith(("op/", "servers/")):
                return 403, {}
            if each.get("lease") and each["lease"] not in self.leases:
                return 404, {}
        for each in call.get("puts", []):
            await self.put(each["key"], base64.b64decode(each["value"]).decode(),
                           each.get("lease", 0))
        for key in call.get("deletes", []):
            await self.delete(key)
        return 200, {"revision": self.revision}


class Leaf:
    """A leaf with slots and a short queue. Keeps the ids of the requests that it has run."""

    def __init__(self, record, name, service, host, port, zone, slots=4, queue=4,
                 work_s=(0.03, 0.05)):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.host, self.port = host, port
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = []  # (time, id)
        self.arrivals = []  # (time, id), without those answered 421
        self.answers = self.refusals = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.cold_remaining_ms = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def crash(self):
        self.server.close()
        for each in list(self.writers):
            each.transport.abort()

    async def start_again(self, name):
        """At the same address, as another instance."""
        self.name, self.born, self.sequence = name, int(time.time() * 1000), 0
        await self.start()

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.host}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": state,
                "cold_remaining_ms": self.cold_remaining_ms, "sequence": self.sequence,
                "born": self.born}

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        late = []  # extra answers, sent where the next answer is expected
        try:
            while True:
                line, headers, body = await read_message(reader)
                for extra in late:
                    writer.write(extra)
                late.clear()
                reply, extra = await self.handle(line, headers, body)
                if extra:
                    late.append(extra)
                if reply is None:
                    break
                writer.write(reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, line, headers, body):
        attempt = headers.get(ID, "")
        if headers.get(EXPECTED, self.name) != self.name:
            return encode_reply(421, [("Gooseberrymoor-Instance", self.name)]), None
        self.arrivals.append((self.record.now(), attempt))
        if self.running + self.waiting >= self.slots + self.queue:
            return self.refuse(attempt)
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.runs.append((self.record.now(), attempt))
            self.record.write(f"{self.name} runs {attempt}")
            await asyncio.sleep(random.uniform(*self.work_s))
            self.running -= 1
        return self.finish(attempt, line, body)

    def refuse(self, attempt):
        self.refusals += 1
        self.record.write(f"{self.name} refuses {attempt} with 503, not executed")
        return encode_reply(503, [("Gooseberrymoor-Not-Executed", "1")]), None

    def finish(self, attempt, line, body):
        return self.success(attempt, f"{self.name} {attempt}".encode()), None

    def success(self, attempt, body):
        self.answers += 1
        return encode_reply(200, [("Gooseberrymoor-Attempt-Id", attempt),
                                  ("Gooseberrymoor-Server-Stamp", f"{self.name}.{attempt}"),
                                  ("Gooseberrymoor-Server-Load", self.load())], body)


async def beat(store, leaf):
    """Writes the leaf's entry as often as leafs do; ends with the task."""
    while True:
        await store.put(f"servers/{leaf.name}", leaf.entry())
        await asyncio.sleep(1.2)


class Client:
    """A client that keeps one connection open and sends one request at a time."""

    def __init__(self, record, host):
        self.record, self.host = record, host
        self.writer = None

    async def send(self, method, path, attempt, deadline_ms, host="hufi27.example", body=b""):
        """The status (0: no answer), headers and body of the answer."""
        self.record.write(f"client sends {method} {path} {attempt} to {self.host}")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(self.host, FRONT)
                head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                        f"Gooseberrymoor-Attempt-Id: {attempt}\r\n"
                        f"Gooseberrymoor-Deadline-Milliseconds: {deadline_ms}\r\n")
                if body:
                    head += f"Content-Length: {len(body)}\r\n"
                self.writer.write(head.encode() + b"\r\n" + body)
                line, headers, answer = await read_message(self.reader)
                status = int(line.split(" ")[1])
                if headers.get("connection", "").lower() == "close":
                    self.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            status, headers, answer = 0, {}, b""
        self.record.write(f"client gets {status} for {attempt}")
        return status, headers, answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


class Site:
    """Store, nodes and leafs, on addresses of one random loopback network."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.TemporaryDirectory()
        self.network = self.pick_network()
        self.store = Store(self.record)
        self.processes = {}
        self.leafs = []
        self.next_port = 30000
        self.tasks = []

    @staticmethod
    def pick_network():
        for _ in range(50):
            network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}."
            try:
                for port in (FRONT, READY, DIRECTORY, PEER, METRICS):
                    with socket.socket() as probe:
                        probe.bind((network + "11", port))
                return network
            except OSError:
                continue
        raise RuntimeError("no free loopback network")

    def address(self, node):
        return self.network + str(11 + node)

    def task(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def add_leaf(self, kind, name, service, zone, **options):
        self.next_port += 1
        leaf = kind(self.record, name, service, self.network + "2", self.next_port, zone, **options)
        await leaf.start()
        self.leafs.append(leaf)
        await self.store.put(f"servers/{name}", leaf.entry())
        return leaf

    async def start_store(self, nodes):
        self.task(self.store.expire_leases())
        for node in range(nodes):
            await self.store.listen(self.network + "3", 8229 + node, node)

    def settings(self, node, zone):
        host = self.address(node)
        return f"""node = "front-{zone}-{node + 1}"
role = "node"
machine_class = "front"
serves = ["front","directory"]
ip_address = "{host}"
zone = "{zone}"
region = "klang-valley"
internal_ports = [{PEER},{PEER + 15}]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
[listen_addresses]
front = "{host}:{FRONT}"
ready = "{host}:{READY}"
directory = "{host}:{DIRECTORY}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
file_descriptors = 4100
[bounds]
settle_window_ms = 4000
drain_ms = 3000
grace_s = 6
config_apply_ms = 3000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 58
cold_burst_factor = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 12
ttl_max_s = 5
[platform]
address = "{self.network}3:{8229 + node}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""

    def start_node(self, node, zone):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        file = pathlib.Path(self.folder.name) / f"node-{node}.toml"
        file.write_text(self.settings(node, zone))
        log = open(pathlib.Path(self.folder.name) / f"node-{node}.log", "a")
        environment = {"PATH": os.environ["PATH"], "GOOSEBERRYMOOR_NODE_FILE": str(file)}
        self.processes[node] = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log,
                                                stderr=log)
        self.record.write(f"node {node} starts")

    def signal_node(self, node, number):
        self.record.write(f"node {node} gets {signal.Signals(number).name}")
        self.processes[node].send_signal(number)

    def log_of(self, node):
        return (pathlib.Path(self.folder.name) / f"node-{node}.log").read_text()

    async def until_ready(self, nodes, limit_s=10):
        end = time.monotonic() + limit_s
        for node in nodes:
            while await self.readiness(node) != 200:
                if time.monotonic() > end:
                    raise RuntimeError(f"node {node} isn't ready")
                await asyncio.sleep(0.05)

    async def readiness(self, node):
        try:
            reader, writer = await asyncio.open_connection(self.address(node), READY)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return int(line.split(" ")[1])
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return 0

    def end(self):
        for each in self.tasks:
            each.cancel()
        for each in self.processes.values():
            if each.poll() is None:
                each.send_signal(signal.SIGCONT)
                each.kill()
            each.wait()
        self.record.file.close()
        self.folder.cleanup()


def route(name, prefix, service, kind="safe", timeout_ms=4000, target_latency_ms=600, priority=2,
          max_attempts=2, **more):
    value = {"name": name, "host": "hufi27.example", "path_prefix": prefix, "kind": kind,
             "timeout_ms": timeout_ms, "target_latency_ms": target_latency_ms,
             "priority": priority, "max_attempts": max_attempts}
    if service:
        value["service"] = service
    return value | more


def configuration(version, routes, services, connection_limit=110, cold_per_s=0.0):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health",
                          "connection_limit": connection_limit, "protocol": "h1",
                          "transport_security": False, "cold_start_s": 3.0,
                          "cold_per_s": cold_per_s} for name in services],
            "limits": {"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def main(folder, case):
    """Runs `case(site)`, which returns whether the rule held, and exits with the result."""

    async def run():
        site = Site(folder)
        try:
            async with asyncio.timeout(110):
                held = await case(site)
            site.record.write("the rule held" if held else "the rule is broken")
            return HELD if held else BROKEN
        finally:
            site.end()

    try:
        result = asyncio.run(run())
    except Exception:
        traceback.print_exc()
        result = COULD_NOT_RUN
    sys.stdout.flush()
    os._exit(result)
