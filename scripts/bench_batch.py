"""Batch beside online: the online tail with and without a batch job."""
import time

import bench_tools as t
import demo_batch as batch
import fleet as f

ENGINES = 6
ENTRIES = 2
ONLINE_SHARE = 0.4


def run(report, quick):
    report.section(
        "Batch beside online",
        f"{ENGINES} engines, online load {int(ONLINE_SHARE * 100)}% of the "
        "capacity; the baseline has no batch. Batch throughput is compared "
        "with the capacity that the online load leaves idle, at the engines' "
        "full speed.")
    seconds = 5 if quick else 15
    capacity = ENGINES * t.ENGINE_PER_S
    fleet, engines, entries = t.start_fleet(ENGINES, ENTRIES,
                                            t.timed_engine_args())
    online = {"rate": ONLINE_SHARE * capacity, "stream": 1,
              "tokens": t.TOKENS}
    try:
        alone = t.load(entries, seconds, **online)
        # More than the idle capacity can do in the time of the run.
        count = int(2 * capacity * seconds)
        file_id = batch.upload(entries[0], [
            batch.item(i, f"card {i}", max_tokens=t.TOKENS)
            for i in range(count)])
        job = batch.create(entries[0], file_id, "bench")
        f.wait_for(lambda: batch_runs(engines) > 0, "the batch to start")
        before, start = batch_runs(engines), time.monotonic()
        beside = t.load(entries, seconds, **online)
        rate = (batch_runs(engines) - before) / (time.monotonic() - start)
        batch.cancel(entries[0], job)
    finally:
        fleet.close()
    for q in ("p50", "p99", "p99.9"):
        report.figure(f"online_beside_batch_{q}_ms", beside[f"total_{q}_ms"],
                      ("online_alone_ms", alone[f"total_{q}_ms"]))
    report.figure("online_beside_batch_p99_ratio",
                  beside["total_p99_ms"] / alone["total_p99_ms"], None,
                  "at most 1.1")
    report.figure("online_beside_batch_failed",
                  beside["failed"] + beside["refused"])
    idle = (1 - ONLINE_SHARE) * capacity
    report.figure("batch_items_per_s", rate, ("idle_capacity_per_s", idle))
    report.figure("batch_share_of_idle_capacity", rate / idle, None,
                  "at least 0.85")


def batch_runs(engines):
    """Different items that engines have begun."""
    total = 0
    for engine in engines:
        runs = f.request(engine.port, "GET", "/engine/runs?by=work").json()
        total += sum(1 for work in runs if "\ncard " in work)
    return total
