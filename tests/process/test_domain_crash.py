#!/usr/bin/env python3
"""Tests gateways in front of runners that one request crashes, a whole failure
domain at a time, while other gateways have no requests."""
import http.client
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from gateway_standin import f  # noqa: E402

# Three crashes tell the request; three more runs are within the users' rule.
MAX_CRASHES = 6
LOAD_S = 8.0
GAP_S = 0.05


class DomainCrashTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(1, s.route("/safe/", "safe")))
        self.runners = [s.Runner(self.store, f"r{i}") for i in range(2)]
        for runner in self.runners:
            runner.crash_body = b"deadly"
        self.gateways = [s.Gateway(self.store, f"domain-crash-g{i}")
                         for i in range(2)]
        for gateway in self.gateways:
            f.wait_for(gateway.is_ready, f"{gateway.name} ready")
        time.sleep(1)  # until the gateways have heard of each other

    def tearDown(self):
        for each in self.gateways + self.runners + [self.store]:
            each.close()

    def test_crashes_of_a_domain_count(self):
        """A request that has crashed all runners of a domain must be held: an
        idle gateway, which has not tried to reach the domain, must not count as
        one that reaches it."""
        end = time.monotonic() + LOAD_S
        number = 0
        while time.monotonic() < end:
            number += 1
            headers = {"Host": s.HOST, "Request-Id": f"q{number}",
                       "Deadline-Ms": "4000"}
            try:
                f.request(self.gateways[0].port, "POST", "/safe/a", b"deadly",
                          headers)
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(GAP_S)
        crashes = sum(runner.crashes for runner in self.runners)
        retracted = self.gateways[0].log().count("event=runner_survived")
        self.assertLessEqual(crashes, MAX_CRASHES, f"{retracted} retracted")
        self.assertEqual(retracted, 0)


class CrashedRunnersTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(1, s.route("/safe/", "safe")))
        self.runners = [s.Runner(self.store, f"r{i}") for i in range(4)]
        self.gateway = s.Gateway(self.store, "crashed-runners-g")
        f.wait_for(self.gateway.is_ready, "gateway ready")

    def tearDown(self):
        for each in [self.gateway] + self.runners + [self.store]:
            each.close()

    def test_two_crashed_runners(self):
        """Two runners that cannot be connected to must not have their whole
        domain avoided while others of it answer: all requests were refused
        until a probe was answered."""
        for runner in self.runners[:2]:
            runner.down_s = 2 * LOAD_S
            runner.crash()
        end = time.monotonic() + LOAD_S
        statuses = []
        while time.monotonic() < end:
            headers = {"Host": s.HOST, "Request-Id": f"q{len(statuses)}",
                       "Deadline-Ms": "4000"}
            statuses.append(f.request(self.gateway.port, "POST", "/safe/a",
                                      b"sound", headers).status)
            time.sleep(GAP_S)
        self.assertEqual(statuses.count(200), len(statuses), statuses)


if __name__ == "__main__":
    unittest.main()
