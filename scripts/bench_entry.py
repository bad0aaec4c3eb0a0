"""One entry process beside a direct connection to the engines."""
import time

import bench_tools as t

ROUNDS = 5
# One descriptor to the caller and one to the engine for each stream.
STREAMS = 9900


def run(report, quick):
    report.section(
        "Entry process beside a direct connection",
        "One entry process and engines that take no time. Direct and relayed "
        "runs alternate, and the median round counts. Figures per CPU second "
        "count the entry process's own CPU time, so they do not depend on how "
        "busy the machine is.")
    seconds = 1 if quick else 3
    fleet, engines, (entry,) = t.start_fleet(3, 1, t.fast_engine_args())
    try:
        latency(report, engines, entry, seconds)
        rate(report, engines, entry, seconds)
        events(report, engines, entry, seconds)
    finally:
        fleet.close()
    memory(report, 2000 if quick else STREAMS)


def latency(report, engines, entry, seconds):
    rounds = []
    for seed in range(ROUNDS):
        common = {"rate": 1000, "tokens": 1, "seed": seed, "warmup_ms": 300}
        rounds.append((t.load(engines, seconds, **common),
                       t.load([entry], seconds, **common)))
    for name, target in (("p50", 0.15), ("p99", 0.5)):
        key = f"total_{name}_ms"
        direct = t.median([r[0][key] for r in rounds])
        relayed = t.median([r[1][key] for r in rounds])
        added = t.median([r[1][key] - r[0][key] for r in rounds])
        report.figure(f"relayed_latency_{name}_ms", relayed,
                      ("direct_ms", direct))
        report.figure(f"added_latency_{name}_ms", added,
                      ("direct_ms", direct), f"below {target}")


def rate(report, engines, entry, seconds):
    common = {"concurrency": 64, "tokens": 1, "warmup_ms": 300}
    direct = t.load(engines, seconds, **common)
    before = t.cpu_s(entry)
    relayed = t.load([entry], seconds, **common)
    cpu = t.cpu_s(entry) - before
    report.figure("short_requests_per_s", relayed["ok_per_s"],
                  ("direct_per_s", direct["ok_per_s"]), "20000")
    report.figure("short_requests_per_cpu_s", relayed["sent"] / max(cpu, 0.01))


def events(report, engines, entry, seconds):
    common = {"concurrency": 48, "tokens": 20000, "stream": 1,
              "drain_ms": 200, "warmup_ms": 300}
    direct = t.load(engines, seconds, **common)
    before = t.cpu_s(entry)
    relayed = t.load([entry], seconds, **common)
    cpu = t.cpu_s(entry) - before
    total = relayed["events_per_s"] * relayed["seconds"]
    report.figure("relayed_events_per_s", relayed["events_per_s"],
                  ("direct_per_s", direct["events_per_s"]), "500000")
    report.figure("relayed_events_per_cpu_s", total / max(cpu, 0.01))


def memory(report, streams):
    """Resident memory while the streams are open, one event in 4 s each."""
    fleet, _, (entry,) = t.start_fleet(4, 1, (
        "--slots", "100000", "--max-running", "100000", "--token-us",
        "4000000", "--first-token-us", "100000", "--prefill-us", "0",
        "--count-runs=false"))
    try:
        idle = t.rss_mb(entry)
        load = t.start_load([entry], 12, concurrency=streams, stream=1,
                            tokens=100, drain_ms=1)
        time.sleep(9)
        open_mb = t.rss_mb(entry)
        figures = t.finish_load(load)
    finally:
        fleet.close()
    report.figure("open_streams", figures["unfinished"])
    report.figure("memory_with_open_streams_mb", open_mb, ("idle_mb", idle),
                  "below 64 with 10000")
    report.figure("memory_per_stream_kb",
                  (open_mb - idle) * 1024 / max(figures["unfinished"], 1))
