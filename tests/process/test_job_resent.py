#!/usr/bin/env python3
"""Batch jobs are sent again at several gateways while the store's front closes
all connections, loses answers and executes writes late, and while a gateway
ends or stands still."""
import base64
import collections
import http.client
import itertools
import json
import os
import random
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from gateway_standin import f  # noqa: E402

SEED = int(os.environ.get("SEED", "41"))
GATEWAYS = 4
RUNNERS = 4
ZONES = ("z0", "z1")
JOBS = 6  # of each kind in each round
ITEMS = 5
EVENTS = 8
FAST_GAP_S = 0.002
# A job sent during the trouble runs for a few seconds.
SLOW_GAP_S = 0.15
PREFIX = "/resent/"
CALL_S = 3
# A submission takes a few calls of the store, so some are in progress at any
# moment.
STORE_LATENCY_S = 0.06
LOST_SHARE = 0.25
LATE_S = 3
CUTS = 5  # of each round
CUT_INTERVAL_S = (0.5, 1.0)
RESENDERS = 2  # of each job
RESEND_INTERVAL_S = (0.05, 0.3)
RUNNING_S = 3.5
# Nodes take jobs over after 4 s without a cut, in a second.
TAKEOVER_S = 4.6
FROZEN_S = 6  # longer than a lease
NEW_JOBS_S = 3
COMPLETE_S = 25


class CountingRunner(s.Runner):
    """A runner whose events differ at each run, at all runners."""
    numbers = itertools.count()

    def text(self, number, request=None):
        return f"e{number}.{next(self.numbers)}"


class Job:
    """A batch job, and what its clients have read of it."""

    def __init__(self, name):
        self.id = name
        self.accepted = False
        self.results = {}  # position -> (result, node) of its first read
        self.lock = threading.Lock()
        self.body = json.dumps({"items": [
            {"id": f"{name}-{i}", "path": PREFIX + "x", "headers": {},
             "body": base64.b64encode(b"b%d" % i).decode(), "tokens": 10}
            for i in range(ITEMS)]})

    def submit(self, gateway):
        answer = call(gateway, "POST", PREFIX + self.id, self.body, self.id)
        self.accepted |= answer is not None and answer.status == 202

    def read(self, gateway, after):
        """Returns the answer; None when there is none."""
        was_accepted = self.accepted
        answer = call(gateway, "GET", f"/api/lots/{self.id}?after={after}")
        if answer is None:
            return None
        if answer.status == 404 and was_accepted:
            return {"missing": True, "results": []}
        return answer.json() if answer.status == 200 else None

    def note(self, after, page, node):
        """Returns (kind of fault, text) of what contradicts earlier reads."""
        faults = []
        if page.get("missing"):
            return [("missing", f"{node} does not know {self.id}")]
        if page["total"] != ITEMS:
            faults.append(("total", f"{page['total']} of {self.id} at {node}"))
        with self.lock:
            for position, found in enumerate(page["results"], after):
                result = (found["id"], found["state"], found["output"])
                first, where = self.results.setdefault(position,
                                                       (result, node))
                if first != result:
                    kind = ("other_text" if first[0] == result[0] else
                            "other_item")
                    faults.append((kind, f"position {position} of {self.id}: "
                                   f"{first} at {where}, {result} at {node}"))
                others = [p for p, (r, _) in self.results.items()
                          if r[0] == result[0] and p != position]
                if others:
                    faults.append(("two_positions", f"item {result[0]} is at "
                                   f"{position} ({node}) and {others}"))
        return faults


def call(gateway, method, path, body=None, request="r"):
    """Returns None when there is no answer."""
    try:
        return f.request(gateway.port, method, path, body, {
            "Host": s.HOST, "Request-Id": request}, CALL_S)
    except (OSError, http.client.HTTPException):
        return None


def in_threads(function, arguments):
    threads = [threading.Thread(target=function, args=a, daemon=True)
               for a in arguments]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


