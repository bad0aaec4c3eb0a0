#!/usr/bin/env python3
"""Tests requests and batch items that are larger than any runner's memory, which
refuses them as if it were full, beside others."""
import base64
import json
import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from gateway_standin import f  # noqa: E402

MEMORY_TOKENS = 100000
LARGE, SMALL = "110000,20", "100,20"
EVENTS = 4
ITEMS = 60
DONE_S = 20
# Between two large requests.
PAUSE_S = 0.2


class LargeRequestsTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(1))
        self.runners = [s.Runner(self.store, f"r{i}") for i in range(2)]
        self.refused = 0
        self.gateway = s.Gateway(self.store, "large-g0")
        f.wait_for(self.gateway.is_ready, "gateway ready")
        for runner in self.runners:
            runner.script = self.answer
        self.stopping = threading.Event()

    def tearDown(self):
        self.stopping.set()
        for each in [self.gateway, *self.runners, self.store]:
            each.close()

    def answer(self, handler, after):
        tokens = sum(map(int, handler.headers["Token-Usage"].split(",")))
        request = ("Request-Id", handler.headers["Request-Id"])
        if tokens > MEMORY_TOKENS:
            self.refused += 1
            handler.start_answer(503, request, ("Not-Run", "1"),
                                 ("Connection", "close"),
                                 ("Content-Length", "0"))
            return True
        handler.start_answer(
            200, request, ("Response-Stamp", "stamp"),
            ("Content-Type", "text/event-stream"), ("Connection", "close"))
        for number in range(after + 1, EVENTS + 1):
            handler.wfile.write(b"id: %d\ndata: e%d\n\n" % (number, number))
        handler.wfile.flush()
        return True

    def submit(self, job, large):
        items = [{"id": f"{job}-{i}", "path": "/batch/x", "tokens": 10,
                  "headers": {"Token-Usage": LARGE if i < large else SMALL},
                  "body": base64.b64encode(b"x").decode()}
                 for i in range(ITEMS)]
        answer = f.request(
            self.gateway.port, "POST", f"/batch/{job}",
            json.dumps({"items": items}).encode(),
            {"Host": s.HOST, "Request-Id": job})
        self.assertEqual(answer.status, 202)

    def listed(self, job):
        results = []
        while True:
            page = f.request(
                self.gateway.port, "GET",
                f"/api/lots/{job}?after={len(results)}", None,
                {"Host": s.HOST}).json()["results"]
            if not page:
                return len(results)
            results += page

    def send_large(self):
        number = 0
        while not self.stopping.wait(PAUSE_S):
            number += 1
            f.request(self.gateway.port, "POST", "/again/a", b"x",
                      {"Host": s.HOST, "Request-Id": f"large{number}",
                       "Deadline-Ms": "2000", "Token-Usage": LARGE})

    def test_batch_beside_large_online_requests(self):
        """Clients send requests that fit nowhere, all the time. Their refusals
        kept all batch items from the runners."""
        sender = threading.Thread(target=self.send_large)
        sender.start()
        time.sleep(1)
        self.submit("j1", 0)
        f.wait_for(lambda: self.listed("j1") == ITEMS, "the items", DONE_S)
        self.stopping.set()
        sender.join()

    def test_large_items(self):
        """A third of the items of a job fit nowhere. They are sent to runners
        seldom, whatever sizes the job names."""
        large = ITEMS // 3
        self.submit("j1", large)
        f.wait_for(lambda: self.listed("j1") == ITEMS - large, "the items",
                   DONE_S)
        self.assertLessEqual(self.refused, large)
        time.sleep(5)
        self.assertLessEqual(self.refused, 2 * large)


if __name__ == "__main__":
    unittest.main()
