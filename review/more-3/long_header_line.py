"""DENIED: requests inside the limits, with one long header line. Exit codes and
TROUBLE=0 as in the cases."""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin3 as s  # noqa: E402

REQUESTS = 20
DENIED_MAX = 5 + REQUESTS // 500
# Of max_header_bytes, 16,384.
HEADER_BYTES = 9000 if s.TROUBLE else 7000


def case(record):
    store = s.Store(record)
    store.put("config", "main", s.config(7, [
        s.route("/lohu930/", "streaming", max_attempts=1)]))
    runner = s.Runner(store, record, 0, "old-town", 3, 0.01)
    gateway = s.Gateway(store, record, 1, "old-town")
    s.wait_for(gateway.is_ready, 15, "the gateway is ready")
    time.sleep(2)
    statuses = []
    for number in range(REQUESTS):
        parts = ",".join(f"{number * 1000 + i:08x}:10"
                         for i in range(HEADER_BYTES // 12))
        answer = s.http_call((gateway.ip, gateway.port), "POST",
                             b"/lohu930/2f", [
            ("Host", s.HOST), ("Request-Id", f"9c41d07be2a3{number:04x}"),
            ("Model", "m"), ("Token-Usage", "10000,41"),
            ("Prompt-Prefix", parts), ("Deadline-Ms", "5000")], b"prompt")
        statuses.append(answer[0] if answer else None)
        record(f"request {number} with a Prompt-Prefix of {len(parts)} bytes: "
               f"{statuses[-1]}")
    denied = sum(x in range(300, 500) and x not in (408, 421, 429)
                 for x in statuses if x)
    record(f"denied: {denied} of {REQUESTS}; run: {len(runner.ran)}")
    return denied > DENIED_MAX


s.play(os.path.join(os.path.dirname(os.path.abspath(__file__)),
                    "record.txt"), case)
