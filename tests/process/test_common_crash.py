#!/usr/bin/env python3
"""Tests gateways whose runners all end at one moment, with no request at
fault."""
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

FIRST = "a1:100"  # the instructions that all requests share
ITEMS = 24
CALLERS = 4  # for each gateway
BEFORE_S = 1.0
DOWN_S = 2.0
# Until requests are served again once the runners are back: the wait for a
# trial that was sent while they were down, and one run.
BACK_S = 5.0
SERVED_S = 2.0


class CommonCrashTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(1))
        self.runners = [s.Runner(self.store, f"r{i}") for i in range(3)]
        for runner in self.runners:
            runner.prompt_s = 0.25
            runner.down_s = DOWN_S
        self.gateways = [s.Gateway(self.store, f"common-g{i}")
                         for i in range(2)]
        for gateway in self.gateways:
            f.wait_for(gateway.is_ready, f"{gateway.name} ready")

    def tearDown(self):
        for each in self.gateways + self.runners + [self.store]:
            each.close()

    def crash_all(self):
        for runner in self.runners:
            runner.crash()

    def call(self, gateway, method, path, request, body=b""):
        return f.request(gateway.port, method, path, body, {
            "Host": s.HOST, "Request-Id": request, "Deadline-Ms": "4000",
            "Prompt-Prefix": f"{FIRST},{hash(request) & 0xffffff:x}:20"})

    def load(self, gateway, name, end, answers):
        number = 0
        while time.monotonic() < end:
            number += 1
            started = time.monotonic()
            try:
                status = self.call(gateway, "POST", "/once/a",
                                   f"{name}-{number}").status
            except (OSError, http.client.HTTPException):
                status = 0
            answers.append((started, status))
            time.sleep(0.02)

    def test_online_requests(self):
        """Guards against sound requests that are refused for a minute as they
        share a part with all that were lost."""
        answers = []
        began = time.monotonic()
        back = began + BEFORE_S + DOWN_S + BACK_S
        threads = [threading.Thread(
            target=self.load,
            args=(g, f"{g.name}-{i}", back + SERVED_S, answers))
            for g in self.gateways for i in range(CALLERS)]
        for thread in threads:
            thread.start()
        time.sleep(BEFORE_S)
        self.crash_all()
        for thread in threads:
            thread.join()
        late = [status for started, status in answers if started > back]
        self.assertGreater(len(late), 2 * CALLERS)
        self.assertEqual([status for status in late if status != 200], [])

    def submit(self, gateway, job):
        body = {"items": [
            {"id": f"{job}-{i}", "path": "/batch/x",
             "headers": {"Prompt-Prefix": f"{FIRST},{job}{i:x}:9"},
             "body": base64.b64encode(b"b").decode(), "tokens": 10}
            for i in range(ITEMS)]}
        answer = self.call(gateway, "POST", f"/batch/{job}", job,
                           json.dumps(body).encode())
        self.assertEqual(answer.status, 202)

    def results(self, gateway, job):
        answer = self.call(gateway, "GET", f"/api/lots/{job}?after=0", job)
        return answer.json().get("results", []) \
            if answer.status == 200 else []

    def test_items(self):
        """The same for batch items, which must be done."""
        jobs = list(zip(self.gateways, ("e1", "e2")))
        for gateway, job in jobs:
            self.submit(gateway, job)
        time.sleep(0.4)
        self.assertLess(sum(len(self.results(*job)) for job in jobs),
                        ITEMS * len(jobs))
        self.crash_all()
        for job in jobs:
            f.wait_for(lambda: len(self.results(*job)) == ITEMS,
                       "the items' results",
                       timeout_s=DOWN_S + 2 * BACK_S)
            self.assertEqual({r["state"] for r in self.results(*job)},
                             {"completed"})


if __name__ == "__main__":
    unittest.main()