class JobResentTest(unittest.TestCase):
    def setUp(self):
        self.draw = random.Random(SEED)
        self.faults = collections.Counter()
        self.texts = []
        self.lock = threading.Lock()
        self.stop_clients = threading.Event()
        self.store = s.Store()
        self.store.random = random.Random(SEED)
        self.store.late_s = LATE_S
        self.store.put("config", "main", s.config(1, s.route(
            PREFIX, "batch", completion_target_ms=18000, retention_s=600,
            max_attempts=3)))
        self.runners = [
            CountingRunner(self.store, f"r{i}", EVENTS, zone=ZONES[i % 2])
            for i in range(RUNNERS)]
        self.gateways = [
            s.Gateway(self.store, f"resent-g{i}", zone=ZONES[i % 2])
            for i in range(GATEWAYS)]
        for gateway in self.gateways:
            f.wait_for(gateway.is_ready, f"{gateway.name} ready")
        self.jobs = []

    def tearDown(self):
        for each in self.gateways + self.runners + [self.store]:
            each.close()

    def note(self, job, after, gateway):
        """Returns the number of results that a read gave."""
        page = job.read(gateway, after)
        if page is None:
            return 0
        faults = job.note(after, page, gateway.name)
        with self.lock:
            for kind, text in faults:
                self.faults[kind] += 1
                self.texts.append(f"{kind}: {text}")
        return len(page["results"])

    def submit_and_read(self, job, number):
        """Accepts a job at one node and reads it at others."""
        job.submit(self.gateways[number % GATEWAYS])
        end = time.monotonic() + COMPLETE_S
        while len(job.results) < ITEMS and time.monotonic() < end:
            number += 1
            self.note(job, len(job.results), self.gateways[number % GATEWAYS])
            time.sleep(0.2)

    def resend(self, job, delay_s, seed):
        """Sends a job again at all nodes, and reads from any position."""
        draw = random.Random(seed)
        time.sleep(delay_s)
        while not self.stop_clients.is_set():
            for gateway in draw.sample(self.gateways, GATEWAYS):
                job.submit(gateway)
                self.note(job, draw.randrange(ITEMS),
                          draw.choice(self.gateways))
                time.sleep(draw.uniform(*RESEND_INTERVAL_S))

    def set_gap(self, gap_s):
        """Runners differ, so the results of a job come in several parts."""
        for number, runner in enumerate(self.runners):
            runner.gap_s = gap_s * (1 + number)

    def cut_often(self):
        for _ in range(CUTS):
            time.sleep(self.draw.uniform(*CUT_INTERVAL_S))
            self.store.cut()

    def busiest_gateway(self):
        def jobs(gateway):
            log = gateway.log()
            return log.count("event=job_adopted") - log.count(
                "event=job_dropped")
        return max(self.gateways, key=jobs)

    def cut_beside_end(self):
        """A gateway ends while it runs jobs. Its last writes may be executed
        after its end. Further cuts come while others take the jobs over."""
        time.sleep(RUNNING_S)
        gateway = self.busiest_gateway()
        self.store.cut()
        gateway.process.kill()
        gateway.process.wait()
        time.sleep(TAKEOVER_S)
        self.cut_often()
        gateway.run()
        f.wait_for(gateway.is_ready, f"{gateway.name} ready")

    def cut_beside_freeze(self):
        """A gateway stands still while it runs jobs, and goes on after others
        have taken them over."""
        time.sleep(RUNNING_S)
        gateway = self.busiest_gateway()
        self.store.cut()
        gateway.process.send_signal(signal.SIGSTOP)
        time.sleep(TAKEOVER_S)
        self.store.cut()
        time.sleep(FROZEN_S - TAKEOVER_S)
        gateway.process.send_signal(signal.SIGCONT)
        self.cut_often()

    def round(self, number, trouble):
        """Jobs are accepted and read. Then they and those of earlier rounds are
        sent again beside the trouble, and others are sent for the first
        time."""
        read, new = ([Job(f"s{SEED}r{number}{kind}{i}") for i in range(JOBS)]
                     for kind in "an")
        in_threads(self.submit_and_read, [(j, i) for i, j in enumerate(read)])
        self.jobs += read
        self.set_gap(SLOW_GAP_S)
        self.store.latency_s = STORE_LATENCY_S
        self.store.lost_share = LOST_SHARE if number else 0.0
        self.stop_clients.clear()
        delays = [*((job, 0) for job in self.jobs),
                  *((job, self.draw.uniform(0, NEW_JOBS_S)) for job in new)]
        clients = threading.Thread(target=in_threads, args=(self.resend, [
            (job, delay_s, self.draw.random())
            for job, delay_s in delays * RESENDERS]))
        self.jobs += new
        clients.start()
        try:
            trouble()
        finally:
            self.stop_clients.set()
            clients.join()
            self.store.latency_s = self.store.lost_share = 0.0
            self.set_gap(FAST_GAP_S)

    def read_all(self, job, gateway):
        """Reads a job from its start at a node, again after each failure."""
        position = 0
        end = time.monotonic() + COMPLETE_S
        while position < ITEMS and time.monotonic() < end:
            count = self.note(job, position, gateway)
            position += count
            if not count:
                time.sleep(0.3)
        if position < ITEMS:
            with self.lock:
                self.faults["incomplete"] += 1
                self.texts.append(f"incomplete: {job.id} has {position} of "
                                  f"{ITEMS} results at {gateway.name}, "
                                  f"{len(job.results)} were read")

    def test_results_keep_their_positions(self):
        """A job that is sent again, while calls of the store have unknown
        outcomes and owners change, must not be run anew: results that were
        read would change, vanish or stand at two positions."""
        for number, trouble in enumerate((self.cut_often, self.cut_beside_end,
                                          self.cut_beside_freeze)):
            self.round(number, trouble)
        accepted = [job for job in self.jobs if job.accepted]
        self.assertEqual(len(accepted), len(self.jobs))
        time.sleep(LATE_S)
        in_threads(self.read_all, itertools.product(accepted, self.gateways))
        for job in accepted:
            states = {r[1] for r, _ in job.results.values()}
            if states != {"completed"}:
                self.faults["state"] += 1
                self.texts.append(f"state: {states} in {job.id}")
        takeovers = sum(g.log().count("event=job_takeover")
                        for g in self.gateways)
        print(f"seed {SEED}: {self.store.cuts} cuts, "
              f"{self.store.unanswered_writes} writes without an answer, "
              f"{self.store.late_writes} executed late, "
              f"{self.store.late_changes} of them valid, "
              f"{takeovers} takeovers tried; logs in "
              f"{s.Gateway.logs}; faults: {dict(self.faults)}")
        self.assertEqual(dict(self.faults), {}, "\n".join(self.texts[:20]))
        self.assertGreater(self.store.unanswered_writes, 0)
        self.assertGreater(self.store.late_writes, 0)
        self.assertGreater(takeovers, 0)


if __name__ == "__main__":
    unittest.main()
