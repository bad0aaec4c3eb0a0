#!/usr/bin/env python3
"""Tests a gateway with requests that may end without a complete answer."""
import http.client
import os
import re
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from gateway_standin import f  # noqa: E402


class IncompleteRequestTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(3, s.route("/safe/", "safe")))
        self.runner = s.Runner(self.store, "r0")
        self.gateway = s.Gateway(self.store, "incomplete-g0")
        f.wait_for(self.gateway.is_ready, "gateway ready")

    def tearDown(self):
        for each in (self.gateway, self.runner, self.store):
            each.close()

    def call(self, path, name):
        return f.request(self.gateway.port, "POST", path, b"x", {
            "Host": s.HOST, "Request-Id": name, "Deadline-Ms": "4000"})

    def test_end_is_reported(self):
        """A stream that ends early must leave a line with the reason and the
        configuration."""
        self.runner.cut_at = 3
        with self.assertRaises(http.client.IncompleteRead):
            self.call("/once/a", "q1")
        line = re.search("event=request_incomplete request=q1 .*",
                         self.gateway.log())[0]
        self.assertIn(" outcome=cut reason=not_repeatable ", line)
        self.assertRegex(line, r" config=3 config_age_ms=\d+ latest=3 ")

    def test_silent_runner_goes_on(self):
        """A stream must be complete when its runner, the only one, is silent
        for longer than after which it would be resumed elsewhere."""
        self.runner.silent_at = 3
        self.runner.silent_s = 1.3
        answer = self.call("/again/a", "q1")
        self.assertEqual(answer.status, 200)
        self.assertIn(b"data: e4", answer.body)
        self.assertEqual(self.runner.ran, ["q1"])
        self.assertIn("event=stream_stalled request=q1 ", self.gateway.log())

    def test_route_goes_meanwhile(self):
        """Requests must be answered when a new configuration takes their route
        and its service away while they run."""
        paths = ("/once/a", "/again/a", "/safe/a")
        self.runner.silent_at = 2
        self.runner.silent_s = 0.8
        with ThreadPoolExecutor() as pool:
            answers = [pool.submit(self.call, path, path) for path in paths]
            f.wait_for(lambda: len(self.runner.ran) == 3, "requests that run")
            self.store.put("config", "main", {**s.config(4), "routes": []})
            f.wait_for(lambda: "event=config_adopted version=4 " in
                       self.gateway.log(), "the new configuration")
            self.assertEqual(self.call("/once/b", "q").status, 404)
            self.assertFalse(any(answer.done() for answer in answers))
            for answer in answers:
                self.assertEqual(answer.result().status, 200)
                self.assertIn(b"data: e4", answer.result().body)


if __name__ == "__main__":
    unittest.main()
