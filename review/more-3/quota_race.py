"""QUOTA: batch jobs that are submitted at the same moment, at three nodes. With
TROUBLE=0 they are submitted one after the other. Exit codes as in the cases."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin3 as s  # noqa: E402

ZONES = ("old-town", "thu-bon", "cam-kim")
CAP = 200000
JOBS, ITEMS, TOKENS = 30, 10, 940
ALLOWED = CAP * (1 + s.BOUNDS["quota_overage"])


def case(record):
    store = s.Store(record)
    store.put("config", "main", s.config(7, [
        s.route("/pule252/", "batch", target_latency_ms=400,
                completion_target_ms=18000, max_attempts=3, retention_s=60,
                cap=CAP)]))
    # Slow enough that no item is finished meanwhile.
    runners = [s.Runner(store, record, i, ZONES[i % 3], 40, 0.5)
               for i in range(3)]
    gateways = [s.Gateway(store, record, i + 1, zone)
                for i, zone in enumerate(ZONES)]
    for gateway in gateways:
        s.wait_for(gateway.is_ready, 15, f"{gateway.name} is ready")
    time.sleep(2)
    statuses = []

    def submit(number):
        body = s.batch_job([f"e5b2907c{number:04x}{i:04x}"
                            for i in range(ITEMS)])
        statuses.append(s.submit(gateways[number % 3], record,
                                 f"7c41e09b52d6{number:04x}", body,
                                 b"/pule252/7c41e0"))

    first = int(CAP * 0.45) // (ITEMS * TOKENS)
    for number in range(first):
        submit(number)
    time.sleep(4)  # all nodes have read these
    threads = [threading.Thread(target=submit, args=(first + i,))
               for i in range(JOBS)]
    for thread in threads:
        thread.start()
        if not s.TROUBLE:
            thread.join()
    for thread in threads:
        thread.join()
    tokens = statuses.count(202) * ITEMS * TOKENS
    record(f"accepted: {statuses.count(202)} of {len(statuses)} jobs, {tokens} "
           f"tokens that no runner has finished; allowed: {ALLOWED:.0f}; "
           f"statuses: {sorted(set(statuses), key=str)}")
    if not runners[0].ran:
        raise RuntimeError("no item was run")
    return tokens > ALLOWED


s.play(os.path.join(os.path.dirname(os.path.abspath(__file__)),
                    "record.txt"), case)
