#!/usr/bin/env python3
"""Results of a batch job past their retention."""
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch import f  # noqa: E402
from batch_case import TAKEOVER_S, BatchCase  # noqa: E402


class RetentionTest(BatchCase):
    ENTRY_ARGS = ("--result-retention-ms", "3000", "--removals-per-s", "5")

    def result_objects(self):
        return f.request(self.fleet.platform.port, "GET",
                         "/v1/objects?prefix=result/").json()["objects"]

    def test_results_go_and_the_job_runs_again(self):
        """Results must go after their retention, also when their owner dies
        before, and a job sent again later must not find a part of them."""
        items = [b.item(n) for n in range(100)]
        first = b.submit(self.entries[0], items)
        job = b.wait_state(self.entries[1], first)
        self.check_results(self.entries[2], job, items)
        self.assertGreater(len(self.result_objects()), 1)
        self.entries[0].kill()
        f.wait_for(lambda: not self.result_objects(), "the removal",
                   TAKEOVER_S)
        f.wait_for(lambda: b.get(self.entries[1], first).status == 404,
                   "the end of the record")
        self.assertEqual(
            b.content(self.entries[2], job["output_file_id"]).status, 404)
        again = b.create(self.entries[1], first["input_file_id"]).json()
        self.assertEqual(again["id"], first["id"])
        job = b.wait_state(self.entries[2], again)
        self.check_results(self.entries[1], job, items)


if __name__ == "__main__":
    unittest.main()
