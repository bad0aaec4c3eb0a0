#!/usr/bin/env python3
"""Batch beside bursts of online load, by the reserve that batch leaves free.

Four engines of eight slots, two entry processes if not told otherwise. Online load is 30% of the
capacity and 80% in bursts. Prints one line per run: the online latency, its
p99 against the run without batch of the same round, and the items completed
as a share of the idle capacity. Arguments: names of reserves (default all),
then options pattern=steady|short|long, rounds=N, seconds=N, entries=N.
"""
import os
import re
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import bench_tools as t  # noqa: E402
import demo_batch as batch  # noqa: E402
import fleet as f  # noqa: E402

ENGINES = 4
CALM, BURST = 0.3, 0.8
# Slower tokens than in scripts/bench, so that a busy machine disturbs less.
SLOTS, FIRST_US, TOKEN_US = 8, 20000, 5000
CAPACITY = ENGINES * SLOTS / ((FIRST_US + (t.TOKENS - 1) * TOKEN_US) / 1e6)
# Length of a burst and of its period in ms.
PATTERNS = {"steady": (0, 4000), "short": (1500, 4000), "long": (4000, 10000)}


RESERVES = {
    "no-batch": ("--batch-policy", "off"),
    "none": (),
    "fixed-1": ("--batch-reserve", "1"),
}


def completed(entries):
    total = 0
    for entry in entries:
        text = f.request(entry.operator_port, "GET", "/metrics").body.decode()
        total += sum(int(n) for n in re.findall(
            r"^wasabilink_batch_items_completed_total\S* (\d+)$", text, re.M))
    return total


def run(reserve, pattern, seconds, count):
    burst_ms, every_ms = PATTERNS[pattern]
    fleet, _, entries = t.start_fleet(
        ENGINES, count,
        ("--slots", str(SLOTS), "--first-token-us", str(FIRST_US),
         "--token-us", str(TOKEN_US), "--prefill-us", "0"),
        RESERVES[reserve])
    try:
        if reserve != "no-batch":
            file_id = batch.upload(entries[0], [
                batch.item(i, f"card {i}", max_tokens=t.TOKENS)
                for i in range(int(1.2 * CAPACITY * (seconds + 3)))])
            batch.create(entries[0], file_id, "bench")
            f.wait_for(lambda: completed(entries) > 200, "the batch to run")
        before, start = completed(entries), time.monotonic()
        figures = t.load(entries, seconds, rate=CALM * CAPACITY, stream=1,
                         burst_rate=BURST * CAPACITY, burst_ms=burst_ms,
                         burst_every_ms=every_ms, tokens=t.TOKENS, seed=7)
        rate = (completed(entries) - before) / (time.monotonic() - start)
    finally:
        fleet.close()
    idle = 1 - CALM - (BURST - CALM) * burst_ms / every_ms
    return figures, rate / (idle * CAPACITY)


def main():
    options = dict(a.split("=") for a in sys.argv[1:] if "=" in a)
    reserves = [a for a in sys.argv[1:] if "=" not in a] or list(RESERVES)
    pattern = options.get("pattern", "short")
    seconds = float(options.get("seconds", PATTERNS[pattern][1] / 500))
    count = int(options.get("entries", 2))
    for number in range(int(options.get("rounds", 3))):
        alone_ms, _ = run("no-batch", pattern, seconds, count)
        alone_ms = alone_ms["total_p99_ms"]
        for reserve in reserves:
            if reserve == "no-batch":
                continue
            figures, share = run(reserve, pattern, seconds, count)
            p99_ms = figures["total_p99_ms"]
            print(f"pattern={pattern} entries={count} round={number} "
                  f"reserve={reserve} "
                  f"p50_ms={figures['total_p50_ms']} p99_ms={p99_ms} "
                  f"alone_p99_ms={alone_ms} ratio={p99_ms / alone_ms:.2f} "
                  f"idle_share={share:.2f} failed={figures['failed']:.0f}",
                  flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
