"""Stragglers, long requests and overload on a fleet of ten engines."""
import random
import threading
import time

import bench_tools as t
import fleet as f

ENGINES = 10
ENTRIES = 2
POLICIES = ("observed", "random", "round-robin", "least-reported")


class Stragglers:
    """Keeps a number of engines slowed 10x, each for 1 to 5 s."""

    def __init__(self, fleet, engines, count, seed):
        self.fleet = fleet
        self.engines = engines
        self.count = count
        self.random = random.Random(seed)
        self.stop = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stop.set()
        self.thread.join()
        for engine in self.engines:
            self.fleet.fault(engine, slow_factor=1)

    def _run(self):
        until = {}
        while not self.stop.wait(0.05):
            now = time.monotonic()
            until = {e: end for e, end in until.items() if end > now}
            free = [i for i in range(len(self.engines)) if i not in until]
            while len(until) < self.count:
                chosen = self.random.choice(free)
                free.remove(chosen)
                seconds = self.random.uniform(1, 5)
                until[chosen] = now + seconds
                self.fleet.fault(self.engines[chosen], slow_factor=10,
                                 slow_ms=int(seconds * 1000))


def known_policies():
    """The policies that the entry process under test knows."""
    probe = f.subprocess.run([f.BINARY, "entry", "--help"],
                             capture_output=True, text=True)
    return POLICIES if "--route-policy" in probe.stdout else ("default",)


def policy_args(policy):
    if policy == "default":
        return ()
    # The baselines are bare policies: no hedging either.
    hedge = () if policy == "observed" else ("--hedge-share", "0")
    return ("--route-policy", policy, *hedge)


def stragglers(report, quick):
    report.section(
        "Stragglers",
        f"{ENGINES} engines, {ENTRIES} entry processes, load 50% and 80% of "
        "the capacity; none, one or two engines at a time slowed 10x for 1 to "
        "5 s. Extra work is the share of engine runs beyond one per answer.")
    seconds = 4 if quick else 12
    loads = (0.5,) if quick else (0.5, 0.8)
    policies = known_policies()
    p99 = {}
    for policy in policies:
        for share in loads:
            for slowed in (0, 1, 2):
                figures = straggler_run(policy, share, slowed, seconds)
                name = f"{policy}_load{int(share * 100)}_slowed{slowed}"
                p99[policy, share, slowed] = figures["total_p99_ms"]
                for q in ("p50", "p99", "p99.9"):
                    report.figure(f"stragglers_{name}_{q}_ms",
                                  figures[f"total_{q}_ms"],
                                  ("none_slowed_p99_ms",
                                   p99[policy, share, 0]))
                report.figure(f"stragglers_{name}_extra_work",
                              figures["extra_work"], None, "at most 0.05")
                report.figure(f"stragglers_{name}_failed",
                              figures["failed"] + figures["refused"])
    for policy in policies:
        for share in loads:
            report.figure(
                f"stragglers_{policy}_load{int(share * 100)}_p99_ratio",
                p99[policy, share, 1] / p99[policy, share, 0], None,
                "at most 1.3" if policy == "observed" else None)
    report.plot_lines("stragglers", "engines slowed of 10", "p99 in ms", {
        f"{policy} at {int(share * 100)}%": [
            (slowed, p99[policy, share, slowed]) for slowed in (0, 1, 2)]
        for policy in policies for share in loads}, log_y=True)


def straggler_run(policy, share, slowed, seconds):
    fleet, engines, entries = t.start_fleet(ENGINES, ENTRIES,
                                            t.timed_engine_args(),
                                            policy_args(policy))
    try:
        with Stragglers(fleet, engines, slowed, seed=slowed):
            before = t.runs_started(engines)
            figures = t.load(entries, seconds, stream=1, tokens=t.TOKENS,
                             rate=share * ENGINES * t.ENGINE_PER_S,
                             warmup_ms=1000)
            runs = t.runs_started(engines) - before
    finally:
        fleet.close()
    figures["extra_work"] = runs / max(figures["started"], 1) - 1
    return figures


