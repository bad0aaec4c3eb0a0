#!/usr/bin/env python3
"""What the entry process costs: added latency, requests and stream events per
second, and memory with many open streams, beside a direct connection.

Prints one line per measurement. The entry process is pinned to one core, as
the targets are for one core. Arguments: names of measurements (default all).
"""
import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402

ENGINES = 4
LOADERS = 3
SECONDS = 5


def start(*engine_args):
    fleet = f.Fleet()
    fleet.start_platform()
    engines = [fleet.start_engine(f"muse-{i}", "guild", "lantern-muse",
                                  "old-town", "--slots", "100000",
                                  "--max-running", "100000", "--prefill-us",
                                  "0", "--count-runs=false", *engine_args)
               for i in range(ENGINES)]
    fleet.put_object("config/production", json.dumps(f.sample_document()))
    fleet.publish_vms()
    entry = fleet.start_entry("entry-1", "old-town", "--hedge-share", "0",
                              "--log-level", "warn")
    os.sched_setaffinity(entry.pid, {max(os.sched_getaffinity(0))})
    f.wait_for(lambda: f.chat(entry, "guild-key", "lantern-muse",
                              "warm up").status == 200, "a first answer")
    time.sleep(1.5)
    return fleet, engines, entry


def load(urls, loaders, **options):
    """The summed and averaged figures of several load processes."""
    command = [f.BINARY, "load", *urls]
    options = {"key": "guild-key", "duration_ms": SECONDS * 1000,
               "warmup_ms": 1000, **options}
    for name, value in options.items():
        command += [f"--{name.replace('_', '-')}", str(value)]
    processes = [subprocess.Popen(command + ["--seed", str(i)],
                                  stdout=subprocess.PIPE, text=True)
                 for i in range(loaders)]
    figures = []
    for process in processes:
        out = process.communicate()[0]
        figures.append({k: float(v) for k, _, v in
                        (line.partition("=") for line in out.split("\n"))
                        if v})
    total = {}
    for name in figures[0]:
        values = [x.get(name, 0.0) for x in figures]
        total[name] = max(values) if name.endswith("_ms") else sum(values)
    return total


def cpu_s(process):
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_mb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


def url(process):
    return f"http://127.0.0.1:{process.port}"


def both(name, figure, loaders, engine_args, **options):
    fleet, engines, entry = start(*engine_args)
    try:
        direct = load([url(e) for e in engines], loaders, **options)
        before = cpu_s(entry)
        through = load([url(entry)], loaders, **options)
        used = cpu_s(entry) - before
        shown = " ".join(f"{x}: direct={direct.get(x):.3f} "
                         f"through={through.get(x):.3f}" for x in figure)
        print(f"{name}: {shown} failed={through.get('failed')} "
              f"entry_cpu_s={used:.2f}", flush=True)
        return fleet, entry, through, used
    finally:
        fleet.close()


def latency():
    both("added latency, one request at a time",
         ["total_p50_ms", "total_p99_ms"], 1,
         ["--first-token-us", "1000", "--token-us", "0"], concurrency=1,
         tokens=1)
    both("added latency, 1000 requests/s",
         ["total_p50_ms", "total_p99_ms"], 1,
         ["--first-token-us", "1000", "--token-us", "0"], rate=1000, tokens=1)


def requests():
    both("short requests", ["ok_per_s", "total_p50_ms"], LOADERS,
         ["--first-token-us", "0", "--token-us", "0"], concurrency=32,
         tokens=1)


def events():
    both("stream events", ["events_per_s"], LOADERS,
         ["--first-token-us", "0", "--token-us", "0"], concurrency=32,
         tokens=1000, stream=1)


def memory():
    fleet, _, entry = start("--first-token-us", "100000", "--token-us",
                            "1000000")
    try:
        idle = rss_mb(entry)
        command = [f.BINARY, "load", url(entry), "--key", "guild-key",
                   "--concurrency", "2500", "--stream", "1", "--tokens", "60",
                   "--duration-ms", "15000", "--drain-ms", "1"]
        loaders = [subprocess.Popen(command, stdout=subprocess.DEVNULL)
                   for _ in range(4)]
        most = 0
        streams = 0
        for _ in range(28):
            time.sleep(0.5)
            if rss_mb(entry) > most:
                most = rss_mb(entry)
                streams = len(os.listdir(f"/proc/{entry.pid}/fd")) // 2
        for loader in loaders:
            loader.wait()
        print(f"memory: idle={idle:.1f} MB with about {streams} open streams="
              f"{most:.1f} MB", flush=True)
    finally:
        fleet.close()


MEASUREMENTS = {"latency": latency, "requests": requests, "events": events,
                "memory": memory}


def main():
    for name in sys.argv[1:] or MEASUREMENTS:
        MEASUREMENTS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
