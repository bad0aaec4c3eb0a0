#!/usr/bin/env python3
"""Fairness between workspaces, and what a large document costs.

Prints name=value lines. Arguments: `quick` (under a minute) or names of
measurements (default all), then seconds=N (default 8 a run). In `crowd` one workspace offers ten times the load
of all others together, which are thousands; in `ten` nine others offer a tenth
of its load each. Both offer 150% of the capacity.
"""
import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import stragglers as s  # noqa: E402
import fleet as f  # noqa: E402

ENGINES = 4
CAPACITY = s.CAPACITY * ENGINES / s.ENGINES
MODEL = "lantern-muse"
WARMUP_MS = 2000


def document(workspaces, keys, weights=None):
    """Keys k0, k1, ... spread evenly over workspaces w0, w1, ..."""
    result = f.sample_document()
    guild = result["partners"]["guild"]
    guild["workspaces"].update(
        {f"w{i}": {"weight": (weights or {}).get(i, 1)}
         for i in range(workspaces)})
    guild["callers"] += [
        {"name": f"k{i}", "key_sha256": f.sha256_hex(f"k{i}"),
         "workspace": f"w{i % workspaces}"} for i in range(keys)]
    return json.dumps(result, separators=(",", ":"))


class Bench:
    def __init__(self, text, *entry_args):
        self.fleet = f.Fleet()
        self.fleet.start_platform()
        for i in range(ENGINES):
            self.fleet.start_engine(f"muse-{i}", "guild", MODEL, "old-town",
                                    "--slots", str(s.SLOTS),
                                    "--seed", str(i + 1))
        answer = self.fleet.put_object("config/production", text)
        if answer.status != 200:
            self.fleet.close()
            raise OSError(f"the document was refused: {answer.status}")
        self.fleet.publish_vms()
        self.entry = self.fleet.start_entry("entry-1", "old-town", *entry_args)
        f.wait_for(lambda: f.chat(self.entry, "guild-key", MODEL,
                                  "warm up").status == 200, "a first answer")
        time.sleep(1.5)  # the first load reports

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.fleet.close()

    def load(self, seconds, keys, rate, seed, **more):
        options = {"key": ",".join(keys), "rate": round(rate), "stream": 1,
                   "tokens": s.TOKENS, "warmup-ms": WARMUP_MS, "seed": seed,
                   "duration-ms": seconds * 1000 + WARMUP_MS, **more}
        return subprocess.Popen(
            [f.BINARY, "load", f"http://127.0.0.1:{self.entry.port}"] +
            [f"--{k}={v}" for k, v in options.items()],
            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)

    def together(self, loads):
        """Runs loads of (seconds, keys, rate) beside each other."""
        running = [self.load(*load, seed) for seed, load in
                   enumerate(loads, 1)]
        return [figures(process) for process in running]


def figures(process):
    out, _ = process.communicate(timeout=120)
    return {name: value for name, _, value in
            (line.partition("=") for line in out.split("\n"))}


def show(prefix, result, rate):
    print(f"{prefix}_offered_per_s={rate:.1f}")
    print(f"{prefix}_served_per_s={result['ok_per_s']}")
    print(f"{prefix}_served_share="
          f"{int(result['ok']) / int(result['sent']):.3f}")
    for name in ("refused", "failed", "total_p50_ms", "total_p99_ms"):
        print(f"{prefix}_{name}={result.get(name)}", flush=True)


def noisy(name, text, others, flood_rate, others_rate, seconds):
    with Bench(text) as bench:
        alone, = bench.together([(seconds, others, others_rate)])
        show(f"{name}_alone_others", alone, others_rate)
    for policy in ("fair", "first-come"):
        with Bench(text, "--queue-policy", policy) as bench:
            flood, rest = bench.together([(seconds, ["k0"], flood_rate),
                                          (seconds, others, others_rate)])
        prefix = f"{name}_{policy.replace('-', '_')}"
        show(prefix + "_flood", flood, flood_rate)
        show(prefix + "_others", rest, others_rate)


