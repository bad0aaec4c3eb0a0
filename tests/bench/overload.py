#!/usr/bin/env python3
"""Long requests beside short ones, twice the capacity, and failing calls.

Prints one line per run. Arguments: names of measurements (default all).
"""
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import stragglers as s  # noqa: E402
import fleet as f  # noqa: E402

SECONDS = int(os.environ.get("BENCH_SECONDS", "10"))


def run(name, shown, entry_args=(), fault=None, **options):
    fleet = f.Fleet()
    try:
        fleet.start_platform()
        engines = [fleet.start_engine(f"muse-{i}", "guild", "lantern-muse",
                                      "old-town", "--slots", str(s.SLOTS),
                                      "--seed", str(i + 1))
                   for i in range(s.ENGINES)]
        fleet.put_object("config/production", json.dumps(f.sample_document()))
        fleet.publish_vms()
        entry = fleet.start_entry("entry-1", "old-town", *entry_args)
        f.wait_for(lambda: f.chat(entry, "guild-key", "lantern-muse",
                                  "warm up").status == 200, "a first answer")
        time.sleep(1.5)
        for engine in engines:
            fleet.fault(engine, **(fault or {}))
        figures, result = s.load(entry, key="guild-key", warmup_ms=2000,
                                 duration_ms=(SECONDS + 2) * 1000, seed=7,
                                 tokens=s.TOKENS, **options)
        metrics = {x: s.metric(entry, f"wasabilink_online_{x}_total")
                   for x in ("requests", "retries", "hedges", "refused")}
        print(name, " ".join(f"{k}={figures.get(k)}" for k in shown), metrics,
              result.stderr, flush=True)
    finally:
        fleet.close()


def long():
    shown = ["ok", "failed", "total_p50_ms", "total_p99_ms",
             "short_p50_ms", "short_p99_ms", "short_total_p99_ms",
             "long_p99_ms", "long_total_p99_ms"]
    # 5% of the requests 50 times longer bring the mean to 3.45 times.
    for percent in (50, 80):
        rate = s.CAPACITY * percent / 100
        run(f"load={percent}% without long:", shown, rate=int(rate), stream=1)
        run(f"load={percent}% 5% long:", shown, rate=int(rate / 3.45),
            stream=1, long_share=0.05, long_factor=50)


def overload():
    shown = ["ok", "refused", "failed", "ok_per_s", "total_p50_ms",
             "total_p99_ms", "resent"]
    run("load=100% of the places, closed:", shown, concurrency=80, stream=1)
    run("load=200%:", shown, rate=int(2 * s.CAPACITY), stream=1)
    run("load=200%, up to 2 resends:", shown, rate=int(2 * s.CAPACITY),
        stream=1, resend=2)
    failing()


def failing():
    shown = ["sent", "ok", "refused", "failed", "total_p50_ms", "total_p99_ms"]
    for name, fault in (("marked as not run", "fail_rate"),
                        ("without a mark", "error_rate")):
        run(f"load=50%, half of the calls fail, {name}:", shown,
            rate=int(s.CAPACITY / 2), stream=1, fault={fault: 0.5})


MEASUREMENTS = {"long": long, "overload": overload, "failing": failing}


def main():
    for name in sys.argv[1:] or MEASUREMENTS:
        MEASUREMENTS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
