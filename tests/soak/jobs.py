"""Batch jobs of the soak: clients send, read and end them at any gateway, and
check what they are answered."""
import base64
import http.client
import itertools
import json
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import gateway_standin as s
from gateway_standin import f

FIRST_JOBS, MORE_JOBS = 12, 16
MORE_WITHIN_S = 12  # after the start
CLIENTS = 6
SENT_AT = 4  # gateways that get a job at one time
ENDED_EVERY = 4  # one job of so many is ended
RUN_S = 0.3  # pause before an event of the later jobs
# How long gateways in touch may take to know what another one has answered.
CANCEL_S, KNOWN_S = 3, 5
MARKS = itertools.count()


def outputs(events):
    """Whole answers, of either version."""
    return ["\n".join(f"e{i}{end}" for i in range(1, events + 1))
            for end in ("", "v2")]


class Runner(s.Runner):
    """Each run of an item gives another output."""

    def pause_s(self, request):
        return max(self.gap_s, RUN_S * request.startswith("more"))

    def text(self, number, request=None):
        text = super().text(number)
        return (f"{text}#{next(MARKS)}" if request and
                request.startswith(("job", "more")) else text)


class Job:
    """One batch job, sent again until it is accepted and after."""

    def __init__(self, world, name, count, begin_s=0.0, ends=False):
        self.world = world
        self.id = name
        self.begin_s = begin_s
        self.ends = ends
        self.bodies = {f"{name}-{i}": f"body {i} of {name}".encode()
                       for i in range(count)}
        self.lock = threading.Lock()
        self.accepted_at = self.ended_at = None
        self.end_asked = False
        self.results = []  # (result, gateway, time)

    def problem(self, text):
        self.world.problem(f"{time.monotonic() - self.world.started_at:.1f} s, "
                           f"{self.id}: {text}")

    def call(self, gateway, method, path, body=None):
        try:
            return f.request(gateway.port, method, path, body, {
                "Host": s.HOST, "Request-Id": self.id}, timeout_s=4)
        except (OSError, http.client.HTTPException):
            return None

    def submit(self, gateway):
        body = json.dumps({"items": [
            {"id": name, "path": "/batch/x", "headers": {},
             "body": base64.b64encode(content).decode(), "tokens": 10}
            for name, content in self.bodies.items()]}).encode()
        answer = self.call(gateway, "POST", f"/batch/{self.id}", body)
        if answer and answer.status == 202:
            self.accepted_at = self.accepted_at or time.monotonic()
        elif answer and answer.status != 429 and answer.status < 500:
            self.problem(f"{gateway.name} answered {answer.status} to it")

    def must_be_known(self, since):
        """Whether all gateways know by now what was answered at that time."""
        now = time.monotonic()
        return since and since < now - KNOWN_S and self.world.is_calm(
            now - KNOWN_S, now)

    def read(self, gateway, after):
        """Returns how many results there were, or None."""
        known = list(self.results)
        accepted = self.accepted_at
        answer = self.call(gateway, "GET", f"/api/lots/{self.id}?after={after}")
        if not answer or answer.status == 503:
            return None
        if answer.status != 200:
            if accepted:
                self.problem(f"{gateway.name} answered {answer.status} to a "
                             "read")
            return None
        value = answer.json()
        results = value["results"]
        if value["total"] != len(self.bodies):
            self.problem(f"total {value['total']} at {gateway.name}")
        if value["next_token"] != after + len(results):
            self.problem(f"next {value['next_token']} at {gateway.name} after "
                         f"{len(results)} from {after}")
        if not results and after < len(known) and self.must_be_known(
                known[after][2]):
            self.problem(f"{gateway.name} has nothing at {after}")
        for i, result in enumerate(results, after):
            self.note(gateway, i, result)
        return len(results)

    def note(self, gateway, position, result):
        with self.lock:
            if position < len(self.results):
                earlier, at, _ = self.results[position]
                if result != earlier:
                    self.problem(f"position {position} holds {result} at "
                                 f"{gateway.name}, and {earlier} at {at}")
                return
            if result["id"] in [x["id"] for x, _, _ in self.results]:
                self.problem(f"{result['id']} at two positions, {position} at "
                             f"{gateway.name}")
            self.results.append((result, gateway.name, time.monotonic()))

    def read_body(self, gateway, name):
        begin = time.monotonic()
        answer = self.call(gateway, "GET", f"/api/items/{self.id}?id={name}")
        if answer and answer.status == 200:
            if answer.body != self.bodies[name]:
                self.problem(f"body of {name} is {answer.body}")
        elif (answer and answer.status == 404 and not self.end_asked and
              self.must_be_known(self.accepted_at) and
              self.accepted_at < begin and not self.world.ran(name)):
            self.problem(f"{gateway.name} has no body of {name}")

    def end(self, gateway):
        accepted, self.end_asked = self.accepted_at, True
        answer = self.call(gateway, "DELETE", f"/api/lots/{self.id}")
        if answer and answer.status == 200:
            self.ended_at = self.ended_at or time.monotonic()
        elif answer and answer.status < 500 and accepted:
            self.problem(f"{gateway.name} answered {answer.status} to its end")

    def is_done(self):
        return self.accepted_at and (
            self.ended_at or len(self.results) >= len(self.bodies))

    def check(self):
        if not self.accepted_at:
            self.problem("never accepted")
        ids = sorted(x["id"] for x, _, _ in self.results)
        if not self.end_asked and ids != sorted(self.bodies):
            self.problem(f"results {ids} of {len(self.bodies)}")
        for result, _, _ in self.results:
            plain = "\n".join(line.split("#")[0]
                              for line in result["output"].split("\n"))
            if result["state"] == "completed" and plain not in outputs(
                    self.world.runners[0].events):
                self.problem(f"output {result['output']!r}")
        for name, at in [x for r in self.world.runners for x in r.ran_at]:
            if (name in self.bodies and self.ended_at and
                    at > self.ended_at + CANCEL_S and
                    self.world.is_calm(at - CANCEL_S, at)):
                self.problem(f"{name} began {at - self.ended_at:.1f} s after "
                             "the end")


