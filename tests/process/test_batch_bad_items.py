#!/usr/bin/env python3
"""Batch items that always fail or that crash their engine."""
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch_case import BatchCase  # noqa: E402


class BadItemsTest(BatchCase):
    def test_failing_and_crashing_items(self):
        """A poison item must not crash more than two engines, and the other
        items must complete. It would otherwise be retried on every engine."""
        items = [b.item(n) for n in range(300)]
        items[70] = b.item(70, "[fail] always")
        items[150] = b.item(150, "[kill] the engine")
        job = b.submit(self.entries[0], items)
        job = b.wait_state(self.entries[1], job)
        errors = self.check_results(self.entries[2], job, items, (70, 150))
        self.assertEqual(errors["i70"]["error"]["code"], "engine_error")
        self.assertEqual(errors["i150"]["error"]["code"], "runner_lost")
        self.assertEqual(job["request_counts"],
                         {"total": 300, "completed": 298, "failed": 2})
        self.assertEqual(sum(not e.alive() for e in self.engines), 2)


if __name__ == "__main__":
    unittest.main()
