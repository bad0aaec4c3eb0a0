"""Some items are larger than the memory of any runner."""
import base64
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import standins as s  # noqa: E402

KV_TOKENS = 106377  # memory of each runner, as on the sheet
# Items of each job, and the node that gets it first.
JOBS = ((40, 0), (20, 0), (160, 1), (160, 2), (20, 1))
LARGE = 19  # of 400 items: under the share of `poison` on the sheet, 0.05
FINISH_S = 18
CALM_S = 5
FINISHED_S = 3


class SizedRunner(s.Runner):
    """Rejects a request that is larger than its memory as if it were full."""
    served_at = {}  # job -> when a run of it ended last
    busy = {}  # job -> runs now

    def answer(self, handler, request, after, body):
        tokens = sum(map(int, handler.headers["Token-Usage"].split(",")))
        if tokens > KV_TOKENS:
            handler.head(503, ("Request-Id", request), ("Not-Run", "1"),
                         ("Server-Load", f"{self.running},0,8,100"),
                         ("Content-Length", "0"))
            return "503, not run"
        job = request.split("-")[0]
        with s.Record.shared:
            self.busy[job] = self.busy.get(job, 0) + 1
        try:
            super().answer(handler, request, after, body)
        finally:
            with s.Record.shared:
                self.busy[job] -= 1
                self.served_at[job] = time.monotonic()
        return None


def items_of(number):
    """The first items of the first job are large."""
    for i in range(JOBS[number][0]):
        large = s.TROUBLE and number == 0 and i < LARGE
        tokens = "110000,20" if large else "100,20"
        yield {"id": f"job{number}-{i}", "path": "/lots/x",
               "headers": {"Model": "m", "Token-Usage": tokens},
               "body": base64.b64encode(b"sheet %d" % i).decode(),
               "tokens": sum(map(int, tokens.split(",")))}, large


def main():
    record = s.Record(os.path.join(HERE, "record.txt"))
    store = s.Store()
    s.write_config(store, record, 5, [
        s.route("counter-motif", "/motif/", "streaming", max_attempts=1),
        s.batch_route()])
    runners = [SizedRunner(store, record, i, events=6) for i in range(2)]
    gateways = s.start(store)
    small = {}
    for number, (_, first) in enumerate(JOBS):
        made = list(items_of(number))
        job = f"job{number}"
        small[job] = [i["id"] for i, large in made if not large]
        if not s.submit(gateways[first:] + gateways[:first], record, job,
                        [i for i, _ in made]):
            s.not_run(record, "a job was not accepted")
    record("traffic has ended; finish_s begins")
    ended = time.monotonic()
    time.sleep(FINISH_S)
    lost, listed = {}, {}
    while time.monotonic() - ended < 80:
        now = time.monotonic()
        missing = {}
        for job in small:
            results, _ = s.read(gateways[0], job)
            if results is None:
                continue
            listed[job] = {r["id"] for r in results}
            missing[job] = [i for i in small[job] if i not in listed[job]]
        if not any(missing.values()):
            break
        served = SizedRunner.served_at
        running = sum(SizedRunner.busy.values())
        for job, names in missing.items():
            calm = (not SizedRunner.busy.get(job) and
                    now - served.get(job, 0) > CALM_S and
                    running < len(runners) * 4 and
                    now - max(served.values()) > FINISHED_S)
            if names and calm and job not in lost:
                lost[job] = (now - ended, names)
        if len(lost) == len([n for n in missing.values() if n]):
            break
        time.sleep(0.2)
    for job in small:
        done = len([i for i in small[job] if i in listed.get(job, ())])
        record(f"{job}: {done} of {len(small[job])} small items listed "
               f"{time.monotonic() - ended:.0f} s after the traffic")
    s.finish(record, [
        f"LOST: {len(names)} small items of {job} are not listed {after:.0f} "
        f"s after the traffic; no runner had one in the last {CALM_S} s, the "
        f"runners are under half full, and no item has been finished in the "
        f"last {FINISHED_S} s" for job, (after, names) in lost.items()])


main()
