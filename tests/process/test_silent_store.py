#!/usr/bin/env python3
"""Tests a gateway whose store falls silent for some seconds."""
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from gateway_standin import f  # noqa: E402

OUTAGE_S = 6
# A second for the end of the outage, half a one for the list, and room.
FOLLOW_S = 3


class SilentStoreTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(1))
        self.runners = [s.Runner(self.store, "r0")]
        self.gateway = s.Gateway(self.store, "silent-g")
        f.wait_for(self.gateway.is_ready, "ready")
        self.number = 0

    def tearDown(self):
        for each in [self.gateway, *self.runners, self.store]:
            each.close()

    def call(self, path="/once/a"):
        self.number += 1
        return f.request(self.gateway.port, "POST", path, b"x", {
            "Host": s.HOST, "Request-Id": f"q{self.number}",
            "Deadline-Ms": "4000"})

    def test_watch_waits_through_outage(self):
        """Watches that get no answer during an outage must not hide runners
        that leave, runners that come or a new configuration after it."""
        time.sleep(1)
        self.store.set_silent(True)
        time.sleep(OUTAGE_S)
        self.store.set_silent(False)
        time.sleep(1)
        self.runners.append(s.Runner(self.store, "r1"))
        self.runners[0].register("draining")
        self.store.put("config", "main", s.config(2, s.route("/new/", "safe")))
        time.sleep(FOLLOW_S)
        before = len(self.runners[0].seen)
        for _ in range(10):
            self.assertEqual(self.call().status, 200)
        self.assertEqual(len(self.runners[0].seen), before)
        self.assertEqual(self.call("/new/a").status, 200)


if __name__ == "__main__":
    unittest.main()
