"""Some runners hand out wrong bytes for a while."""
import base64
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import standins as s  # noqa: E402

RUNNERS = 5
# The largest dose of `garble` on the users' pages: share = 0.6, x = 0.2.
SPOILING = 3  # of 5 runners
SPOILED_SHARE = 0.2  # of their answers at most, drawn at random
SEED = 1
JOBS = 16
ITEMS = 200  # the most that a job may have
EVENTS = 6
WRONG = b"\xff\xfe\x80"  # no text in UTF-8
LIMIT_S = 60


class SpoilingRunner(s.Runner):
    """Spoils bytes of one event of the answers that are drawn. All runs after
    that are sound."""
    draw = random.Random(SEED)
    spoils = False
    answers = 0
    own_spoiled = 0
    spoiled = {}  # item -> runners

    def answer(self, handler, request, after, body):
        with self.lock:
            self.answers += 1
            spoil = (s.TROUBLE and self.spoils and
                     self.draw.random() < SPOILED_SHARE and
                     self.own_spoiled + 1 <= SPOILED_SHARE * self.answers)
            self.own_spoiled += spoil
            if spoil:
                self.spoiled.setdefault(request, []).append(self.id)
        if not spoil:
            return super().answer(handler, request, after, body)
        self.begin(handler, request)
        for number in range(after + 1, self.events + 1):
            time.sleep(self.gap_s)
            raw = self.event(request, number)
            if number == (after + 1 + self.events) // 2:
                raw = raw.replace(b"piece", b"pi" + WRONG)
            self.send(handler, raw)
        self.end(handler)
        return "complete, with wrong bytes"


def main():
    record = s.Record(os.path.join(HERE, "record.txt"))
    store = s.Store()
    s.write_config(store, record, 5, [
        s.route("counter-motif", "/motif/", "streaming", max_attempts=1),
        s.batch_route()])
    runners = [SpoilingRunner(store, record, i, events=EVENTS, gap_s=0.02)
               for i in range(RUNNERS)]
    for runner in runners[:SPOILING]:
        runner.spoils = True
    gateways = s.start(store)
    jobs = [f"job{n}" for n in range(JOBS)]
    began = time.monotonic()
    for number, job in enumerate(jobs):
        items = [{"id": f"{job}-{i}", "path": "/lots/x",
                  "headers": {"Model": "m", "Token-Usage": "100,6"},
                  "body": base64.b64encode(b"sheet %d" % i).decode(),
                  "tokens": 106} for i in range(ITEMS)]
        first = number % len(gateways)
        if not s.submit(gateways[first:] + gateways[:first], record, job,
                        items):
            s.not_run(record, "a job was not accepted")
    pages = {}
    while time.monotonic() - began < LIMIT_S:
        time.sleep(1)
        for job in jobs:
            if len(pages.get(job, [])) < ITEMS:
                pages[job] = s.read(gateways[0], job)[0] or []
        if all(len(pages[job]) == ITEMS for job in jobs):
            break
    faults = []
    for job, results in pages.items():
        states = [r["state"] for r in results]
        record(f"{job}: {states.count('completed')} completed, "
               f"{states.count('dead_letter')} dead_letter of {ITEMS}")
        for result in results:
            name = result["id"]
            if result["state"] == "completed":
                if result["output"] != runners[0].output(name):
                    faults.append(f"MIXED: {name} is completed with another "
                                  f"output")
                continue
            by = SpoilingRunner.spoiled.get(name, [])
            faults.append(
                f"MIXED: {name} is listed as {result['state']} "
                f"{time.monotonic() - began:.0f} s after its job was sent; "
                f"answers of 500: 0, of 422: 0, answers with wrong bytes: "
                f"{len(by)} ({', '.join(by)})")
    answers = sum(r.answers for r in runners[:SPOILING])
    spoiled = sum(len(by) for by in SpoilingRunner.spoiled.values())
    record(f"{spoiled} of {answers} answers of {SPOILING} of {RUNNERS} "
           f"runners had wrong bytes")
    s.finish(record, faults)


main()
