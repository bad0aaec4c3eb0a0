#!/usr/bin/env python3
"""Whole failure domains that are lost at once, one after the other."""
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch import f  # noqa: E402
from batch_case import DOMAINS, TAKEOVER_S, BatchCase  # noqa: E402

ITEMS = 400


class DomainLossTest(BatchCase):
    def lose(self, number):
        """Kills the domain's entry process and its engines together."""
        for process in [self.entries[number], *self.engines[number::3]]:
            process.kill()

    def once(self, entry, key):
        return f.chat(entry, "guild-key", b.MODEL, key, headers={
            "Idempotency-Key": key, "X-Wasabilink-Idempotent": "false"})

    def recorded(self, key, body):
        """The result through the last domain, once shards have owners."""
        def read():
            answer = self.once(self.entries[2], key)
            return answer if answer.status != 503 else None
        answer = f.wait_for(read, "the record of " + key, TAKEOVER_S)
        self.assertEqual((answer.status, answer.body), (200, body))

    def test_work_survives_two_domains(self):
        """Results that were acknowledged must stay readable, and each item of
        a running job must get one result, with a third of the fleet left."""
        items = [b.item(n) for n in range(ITEMS)]
        job = b.submit(self.entries[0], items)
        keyed = {}
        for number in range(12):
            key = f"once {number}"
            answer = self.once(self.entries[number % 3], key)
            self.assertEqual(answer.status, 200, answer.body)
            keyed[key] = answer.body
        self.wait_progress(self.entries[2], job)
        self.lose(0)
        for key, body in keyed.items():
            self.recorded(key, body)
        self.lose(1)
        for key, body in keyed.items():
            self.recorded(key, body)
        done = b.wait_state(self.entries[2], job, timeout_s=120)
        self.assertEqual(done["request_counts"],
                         {"total": ITEMS, "completed": ITEMS, "failed": 0})
        self.check_results(self.entries[2], done, items)


if __name__ == "__main__":
    unittest.main()