def run_jobs(world, jobs):
    """Sends the jobs, and reads them until they are done."""
    draw = world.job_random
    more = [Job(world, f"more{i}", draw.randint(2, 12),
                draw.uniform(0, MORE_WITHIN_S), i % ENDED_EVERY == 0)
            for i in range(1, MORE_JOBS + 1)]
    first = 0
    while not world.over.is_set():
        if first < FIRST_JOBS:
            first += 1
            jobs.append(Job(world, f"job{first}", world.random.randint(1, 6)))
        for job in list(more):
            if time.monotonic() > world.started_at + job.begin_s:
                more.remove(job)
                jobs.append(job)
        for job in list(jobs):
            gateway = random.choice(world.gateways)
            if not job.accepted_at:
                job.submit(gateway)
            elif not job.is_done():
                job.read(gateway, random.randint(0, len(job.results)))
        time.sleep(0.3)


def are_done(jobs):
    return (len(jobs) == FIRST_JOBS + MORE_JOBS and
            all(job.is_done() for job in jobs))


def send_everywhere(world, job, draw):
    """Sends a job to some gateways at one time."""
    gateways = draw.sample(world.gateways, min(SENT_AT, len(world.gateways)))
    with ThreadPoolExecutor(SENT_AT) as pool:
        list(pool.map(job.submit, gateways))


def run_client(world, jobs, number):
    draw = random.Random(f"client {world.seed} {number}")
    while not world.over.wait(draw.uniform(0.05, 0.4)):
        if not jobs:
            continue
        job, gateway = draw.choice(jobs), draw.choice(world.gateways)
        action = draw.randrange(8)
        if action < 4:
            send_everywhere(world, job, draw)
        elif action < 6:
            job.read(gateway, draw.randint(0, len(job.results)))
        elif action == 6:
            job.read_body(gateway, draw.choice(list(job.bodies)))
        elif job.ends and job.accepted_at:
            job.end(gateway)


def clients(world, jobs):
    return [threading.Thread(target=run_client, args=(world, jobs, i),
                             daemon=True) for i in range(CLIENTS)]


def read_from_start(job, gateway):
    after = failures = 0
    while after < len(job.results) and failures < 10:
        count = job.read(gateway, after)
        after += count or 0
        if not count:
            failures += 1
            time.sleep(0.5)
    if after < len(job.results):
        job.problem(f"only {after} of {len(job.results)} results at "
                    f"{gateway.name}")


def read_all(world, jobs):
    """Once more when nothing disturbs: sends each job again and reads it."""
    gateways = world.gateways[:SENT_AT]
    with ThreadPoolExecutor(8) as pool:
        list(pool.map(lambda job: send_everywhere(
            world, job, world.job_random), jobs))
        list(pool.map(read_from_start, *zip(*[
            (job, gateway) for job in jobs for gateway in gateways])))
