#!/usr/bin/env python3
"""The platform stand-in's exact HTTP form and its faults."""
import http.client
import os
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402

CUT = (http.client.HTTPException, OSError)


class PlatformTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.second_port = f.free_ports(1)[0]
        self.platform = self.fleet.start_platform(
            "--more-ports", str(self.second_port))

    def tearDown(self):
        self.fleet.close()

    def call(self, method, path, body=None, match=None, writer=None,
             port=None, timeout_s=10):
        headers = {}
        if match is not None:
            headers["If-Match"] = str(match)
        if writer is not None:
            headers["X-Object-Writer"] = writer
        return f.request(port or self.platform.port, method, path, body,
                         headers, timeout_s)

    def put(self, key, body, match=0, writer="w", **more):
        return self.call("PUT", "/v1/objects/" + key, body, match, writer,
                         **more)

    def get(self, key, **more):
        return self.call("GET", "/v1/objects/" + key, **more)

    def fault(self, **faults):
        self.assertEqual(self.fleet.fault(self.platform, **faults).status, 200)

    def stats(self):
        return f.request(self.platform.port, "GET", "/stats").json()

    def test_objects(self):
        self.assertEqual(self.get("a/b").status, 404)
        first = self.put("a/b", "one", writer="n1:1:1")
        self.assertEqual((first.status, first.headers["x-object-version"]),
                         (200, "1"))
        got = self.get("a/b")
        self.assertEqual((got.body, got.headers["x-object-version"],
                          got.headers["x-object-writer"]),
                         (b"one", "1", "n1:1:1"))
        lost = self.put("a/b", "two", writer="n2:1:1")
        self.assertEqual((lost.status, lost.headers["x-object-version"],
                          lost.headers["x-object-writer"]),
                         (412, "1", "n1:1:1"))
        absent = self.put("none", "x", match=7)
        self.assertEqual((absent.status, absent.headers["x-object-version"]),
                         (412, "0"))
        self.assertEqual(self.put("a/b", b"x" * (1024 * 1024), 1).status, 200)
        self.assertEqual(self.put("a/b", b"x" * (1024 * 1024 + 1), 2).status,
                         413)
        self.assertEqual(self.call("PUT", "/v1/objects/a/b", "x").status, 400)
        path = "/v1/objects/a/b"
        self.assertEqual(self.call("DELETE", path, match=1).status, 412)
        self.assertEqual(self.call("DELETE", path, match=2).status, 200)
        self.assertEqual(self.call("DELETE", path, match=2).status, 404)

    def test_list_is_in_key_order_and_pages(self):
        for key in ("l/c", "l/a", "m", "l/b"):
            self.put(key, "x")
        page = self.call("GET", "/v1/objects?prefix=l/&after=&limit=2").json()
        self.assertEqual(page, {"revision": 4, "objects": [
            {"key": "l/a", "version": 2}, {"key": "l/b", "version": 4}]})
        rest = self.call("GET",
                         "/v1/objects?prefix=l/&after=l/b&limit=2").json()
        self.assertEqual([o["key"] for o in rest["objects"]], ["l/c"])

    def watch(self, since, timeout_ms, prefix="w/", **more):
        return self.call("GET", f"/v1/watch?prefix={prefix}&since={since}"
                         f"&timeout_ms={timeout_ms}", **more)

    def waiting_watch(self, result, **more):
        def run():
            try:
                result.append(self.watch(**more))
            except CUT as error:
                result.append(error)
        thread = threading.Thread(target=run)
        before = self.stats()["waiting_watches"]
        thread.start()
        f.wait_for(lambda: self.stats()["waiting_watches"] == before + 1,
                   "the watch to wait")
        return thread

    def test_watch_waits_for_a_change_of_its_prefix(self):
        result = []
        thread = self.waiting_watch(result, since=0, timeout_ms=20000)
        self.put("other", "x")
        self.put("w/1", "x")
        thread.join()
        self.assertEqual(result[0].json(), {"revision": 2, "events": [
            {"key": "w/1", "version": 2, "deleted": False}]})
        self.assertEqual(self.watch(2, 20).json(),
                         {"revision": 2, "events": []})
        self.call("DELETE", "/v1/objects/w/1", match=2)
        self.assertEqual(self.watch(2, 20).json()["events"], [
            {"key": "w/1", "version": 3, "deleted": True}])

    def test_stale_watch_repeats_older_events(self):
        for i in range(3):
            self.put(f"w/{i}", "x")
        self.fault(stale_watches=1)
        answer = self.watch(2, 20).json()
        self.assertEqual(answer["revision"], 2)
        self.assertEqual([e["version"] for e in answer["events"]], [1, 2])

    def test_outage_ends_waiting_watches(self):
        result = []
        thread = self.waiting_watch(result, since=0, timeout_ms=20000)
        self.fault(outage_ms=60000)
        thread.join()
        for answer in (result[0], self.get("a"), self.put("a", "x")):
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.headers)
        self.fault(outage_ms=0)
        self.assertEqual(self.put("a", "x").status, 200)

    def test_rate_counts_every_call(self):
        self.fault(reads_per_s=5, writes_per_s=1)
        # A bucket holds one second of the old rate at first.
        reads = [self.watch(0, 0).status for _ in range(5)]
        f.wait_for(lambda: self.get("a").status == 429, "the read rate's end")
        refused = self.get("a")
        self.assertIn("retry-after", refused.headers)
        self.assertEqual(reads[0], 200)
        stats = self.stats()
        self.assertGreaterEqual(stats["kinds"]["watch"]["count"], 1)
        self.assertGreaterEqual(stats["over_rate"], 1)

    def test_stats_by_kind_with_peaks(self):
        self.put("a", "x")
        for _ in range(3):
            self.get("a")
        self.call("GET", "/v1/vms")
        stats = self.stats()
        self.assertEqual(stats["kinds"]["get"]["count"], 3)
        self.assertEqual(stats["kinds"]["vms"]["count"], 1)
        self.assertEqual((stats["reads"], stats["writes"]), (4, 1))
        self.assertLessEqual(stats["kinds"]["get"]["peak_per_s"], 3)
        self.assertGreaterEqual(stats["peak_reads_per_s"], 1)

    def test_lost_answer_keeps_its_effect(self):
        self.fault(lose_answers=1)
        with self.assertRaises(CUT):
            self.put("a", "x", writer="n1")
        self.fault(lose_answers=0)
        self.assertEqual(self.get("a").headers["x-object-writer"], "n1")

    def test_slow_answers(self):
        self.fault(slow_answers=1, slow_answer_ms=300)
        start = time.monotonic()
        self.assertEqual(self.get("a").status, 404)
        self.assertGreaterEqual(time.monotonic() - start, 0.25)

    def test_block_partitions_a_port_or_a_writer(self):
        self.fault(block=[self.second_port, "n7:"])
        with self.assertRaises(socket.timeout):
            self.put("a", "x", port=self.second_port, timeout_s=0.3)
        with self.assertRaises(socket.timeout):
            self.put("a", "x", writer="n7:1:1", timeout_s=0.3)
        self.assertEqual(self.get("a").status, 404)
        self.assertEqual(self.stats()["blocked"], 2)
        self.fault(block=[])
        self.assertEqual(self.put("a", "x", writer="n7:1:1",
                                  port=self.second_port).status, 200)

    def test_bad_fault_changes_nothing(self):
        self.assertEqual(self.fleet.fault(self.platform, delay_ms="x",
                                          lose_answers=1).status, 400)
        self.assertEqual(self.get("a").status, 404)


if __name__ == "__main__":
    unittest.main()
