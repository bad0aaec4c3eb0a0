#!/usr/bin/env python3
"""The load tool's counts and its check of answers."""
import os
import subprocess
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402


class LoadTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.engines = [
            self.fleet.start_engine(f"engine-{i}", "guild", "lantern-muse",
                                    "old-town", "--first-token-us", "500",
                                    "--token-us", "200")
            for i in range(2)]

    def tearDown(self):
        self.fleet.close()

    def load(self, *args, status=0):
        urls = [f"http://127.0.0.1:{e.port}" for e in self.engines]
        result = subprocess.run(
            [f.BINARY, "load", "--expect-run", *args, *urls],
            capture_output=True, text=True, timeout=60)
        self.assertEqual(result.returncode, status, result.stderr)
        return {name: float(value) for name, value in
                (line.split("=") for line in result.stdout.split())}

    def runs(self):
        return sum(sum(f.request(e.port, "GET", "/engine/runs?by=work")
                       .json().values()) for e in self.engines)

    def test_bursts_change_the_rate(self):
        """Guards against experiments whose bursts do not come."""
        figures = self.load("--rate", "10", "--burst-rate", "400",
                            "--burst-ms", "250", "--burst-every-ms", "500",
                            "--duration-ms", "1000", "--seed", "3")
        # 5 calm arrivals and 200 in two bursts are expected.
        self.assertGreater(figures["started"], 140)
        self.assertLess(figures["started"], 270)

    def test_closed_loop_is_bounded_by_count(self):
        figures = self.load("--requests", "200", "--concurrency", "8",
                            "--duration-ms", "30000", "--stream", "0.5",
                            "--long-share", "0.1", "--long-factor", "3")
        self.assertEqual((figures["sent"], figures["ok"]), (200, 200))
        self.assertEqual(figures["short_ok"] + figures["long_ok"], 200)
        self.assertGreater(figures["long_ok"], 0)
        self.assertEqual(self.runs(), 200)
        self.assertGreater(figures["first_token_p50_ms"], 0.5)

    def test_open_loop_keeps_its_rate(self):
        figures = self.load("--rate", "500", "--duration-ms", "1000",
                            "--tokens", "2", "--prefixes", "4",
                            "--key", "a,b")
        self.assertAlmostEqual(figures["sent"], 500, delta=120)
        self.assertEqual(figures["ok"], figures["sent"])
        self.assertEqual(figures["key0_ok"] + figures["key1_ok"],
                         figures["ok"])

    def test_refused_requests_are_resent(self):
        self.fleet.fault(self.engines[0], drain=True)
        refused = self.load("--requests", "20", "--duration-ms", "20000")
        self.assertEqual((refused["refused"], refused["ok"]), (10, 10))
        resent = self.load("--requests", "20", "--duration-ms", "20000",
                           "--resend", "1", "--seed", "2", "--stream", "1")
        self.assertEqual((resent["ok"], resent["resent"]), (20, 10))

    def test_cut_answers_are_not_ok(self):
        for engine in self.engines:
            self.fleet.fault(engine, cut_rate=1)
        figures = self.load("--requests", "20", "--stream", "1")
        self.assertEqual((figures["cut"], figures["ok"]), (20, 0))


if __name__ == "__main__":
    unittest.main()
