#!/usr/bin/env python3
"""Tail latency with slowed runners, by routing policy.

Ten engine emulators; none, one or two at a time are slowed 10 times for 1 to
5 s, again and again. Prints one line per run. Arguments: policies (default
all), then options seconds=N, loads=50,80, slow=0,1,2, long=SHARE.
"""
import json
import os
import random
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402

ENGINES = 10
SLOTS = 8
TOKENS = 16
TOKEN_US, FIRST_US = 5000, 20000
# Requests per second that fill all slots.
CAPACITY = ENGINES * SLOTS / ((FIRST_US + (TOKENS - 1) * TOKEN_US) / 1e6)
POLICIES = {
    "observed": ["--route-policy", "observed"],
    "observed-no-hedge": ["--route-policy", "observed", "--hedge-share", "0"],
    "random": ["--route-policy", "random", "--hedge-share", "0"],
    "round-robin": ["--route-policy", "round-robin", "--hedge-share", "0"],
    "least-reported": ["--route-policy", "least-reported",
                       "--hedge-share", "0"],
}


def slow_some(fleet, engines, count, stop, rng):
    """Keeps `count` engines slow at any time until stop is set."""
    until = {}
    while not stop.is_set():
        now = time.monotonic()
        until = {e: t for e, t in until.items() if t > now}
        while len(until) < count:
            engine = rng.choice([e for e in range(ENGINES) if e not in until])
            slow_s = rng.uniform(1, 5)
            until[engine] = now + slow_s
            fleet.fault(engines[engine], slow_factor=10,
                        slow_ms=int(slow_s * 1000))
        stop.wait(0.05)


def metric(entry, name):
    text = f.request(entry.operator_port, "GET", "/metrics").body.decode()
    return sum(int(line.rsplit(" ", 1)[1]) for line in text.split("\n")
               if line.startswith(name))


def load(entry, **options):
    command = [f.BINARY, "load", f"http://127.0.0.1:{entry.port}"]
    for name, value in options.items():
        command += [f"--{name.replace('_', '-')}", str(value)]
    result = subprocess.run(command, capture_output=True, text=True,
                            check=False)
    figures = {}
    for line in result.stdout.split("\n"):
        name, _, value = line.partition("=")
        if name:
            figures[name.strip()] = value.strip()
    return figures, result


def run(policy, load_percent, slow, seconds, more):
    fleet = f.Fleet()
    try:
        fleet.start_platform()
        engines = [fleet.start_engine(f"muse-{i}", "guild", "lantern-muse",
                                      "old-town", "--slots", str(SLOTS),
                                      "--seed", str(i + 1))
                   for i in range(ENGINES)]
        fleet.put_object("config/production", json.dumps(f.sample_document()))
        fleet.publish_vms()
        entry = fleet.start_entry("entry-1", "old-town", *POLICIES[policy])
        f.wait_for(lambda: f.chat(entry, "guild-key", "lantern-muse",
                                  "warm up").status == 200, "a first answer")
        time.sleep(1.5)
        stop = threading.Event()
        thread = threading.Thread(target=slow_some, args=(
            fleet, engines, slow, stop, random.Random(slow + 1)))
        thread.start()
        before = metric(entry, "wasabilink_online_requests_total")
        figures, result = load(
            entry, key="guild-key", rate=int(CAPACITY * load_percent / 100),
            duration_ms=(seconds + 2) * 1000, warmup_ms=2000, stream=1,
            tokens=TOKENS, seed=7, **more)
        stop.set()
        thread.join()
        requests = metric(entry, "wasabilink_online_requests_total") - before
        hedges = metric(entry, "wasabilink_online_hedges_total")
        return figures, requests, hedges, result
    finally:
        fleet.close()


def main():
    options = dict(a.split("=") for a in sys.argv[1:] if "=" in a)
    policies = [a for a in sys.argv[1:] if "=" not in a] or list(POLICIES)
    seconds = int(options.get("seconds", 10))
    loads = [int(x) for x in options.get("loads", "50,80").split(",")]
    slows = [int(x) for x in options.get("slow", "0,1,2").split(",")]
    for load_percent in loads:
        for policy in policies:
            for slow in slows:
                figures, requests, hedges, result = run(
                    policy, load_percent, slow, seconds, {})
                shown = " ".join(
                    f"{k}={figures.get(k)}" for k in
                    ("ok", "failed", "total_p50_ms", "total_p99_ms",
                     "total_p99.9_ms", "first_token_p99_ms"))
                extra = 100.0 * hedges / max(requests, 1)
                print(f"load={load_percent}% policy={policy} slow={slow} "
                      f"{shown} extra_work={extra:.1f}%", flush=True)
                if not figures:
                    print(result.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
