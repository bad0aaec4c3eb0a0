#!/usr/bin/env python3
"""Tests gateways in front of runners that one request crashes, which comes
again and again."""
import http.client
import os
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from gateway_standin import f  # noqa: E402

DEADLY = b"the same first bytes of a request" * 40 + b"deadly"
SOUND = DEADLY[:-6] + b"sound!"
# Three crashes tell the request; three more runs are within the users' rule.
MAX_CRASHES = 6
LOAD_S = 4.0
GAP_S = 0.05
PARTS = "a1:100,b2:100,c3:20"


class DeadlyRequestTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(1, s.route("/safe/", "safe")))
        self.runners = [s.Runner(self.store, f"r{i}") for i in range(10)]
        for runner in self.runners:
            runner.crash_body = b"deadly"
            runner.prompt_s = 0.02
        self.gateways = [s.Gateway(self.store, f"deadly-g{i}")
                         for i in range(2)]
        for gateway in self.gateways:
            f.wait_for(gateway.is_ready, f"{gateway.name} ready")
        self.lock = threading.Lock()
        self.number = 0

    def tearDown(self):
        for each in self.gateways + self.runners + [self.store]:
            each.close()

    def crashes(self):
        return sum(r.crashes for r in self.runners)

    def call(self, path, body, gateway, parts):
        """Sends a client attempt, which has an id of its own."""
        with self.lock:
            self.number += 1
            request = f"q{self.number}"
        headers = {"Host": s.HOST, "Request-Id": request,
                   "Deadline-Ms": "4000"}
        if parts:
            headers["Prompt-Prefix"] = parts
        try:
            return f.request(gateway.port, "POST", path, body, headers)
        except (OSError, http.client.HTTPException):
            return None

    def load(self, path, body, parts, answers):
        end = time.monotonic() + LOAD_S
        while time.monotonic() < end:
            for gateway in self.gateways:
                started = time.monotonic()
                answer = self.call(path, body, gateway, parts)
                answers.append((answer, time.monotonic() - started))
                time.sleep(GAP_S)

    def play(self, path, parts=None, disturb=lambda: None):
        """Sends the deadly request and a sound one that differs in its last
        bytes."""
        deadly, sound = [], []
        threads = [threading.Thread(target=self.load,
                                    args=(path, body, parts, answers))
                   for body, answers in ((DEADLY, deadly), (SOUND, sound))]
        for thread in threads:
            thread.start()
        disturb()
        for thread in threads:
            thread.join()
        return deadly, sound

    def check(self, path, parts=None):
        deadly, sound = self.play(path, parts)
        self.assertGreater(len(deadly), 2 * MAX_CRASHES)
        self.assertLessEqual(self.crashes(), MAX_CRASHES)
        refused, seconds = deadly[-1]
        self.assertEqual(refused.status, 503)
        self.assertGreater(float(refused.headers["retry-after"]), 0)
        self.assertLess(seconds, 0.3)
        # Sound requests are sent one at a time, so a crash ends one at most.
        failed = [i for i, (a, _) in enumerate(sound)
                  if not a or a.status != 200]
        self.assertLessEqual(len(failed), self.crashes())
        self.assertEqual([i for i in failed if i > len(sound) * 3 // 4], [])

    def test_request_without_parts_crashes_runner_after_runner(self):
        """A request that crashes runners and comes again with new ids, without
        a list of prompt parts, must not go from runner to runner."""
        self.check("/once/a")

    def test_resumable_request_crashes_runner_after_runner(self):
        """The same for a stream that may be resumed at another runner."""
        self.check("/again/a")

    def test_safe_request_crashes_runner_after_runner(self):
        """The same for a request that may be repeated and is no stream."""
        self.check("/safe/a")

    def test_parts_of_sound_requests_crash_runner_after_runner(self):
        """The same for a request whose parts are all those of sound ones, which
        must go on being served."""
        self.check("/again/a", PARTS)

    def test_crash_before_the_head(self):
        """The same when runners end before they have sent a head."""
        for runner in self.runners:
            runner.crash_events = -1
        self.check("/once/a")

    def test_crash_after_events(self):
        """The same when runners end after some events, those that resume the
        stream, too."""
        for runner in self.runners:
            runner.crash_events = 2
            runner.events = 12
        self.check("/again/a")

    def test_hold_survives_restarts(self):
        """Gateways that are restarted one after the other must learn from each
        other which request crashes runners."""
        def restart():
            for gateway in self.gateways:
                time.sleep(LOAD_S / 3)
                gateway.process.kill()
                gateway.process.wait()
                gateway.run()
                f.wait_for(gateway.is_ready, f"{gateway.name} ready again")
        self.play("/once/a", disturb=restart)
        self.assertLessEqual(self.crashes(), MAX_CRASHES)


if __name__ == "__main__":
    unittest.main()
