#!/usr/bin/env python3
"""Batch jobs that cannot finish before their deadline."""
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch import f  # noqa: E402
from batch_case import BatchCase  # noqa: E402

ITEMS = 1600
WINDOW_S = 20
FINAL = ("completed", "failed", "expired", "cancelled")


class BatchDeadlineTest(BatchCase):
    def submit(self):
        """Submits far more work than the engines can do within the window."""
        items = [b.item(n, max_tokens=100) for n in range(ITEMS)]
        return items, b.submit(self.entries[0], items, window=f"{WINDOW_S}s")

    def test_risk_is_reported_before_the_deadline(self):
        """A job that will miss its deadline must be reported as at risk before
        the deadline, and a job that is in time must not be."""
        easy = b.submit(self.entries[0], [b.item(n) for n in range(20)])
        _, job = self.submit()
        states = []

        def seen():
            states.append(b.get(self.entries[1], job).json())
            return states[-1].get("at_risk") or \
                states[-1].get("status") in FINAL
        f.wait_for(seen, "the job to be at risk or final")
        self.assertEqual(states[-1]["status"], "in_progress")
        self.assertLess(time.time(), states[-1]["expires_at"])
        easy = b.wait_state(self.entries[1], easy)
        self.assertFalse(easy["at_risk"])

    def test_expired_job(self):
        """An expired job must keep its results, with counts that match them,
        and have an error for each other item. No item may start later."""
        items, job = self.submit()
        job = b.wait_state(self.entries[1], job, FINAL, 3 * WINDOW_S)
        self.assertEqual(job["status"], "expired")
        self.assertGreaterEqual(job["expired_at"], job["expires_at"])
        before = self.runs()
        wanted = {i["custom_id"]: i for i in items}
        for entry in self.entries:
            output = b.lines(entry, job["output_file_id"])
            ids = [line["custom_id"] for line in output]
            self.assertEqual(len(ids), len(set(ids)))
            self.assertEqual(len(ids), job["request_counts"]["completed"])
            self.assertGreater(len(ids), 0)
            self.assertLess(len(ids), ITEMS)
            errors = b.lines(entry, job["error_file_id"])
            self.assertEqual(len(ids) + len(errors), ITEMS)
            self.assertEqual(set(ids) | {e["custom_id"] for e in errors},
                             set(wanted))
            self.assertEqual({e["error"]["code"] for e in errors},
                             {"batch_expired"})
            self.assertEqual({e["response"] for e in errors}, {None})
        for line in output[::50]:
            self.assertEqual(
                line["response"]["body"]["choices"][0]["message"]["content"],
                b.expected(self.oracle, wanted[line["custom_id"]]))
        # Long enough for any node to start another item.
        time.sleep(4)
        self.assertEqual(self.runs(), before)
        again = b.get(self.entries[2], job).json()
        self.assertEqual(again["status"], "expired")
        self.assertEqual(again["request_counts"], job["request_counts"])


if __name__ == "__main__":
    unittest.main()
