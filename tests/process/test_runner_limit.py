#!/usr/bin/env python3
"""Tests gateways in front of runners that name a limit of requests."""
import base64
import http.client
import json
import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from gateway_standin import f  # noqa: E402

LIMIT = 2.0  # requests per second
# By the users' rules a runner may get this much in each span, from this time
# on after it first named its limit.
SPAN_S = 4.0
SPAN_REQUESTS = 1.5 * SPAN_S * LIMIT + 5
CONTACT_S = 3.0
LOAD_S = 10.0
CALLERS = 8
GAP_S = 0.05


def most_in_span(times):
    """The largest number of times in a span of SPAN_S."""
    return max((sum(1 for t in times if start <= t < start + SPAN_S)
                for start in times), default=0)


class RunnerLimitTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(1))
        self.runners = [s.Runner(self.store, f"r{i}") for i in range(4)]
        self.gateways = [s.Gateway(self.store, f"limit-g{i}")
                         for i in range(3)]
        for gateway in self.gateways:
            f.wait_for(gateway.is_ready, f"{gateway.name} ready")
        self.lock = threading.Lock()
        self.number = 0
        self.answers = []  # (status, seconds)

    def tearDown(self):
        for each in self.gateways + self.runners + [self.store]:
            each.close()

    def call(self, gateway):
        with self.lock:
            self.number += 1
            request = f"q{self.number}"
        started = time.monotonic()
        try:
            status = f.request(gateway.port, "POST", "/again/a", b"", {
                "Host": s.HOST, "Request-Id": request,
                "Deadline-Ms": "4000"}).status
        except (OSError, http.client.HTTPException):
            status = 0
        with self.lock:
            self.answers.append((status, time.monotonic() - started))

    def load(self, seconds):
        end = time.monotonic() + seconds

        def caller(number):
            while time.monotonic() < end:
                self.call(self.gateways[number % len(self.gateways)])
                time.sleep(GAP_S)

        threads = [threading.Thread(target=caller, args=(i,))
                   for i in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def failures(self):
        """The gateways' log lines about requests that were not served."""
        return "".join(
            line for gateway in self.gateways
            for line in gateway.log().splitlines(keepends=True)
            if "event=try_failed" in line or "event=request_refused" in line)

    def check_limited(self, runners, since):
        for runner in runners:
            times = [t for t in runner.seen_at if t >= since]
            self.assertGreater(len(times), LIMIT)
            self.assertLessEqual(most_in_span(times), SPAN_REQUESTS)

    def test_limit_over_all_nodes(self):
        """Nodes must keep the limit of a runner together, and use it; what it
        does not take goes to other runners."""
        limited = self.runners[:3]
        for runner in limited:
            runner.limit = LIMIT
        since = time.monotonic() + CONTACT_S
        self.load(LOAD_S)
        self.check_limited(limited, since)
        self.assertGreater(len(self.answers), 300)
        self.assertEqual({status for status, _ in self.answers}, {200},
                         self.failures())

    def test_all_runners_limited(self):
        """When no runner may get a request, it must be refused at once as not
        run, and batch items must wait."""
        for runner in self.runners:
            runner.limit = LIMIT
        self.submit("j", 12)
        since = time.monotonic() + CONTACT_S
        self.load(LOAD_S)
        self.check_limited(self.runners, since)
        statuses = [status for status, _ in self.answers]
        self.assertEqual(set(statuses), {200, 503}, self.failures())
        self.assertLess(max(seconds for status, seconds in self.answers
                            if status == 503), 0.5)
        served = {x for r in self.runners for x, _ in r.seen}
        self.assertEqual(statuses.count(200),
                         sum(1 for x in served if x.startswith("q")))

    def test_limit_ends(self):
        """A runner that names no limit any more must be used as before."""
        runner = self.runners[0]
        runner.limit = LIMIT
        self.load(3)
        runner.limit = None
        time.sleep(1)
        before = len(runner.seen_at)
        self.load(3)
        self.assertGreater(len(runner.seen_at) - before, 4 * 3 * LIMIT)

    def submit(self, job, items):
        body = {"items": [
            {"id": f"{job}-{i}", "path": "/batch/x", "headers": {},
             "body": base64.b64encode(b"b").decode(), "tokens": 10}
            for i in range(items)]}
        answer = f.request(
            self.gateways[0].port, "POST", "/batch/" + job,
            json.dumps(body).encode(),
            {"Host": s.HOST, "Request-Id": job, "Deadline-Ms": "4000"})
        self.assertEqual(answer.status, 202)


if __name__ == "__main__":
    unittest.main()