def long_requests(report, quick):
    report.section(
        "Long beside short",
        "Load of 60% of the capacity in tokens; 5% of the requests are 50 "
        "times longer, and their length shows in max_tokens. The baseline has "
        "the same rate of short requests and no long ones.")
    seconds = 4 if quick else 15
    # A long answer takes 50 times the tokens, so it weighs by its time.
    long_ms = t.FIRST_TOKEN_MS + t.TOKEN_MS * (t.TOKENS * 50 - 1)
    mean_ms = 0.95 * t.SERVICE_MS + 0.05 * long_ms
    rate = 0.6 * ENGINES * t.ENGINE_SLOTS * 1000 / mean_ms
    fleet, _, entries = t.start_fleet(ENGINES, ENTRIES, t.timed_engine_args())
    try:
        common = {"stream": 1, "tokens": t.TOKENS, "warmup_ms": 500}
        alone = t.load(entries, seconds, rate=0.95 * rate, **common)
        mixed = t.load(entries, seconds, rate=rate, long_share=0.05,
                       drain_ms=30000, **common)
    finally:
        fleet.close()
    for q in ("p50", "p99"):
        report.figure(f"short_beside_long_{q}_ms",
                      mixed[f"short_total_{q}_ms"],
                      ("short_alone_ms", alone[f"total_{q}_ms"]))
    report.figure("short_beside_long_p99_ratio",
                  mixed["short_total_p99_ms"] / alone["total_p99_ms"], None,
                  "at most 1.2")
    report.figure("long_p99_ms", mixed["long_total_p99_ms"],
                  ("long_at_full_speed_ms", long_ms))
    report.figure("long_failed", mixed["long_failed"] + mixed["long_refused"])


def overload(report, quick):
    report.section(
        "Overload",
        "Twice the capacity offered, refused requests resent up to 3 times; "
        "then half of the engine calls failing at 50% load, marked as not run "
        "and unmarked; then how long "
        "after the overload until p99 is back within 1.5 times the one before.")
    seconds = 4 if quick else 10
    capacity = ENGINES * t.ENGINE_PER_S
    fleet, engines, entries = t.start_fleet(ENGINES, ENTRIES,
                                            t.timed_engine_args())
    common = {"stream": 1, "tokens": t.TOKENS}
    try:
        calm = t.load(entries, seconds / 2, rate=0.5 * capacity, **common)
        over = t.load(entries, seconds, rate=2 * capacity, resend=3,
                      warmup_ms=1000, timeout_ms=10000, **common)
        recovery = recovery_s(entries, calm["total_p99_ms"], capacity, common)
        failing = {}
        for name, fault in (("marked", "fail_rate"),
                            ("unmarked", "error_rate")):
            failing[name] = failing_load(fleet, engines, entries, fault,
                                         seconds, capacity, common)
    finally:
        fleet.close()
    report.figure("overload_goodput_per_s", over["ok_per_s"],
                  ("capacity_per_s", capacity),
                  f"at least {0.9 * capacity:.0f}")
    report.figure("overload_goodput_share", over["ok_per_s"] / capacity, None,
                  "at least 0.9")
    report.figure("overload_p99_ms", over["total_p99_ms"],
                  ("calm_p99_ms", calm["total_p99_ms"]))
    report.figure("overload_refused", over["refused"])
    report.figure("overload_failed", over["failed"])
    report.figure("recovery_s", recovery, None, "seconds")
    for name, figures in failing.items():
        report.figure(f"failing_engines_{name}_ok_share",
                      figures["ok"] / max(figures["sent"], 1), None,
                      "at least 0.9")
        report.figure(f"failing_engines_{name}_runs_per_request",
                      figures["runs"] / max(figures["sent"], 1))


def failing_load(fleet, engines, entries, fault, seconds, capacity, common):
    """Load while half of the calls fail, before or after they run."""
    before = t.runs_started(engines)
    for engine in engines:
        fleet.fault(engine, **{fault: 0.5})
    figures = t.load(entries, seconds, rate=0.5 * capacity, **common)
    for engine in engines:
        fleet.fault(engine, **{fault: 0})
    figures["runs"] = t.runs_started(engines) - before
    return figures


def recovery_s(entries, calm_p99_ms, capacity, common):
    start = time.monotonic()
    while time.monotonic() - start < 20:
        figures = t.load(entries, 0.5, rate=0.5 * capacity, **common)
        if (figures["ok"] == figures["sent"] and
                figures["total_p99_ms"] <= 1.5 * calm_p99_ms):
            break
    return time.monotonic() - start