def crowd(seconds):
    keys = [f"k{i}" for i in range(1, 5000)]
    noisy("crowd", document(5000, 7000), keys, 1.5 * CAPACITY * 10 / 11,
          1.5 * CAPACITY / 11, seconds)


def ten(seconds):
    keys = [f"k{i}" for i in range(1, 10)]
    noisy("ten", document(5000, 7000), keys, 1.5 * CAPACITY * 10 / 19,
          1.5 * CAPACITY * 9 / 19, seconds)


def weights(seconds):
    """Two workspaces of weights 1 and 3, each offering the whole capacity."""
    with Bench(document(5000, 7000, {1: 3})) as bench:
        one, three = bench.together([(seconds, ["k0"], CAPACITY),
                                     (seconds, ["k1"], CAPACITY)])
    show("weight_1", one, CAPACITY)
    show("weight_3", three, CAPACITY)
    print("weight_ratio="
          f"{float(three['ok_per_s']) / float(one['ok_per_s']):.2f}")


def cpu_s(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(") ", 1)[1].split()
    return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")


def rss_kib(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status
                    if line.startswith("VmRSS"))


def size(seconds, sizes=((10, 10), (1000, 1000), (10000, 7000))):
    """Memory and CPU by number of workspaces; the largest document has fewer
    keys, because more do not fit in an object of 1 MB."""
    for workspaces, keys in sizes:
        text = document(workspaces, keys)
        prefix = f"size_{workspaces}"
        with Bench(text) as bench:
            pid = bench.entry.pid
            print(f"{prefix}_document_bytes={len(text)}")
            print(f"{prefix}_start_rss_kib={rss_kib(pid)}")
            used = cpu_s(pid)
            requests = s.metric(bench.entry, "wasabilink_online_requests")
            bench.together([(seconds, [f"k{i}" for i in range(keys)],
                             0.9 * CAPACITY)])
            used = cpu_s(pid) - used
            requests = s.metric(bench.entry,
                                "wasabilink_online_requests") - requests
            print(f"{prefix}_cpu_us_per_request={1e6 * used / requests:.0f}")
            used = cpu_s(pid)
            bench.together([(seconds, [f"k{i}" for i in range(keys)],
                             2 * CAPACITY)])
            used = cpu_s(pid) - used
            print(f"{prefix}_overloaded_cpu_ms_per_s="
                  f"{1000 * used / (seconds + WARMUP_MS / 1000):.0f}")
            print(f"{prefix}_end_rss_kib={rss_kib(pid)}")
            load_document(prefix, bench, text)


def load_document(prefix, bench, text):
    """Time and CPU until a changed document is in force at the node."""
    pid, used, start = bench.entry.pid, cpu_s(bench.entry.pid), time.monotonic()
    answer = bench.fleet.put_object("config/production", text + "\n", 1)
    version = int(answer.headers["x-object-version"])
    f.wait_for(lambda: s.metric(
        bench.entry, "wasabilink_config_version") >= version, "the document")
    print(f"{prefix}_in_force_ms={1000 * (time.monotonic() - start):.0f}")
    print(f"{prefix}_in_force_cpu_ms={1000 * (cpu_s(pid) - used):.0f}",
          flush=True)


def quick(seconds):
    seconds = min(seconds, 2)
    crowd(seconds)
    weights(seconds)
    size(seconds, ((10, 10), (10000, 7000)))


MEASUREMENTS = {"crowd": crowd, "ten": ten, "weights": weights, "size": size}


def main():
    options = dict(a.split("=") for a in sys.argv[1:] if "=" in a)
    names = [a for a in sys.argv[1:] if "=" not in a] or MEASUREMENTS
    f.interrupt_closes()
    for name in names:
        {**MEASUREMENTS, "quick": quick}[name](int(options.get("seconds", 8)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
