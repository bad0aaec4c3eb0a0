"""The operator removes the route of an open batch job."""
import base64
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import standins as s  # noqa: E402

ITEMS = 60
FINISH_S = 18
CALM_S = 5
RETENTION_S = 60
# More than the 10 s by which the clocks of the nodes may be off.
RETENTION_MARGIN_S = 15


def main():
    record = s.Record(os.path.join(HERE, "record.txt"))
    store = s.Store()
    online = s.route("counter-motif", "/motif/", "streaming",
                     max_attempts=1, timeout_ms=5000)
    s.write_config(store, record, 5, [online, s.batch_route()])
    # An item takes 5 s, so that 24 of 60 run at once.
    runners = [s.Runner(store, record, i, events=50, gap_s=0.1)
               for i in range(3)]
    gateways = s.start(store)
    items = [{"id": f"item-{i:02d}", "path": "/lots/x",
              "headers": {"Model": "m", "Token-Usage": "100,50"},
              "body": base64.b64encode(b"sheet %d" % i).decode(),
              "tokens": 150} for i in range(ITEMS)]
    sent = time.monotonic()
    if not s.submit(gateways, record, "job1", items):
        s.not_run(record, "the job was not accepted")
    time.sleep(2)
    if s.TROUBLE:
        s.write_config(store, record, 9, [online])
    else:
        s.write_config(store, record, 9,
                       [{**online, "timeout_ms": 4000}, s.batch_route()])
    # The end of the traffic, config_apply_ms after the change.
    time.sleep(2)
    record("traffic has ended; finish_s begins")
    ended = time.monotonic()
    busiest, last_run = 0, ended
    # finish_s, and on to the time from which an item may be abandoned.
    until = max(ended + FINISH_S, sent + RETENTION_S + RETENTION_MARGIN_S)
    if not s.TROUBLE:
        until = ended + FINISH_S
    while time.monotonic() < until:
        running = sum(r.running for r in runners)
        if running:
            last_run = time.monotonic()
        busiest = running
        time.sleep(0.1)
    if time.monotonic() - last_run < CALM_S:
        record(f"runners still work, {busiest} now")
        if s.TROUBLE:
            s.not_run(record, "the last 5 s were not calm")
    faults = []
    for gateway in gateways:
        results, total = s.read(gateway, "job1")
        if results is None:
            faults.append(f"{gateway.name} answers {total} for the job")
            continue
        listed = {r["id"] for r in results}
        states = [r["state"] for r in results]
        missing = [i["id"] for i in items if i["id"] not in listed]
        record(f"{gateway.name}: {states.count('completed')} completed, "
               f"{states.count('dead_letter')} dead_letter, "
               f"{len(missing)} of {total} not listed")
        if missing:
            faults.append(
                f"LOST: {gateway.name} lists {len(missing)} of {total} items "
                f"neither as completed nor as dead_letter "
                f"{time.monotonic() - ended:.0f} s after the traffic, "
                f"{time.monotonic() - sent:.0f} s after the job was sent; "
                f"no runner has worked for "
                f"{time.monotonic() - last_run:.0f} s")
    s.finish(record, faults)


main()
