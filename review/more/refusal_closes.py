"""Some batch items need much of an engine's memory, so that engines refuse them
while others run. All must be done, also after engines have closed connections
with some of their refusals."""
import json
import os
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import standin as s  # noqa: E402

RECORD = os.path.join(HERE, "record.txt")

# The engines of the site.
READ_TOKENS_PER_MS = 85.2
MEMORY_TOKENS = 106377
SHORT_TOKENS, LONG_TOKENS = 2000, 60000
EVENTS = 30
ITEMS = 12
# "`Connection: close` appears in the responses of a runner that is leaving, and
# occasionally in other responses."
CLOSE_SHARE = float(os.environ.get("CLOSE_SHARE", 0.1))  # of refusals
FINISH_S = 18
CALM_S = 5
SHORT_RUN_S = 1.0  # a run that its sender ends within a second doesn't count


class Engine(s.Runner):
    """Reads a prompt at the engine's rate; admits what fits its memory."""
    used = 0

    def run(self, handler, request, after):
        tokens = int(handler.headers["Token-Usage"].split(",")[0]) + EVENTS
        with self.lock:
            fits = self.used + tokens <= MEMORY_TOKENS
            self.used += tokens if fits else 0
        if not fits:
            closes = self.random.random() < CLOSE_SHARE
            handler.refuse(503, ("Not-Run", "1"), ("Server-Load", self.load()),
                           *([("Connection", "close")] if closes else []))
            return "no_memory" + (" closes" if closes else "")
        started = time.monotonic()
        try:
            self.read(handler, tokens)
            return super().run(handler, request, after)
        finally:
            with self.lock:
                self.used -= tokens
                self.ran.append((request, started, time.monotonic()))

    def read(self, handler, tokens):
        """Stops when the caller closes its connection."""
        end = time.monotonic() + tokens / READ_TOKENS_PER_MS / 1000
        while time.monotonic() < end:
            time.sleep(0.005)
            if is_closed(handler.connection):
                raise OSError("closed")

    def listen(self, address, port):
        self.ran = []
        super().listen(address, port)


def is_closed(connection):
    try:
        return connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def make_long(job):
    """Each second item is long."""
    body = json.loads(job.body)
    for number, item in enumerate(body["items"]):
        tokens = LONG_TOKENS if s.TROUBLE and number % 2 else \
            SHORT_TOKENS
        item["headers"]["Token-Usage"] = f"{tokens},{EVENTS}"
        item["headers"]["Prompt-Prefix"] = (
            f"9c2e41:100,{job.items[number][:8]}:{tokens - 100}")
        item["tokens"] = tokens + EVENTS
    job.body = json.dumps(body).encode()


def main():
    fleet = s.Fleet(RECORD, [s.batch_route()], events=EVENTS, gap_s=0.004,
                    kind=Engine)
    fleet.wait_ready()
    time.sleep(4)
    jobs = [s.Job(fleet.record, n, ITEMS) for n in range(3)]
    for job, gateway in zip(jobs, fleet.gateways):
        make_long(job)
        job.submit(gateway)
    if any(not job.accepted_at for job in jobs):
        fleet.close()
        os._exit(s.UNABLE)
    time.sleep(2)
    fleet.record.write("traffic_ends")
    time.sleep(FINISH_S)
    fleet.record.write("finish_s_over")
    now = time.monotonic()
    had = {request for r in fleet.runners for request, start, end in r.ran
           if end > now - CALM_S and end - start > SHORT_RUN_S}
    recent = [round(end - start, 2) for r in fleet.runners
              for _, start, end in r.ran if end > now - CALM_S]
    full = max(r.requests for r in fleet.runners) * 2 >= s.Runner.SLOTS
    breaks = []
    for job in jobs:
        for number in range(6):
            _, _, results = job.read(fleet.gateways[number % 3],
                                     len(job.results))
            job.note(len(job.results), results, [], "-")
            if job.is_read():
                break
            time.sleep(0.3)
        listed = {result[0] for result in job.results.values()}
        missing = [i for i in job.items if i not in listed]
        if missing and not had.intersection(job.items) and not full:
            runs = sum(request in missing for r in fleet.runners
                       for request, _, _ in r.ran)
            breaks.append(
                f"LOST: {len(missing)} of {len(job.items)} items of job "
                f"{job.id} are not listed {FINISH_S} s after the end of "
                f"traffic; {runs} runs of them")
    fleet.record.write("summary", jobs=len(jobs), jobs_done=sum(
        job.is_read() for job in jobs), last_runs_s=recent)
    fleet.end(breaks)


s.play(main)
