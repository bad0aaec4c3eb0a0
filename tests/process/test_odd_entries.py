#!/usr/bin/env python3
"""Tests a gateway whose runner list has entries of another writer that cannot
be decoded."""
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from gateway_standin import f  # noqa: E402

# JSON values by kind; some of them end the decoding of the whole page.
VALUES = {
    "deep": b"[" * 5000 + b"]" * 5000,
    "integer": b"7" * 40,
    "real": b"1e999",
    "negative": b"-1",
    "nul": b'"\\u0000"',
    "bytes": b'"\xff\xfe"',
    "surrogate": b'"\\ud800"',
}
FOLLOW_S = 3


class OddEntriesTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(1))
        self.runners = [s.Runner(self.store, "r0")]
        self.gateway = s.Gateway(self.store, "odd-g")
        f.wait_for(self.gateway.is_ready, "ready")
        self.number = 0

    def tearDown(self):
        for each in [self.gateway, *self.runners, self.store]:
            each.close()

    def put_odd(self):
        """One entry for each value: as a further field, as the slots and as the
        whole entry; and some with a port that cannot be."""
        for kind, raw in VALUES.items():
            self.store.raw[f"@{kind}@"] = raw
            good = {"service": s.SERVICE, "address": "127.0.0.1:9",
                    "zone": "z", "version": "v1", "slots": f"@{kind}@",
                    "state": "ready", "born": 1}
            self.store.put("servers", f"slots-{kind}", good)
            self.store.put("servers", f"field-{kind}",
                           {"state": "resting", "more": f"@{kind}@"})
            self.store.put("servers", f"whole-{kind}", f"@{kind}@")
        for port in ("0", "65536", "-1", "70000000000", "x"):
            self.store.put("servers", f"port{port}", {
                "service": s.SERVICE, "address": f"127.0.0.1:{port}",
                "zone": "z", "version": "v1", "slots": 8, "state": "ready",
                "born": 1})

    def call(self):
        self.number += 1
        return f.request(self.gateway.port, "POST", "/once/a", b"x", {
            "Host": s.HOST, "Request-Id": f"q{self.number}",
            "Deadline-Ms": "4000"})

    def check_follows(self):
        """The gateway must notice a runner that leaves and one that comes."""
        self.runners.append(s.Runner(self.store, "r1"))
        self.runners[0].register("draining")
        time.sleep(FOLLOW_S)
        before = len(self.runners[0].seen)
        for _ in range(20):
            self.assertEqual(self.call().status, 200)
        self.assertEqual(len(self.runners[0].seen), before)
        self.assertEqual(self.gateway.process.poll(), None)

    def test_watch_stops_at_odd_entry(self):
        """An entry that cannot be decoded must not end the process or hide the
        changes of other entries that a watch brings."""
        self.put_odd()
        self.check_follows()

    def test_listing_fails_at_odd_entry(self):
        """The same for the listing of a gateway that starts."""
        self.put_odd()
        self.gateway.process.kill()
        self.gateway.process.wait()
        self.gateway.run()
        f.wait_for(self.gateway.is_ready, "ready again")
        self.check_follows()


if __name__ == "__main__":
    unittest.main()
