#!/usr/bin/env python3
"""Two of three failure domains fail completely, one after the other.

Guards against acknowledged results that cannot be read after their shards have
new owners, and against missing or duplicate results of a running job.
"""
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch import f  # noqa: E402
from batch_case import DOMAINS, TAKEOVER_S, BatchCase  # noqa: E402

ITEMS = 400


class DomainLossTest(BatchCase):
    def kill_domain(self, number):
        """Kills the entry process and all engines of a domain."""
        for process in [self.entries[number], *self.engines[number::3]]:
            process.kill()

    def chat_non_idempotent(self, entry, key):
        return f.chat(entry, "guild-key", b.MODEL, key, headers={
            "Idempotency-Key": key, "X-Wasabilink-Idempotent": "false"})

    def check_recorded(self, key, body):
        """Reads the result through the last domain, waiting until the key's
        shard has an owner again."""
        def read():
            answer = self.chat_non_idempotent(self.entries[2], key)
            return answer if answer.status != 503 else None
        answer = f.wait_for(read, "the record of " + key, TAKEOVER_S)
        self.assertEqual((answer.status, answer.body), (200, body))

    def test_work_survives_two_domains(self):
        """With a third of the fleet remaining, acknowledged results must stay
        readable, and each item of a running job must get one result."""
        items = [b.item(n) for n in range(ITEMS)]
        job = b.submit(self.entries[0], items)
        keyed = {}
        for number in range(12):
            key = f"once {number}"
            answer = self.chat_non_idempotent(self.entries[number % 3], key)
            self.assertEqual(answer.status, 200, answer.body)
            keyed[key] = answer.body
        self.wait_progress(self.entries[2], job)
        self.kill_domain(0)
        for key, body in keyed.items():
            self.check_recorded(key, body)
        self.kill_domain(1)
        for key, body in keyed.items():
            self.check_recorded(key, body)
        done = b.wait_state(self.entries[2], job, timeout_s=120)
        self.assertEqual(done["request_counts"],
                         {"total": ITEMS, "completed": ITEMS, "failed": 0})
        self.check_results(self.entries[2], done, items)


if __name__ == "__main__":
    unittest.main()
