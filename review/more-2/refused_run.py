"""A runner fails some requests that it has run, and says so by a status."""
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import standins as s  # noqa: E402

RUNNERS = 7
FAILING = 1  # of 7: the share of srv_grey, 0.15
FAILED_SHARE = 0.4
SEED = 1
CLIENTS = 6
LENGTH_S = 12
DEADLINE_S = 5
RETRIES = 1


class FailingRunner(s.Runner):
    """Runs each request that it takes; fails some of them afterwards, without
    Not-Run."""
    draw = random.Random(SEED)
    fails = False
    guard = threading.Lock()
    ran = {}  # request -> [(runner, status)]

    def answer(self, handler, request, after, body):
        time.sleep(self.gap_s)
        with self.guard:
            failed = (s.TROUBLE and self.fails and
                      self.draw.random() < FAILED_SHARE)
            status = 503 if failed else 200
            self.ran.setdefault(request, []).append((self.id, status))
        text = b"failed" if failed else b"coat laid"
        handler.head(status, ("Request-Id", request),
                     ("Response-Stamp", f"{self.id}.{self.total}"),
                     ("Content-Type", "text/plain"),
                     ("Server-Load", f"{self.running},0,8,100"),
                     ("Content-Length", str(len(text))))
        handler.wfile.write(text)
        return f"has run, {status}"


class Client:
    """Sends pieces of work; a new client attempt has a new id. An unsafe
    request is sent again only after a promise that it has not run."""
    answers = {}  # request -> status
    work = {}  # piece of work -> requests

    def __init__(self, gateways, record, number, end):
        self.gateways, self.record = gateways, record
        self.number, self.end = number, end

    def run(self):
        piece = 0
        while time.monotonic() < self.end:
            piece += 1
            self.send(f"note-{self.number}-{piece}")
            time.sleep(0.05)

    def send(self, work):
        for attempt in range(1 + RETRIES):
            gateway = self.gateways[(self.number + attempt) %
                                    len(self.gateways)]
            request = f"{work}.{attempt}"
            self.work.setdefault(work, []).append(request)
            status, headers, _ = s.try_call(
                gateway, "POST", "/glaze/a",
                {"Request-Id": request,
                 "Deadline-Ms": str(DEADLINE_S * 1000)}, work.encode())
            self.answers[request] = status
            self.record(f"{request} sent to {gateway.name}: {status}")
            if status not in (429, 503):
                return
            time.sleep(float(headers.get("Retry-After", 0)))


def main():
    record = s.Record(os.path.join(HERE, "record.txt"))
    store = s.Store()
    s.write_config(store, record, 5, [
        s.route("glaze-note", "/glaze/", "unsafe", max_attempts=2,
                timeout_ms=5000)])
    runners = [FailingRunner(store, record, i) for i in range(RUNNERS)]
    for runner in runners[:FAILING]:
        runner.fails = True
    gateways = s.start(store)
    end = time.monotonic() + LENGTH_S
    threads = [threading.Thread(target=Client(gateways, record, i, end).run)
               for i in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    ran = FailingRunner.ran
    faults = [f"REFUSED: {request} was answered {status} and has run at "
              f"{ran[request][0][0]}"
              for request, status in Client.answers.items()
              if status in (408, 421, 429, 503) and request in ran]
    twice = [work for work, requests in Client.work.items()
             if sum(len(ran.get(r, [])) for r in requests) > 1]
    record(f"{len(Client.answers)} requests; {len(twice)} pieces of work ran "
           f"twice, as their clients took 503 for a promise")
    s.finish(record, faults)


main()
