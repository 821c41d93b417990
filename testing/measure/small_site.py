"""A site of local processes for measurements: a store, one target stand-in and nodes."""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import urllib.request

BUILD = pathlib.Path(os.environ.get("GOOSEBERRYMOOR_BUILD", "build")).resolve()
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class SmallSite:
    """A store, one back-end process that serves as every target, and nodes."""

    def __init__(self, first_port):
        self.port = first_port
        self.folder = tempfile.TemporaryDirectory()
        self.processes = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
            process.wait()
        self.folder.cleanup()

    def start(self, name, *arguments):
        log = open(f"{self.folder.name}/{name}.log", "w")
        self.processes[name] = subprocess.Popen([str(BUILD / arguments[0]), *arguments[1:]],
                                                stdout=log, stderr=log)

    def entry(self, number):
        return f"127.0.0.1:{self.port + 100 + number}"

    def start_back_ends(self, slots=64, latency_ms=5):
        settings = pathlib.Path(self.folder.name, "target.ini")
        settings.write_text(f"[target]\nlisten=127.0.0.1:{self.port + 1}\nsnapshots=s1\n"
                            f"slots={slots}\nqueue=10000\nlatency_ms={latency_ms}\n")
        self.start("store", "store_stand_in", f"--listen=127.0.0.1:{self.port}")
        self.start("target", "target_stand_in", f"--settings={settings}")
        time.sleep(0.3)

    def put_service(self, groups, replicas=3, slots=64, shards=None):
        """Writes a service whose targets all have the address of the one back-end process."""
        shards = shards or groups
        service = {
            "name": "standings",
            "limits": {"slots": slots, "connections": 110, "cold_slots": slots, "warmup_ms": 0},
            "groups": [{"name": f"g{g}", "targets": [
                {"name": f"g{g}-{r}", "address": f"127.0.0.1:{self.port + 1}",
                 "availability_zone": f"zone-{r}", "version": "v1", "leaving": False}
                for r in range(replicas)]} for g in range(groups)],
            "snapshots": [{"id": "s1", "shards": {f"shard-{s}": f"g{s % groups}"
                                                  for s in range(shards)}}],
            "versions": [{"name": "v1", "share_permille": 1000, "blocked": False}],
        }
        file = pathlib.Path(self.folder.name, "service.json")
        file.write_text(json.dumps(service))
        subprocess.run([str(BUILD / "gooseberrymoor"), "service", "put", str(file),
                        f"--store=127.0.0.1:{self.port}"], check=True, stdout=subprocess.DEVNULL)

    def start_nodes(self, count, extra_settings=""):
        for number in range(1, count + 1):
            settings = pathlib.Path(self.folder.name, f"n{number}.ini")
            settings.write_text(
                f"[node]\nname=n{number}\navailability_zone=zone-{number % 3}\n"
                f"peer_address=127.0.0.1:{self.port + 200 + number}\n"
                f"entry_address={self.entry(number)}\n"
                f"[store]\naddresses=127.0.0.1:{self.port}\n{extra_settings}")
            self.start(f"n{number}", "gooseberrymoord", f"--settings={settings}")
        for number in range(1, count + 1):
            self.wait_ready(number, count)

    def wait_ready(self, number, count):
        for _ in range(600):
            try:
                dump = self.dump(number)
                if dump["phase"] == "ready" and len(dump["links"]) == count - 1:
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise RuntimeError(f"n{number} is not ready")

    def dump(self, number):
        with urllib.request.urlopen(f"http://{self.entry(number)}/v1/dump", timeout=5) as reply:
            return json.load(reply)

    def cpu_seconds(self, name):
        fields = pathlib.Path(f"/proc/{self.processes[name].pid}/stat").read_text().rsplit(")")[-1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_bytes(self, name):
        return int(pathlib.Path(f"/proc/{self.processes[name].pid}/statm").read_text().split()[1]) * PAGE_BYTES


def least_squares(rows, values):
    """Returns the least-squares coefficients for which `rows` best predict `values`."""
    size = len(rows[0])
    matrix = [[sum(r[i] * r[j] for r in rows) for j in range(size)]
              + [sum(r[i] * v for r, v in zip(rows, values))] for i in range(size)]
    for i in range(size):
        pivot = max(range(i, size), key=lambda k: abs(matrix[k][i]))
        matrix[i], matrix[pivot] = matrix[pivot], matrix[i]
        for k in range(size):
            if k != i:
                factor = matrix[k][i] / matrix[i][i]
                matrix[k] = [a - factor * b for a, b in zip(matrix[k], matrix[i])]
    return [matrix[i][size] / matrix[i][i] for i in range(size)]
