#!/usr/bin/env python3
"""A short run of the fault soak: seeds that failed once, and two more."""
import os
import sys
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
import soak  # noqa: E402

MORE_SEEDS = [2, 3]


def regressions():
    path = os.path.join(ROOT, "tests", "soak", "regressions.txt")
    with open(path, encoding="utf-8") as lines:
        return [int(x.split()[0]) for x in lines if not x.startswith("#")]


class SoakTest(unittest.TestCase):
    def test_seeds(self):
        """Overlapping faults break no promise that callers or runners see."""
        for seed in regressions() + MORE_SEEDS:
            with self.subTest(seed=seed):
                schedule, problems = soak.run_seed(seed)
                self.assertEqual(problems, [], schedule)


if __name__ == "__main__":
    unittest.main()
