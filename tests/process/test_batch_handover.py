#!/usr/bin/env python3
"""Batch jobs whose shard is transferred to another entry process while they
run."""
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch import f  # noqa: E402
from batch_case import DOMAINS  # noqa: E402

SHARDS = 8
JOBS = 40
ITEMS = 2


class BatchHandoverTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.fleet.start_platform()
        self.engines = [
            self.fleet.start_engine(f"muse-{i}", "guild", b.MODEL,
                                    DOMAINS[i % 2], "--slots", "4",
                                    "--token-us", "20000")
            for i in range(6)]
        self.fleet.put_object("config/production",
                              f.json.dumps(f.sample_document()))

    def tearDown(self):
        self.fleet.close()

    def test_holders_locate_the_new_coordinator(self):
        """Lease holders must locate the new coordinator before their leases
        expire. Otherwise chunks are executed again, and poison items crash
        more runners."""
        entries = [self.fleet.start_entry(f"entry-{i}", DOMAINS[i])
                   for i in (0, 1)]
        self.fleet.publish_vms()
        f.wait_for(lambda: all(b.metric(e, "wasabilink_ledger_shards_owned")
                               for e in entries), "both to own shards", 40)
        jobs = [b.submit(entries[0], [b.item(n, f"job {job} item {n}",
                                             max_tokens=200)
                                      for n in range(ITEMS)])
                for job in range(JOBS)]
        # Every shard has a job, so the shards that move have one too.
        self.assertEqual({int(job["id"][-8:], 16) % SHARDS for job in jobs},
                         set(range(SHARDS)))
        # Nodes cache the coordinator of a job that they have read.
        for entry in entries:
            for job in jobs:
                self.assertEqual(b.get(entry, job).status, 200)
        later = [self.fleet.start_entry(f"entry-{i}", DOMAINS[2])
                 for i in (2, 3)]
        self.fleet.publish_vms()
        f.wait_for(lambda: any(
            b.metric(e, "wasabilink_batch_jobs_coordinated") for e in later),
            "a job to move to another coordinator", 40)
        for job in jobs:
            done = b.wait_state(later[0], job, timeout_s=120)
            self.assertEqual(done["request_counts"],
                             {"total": ITEMS, "completed": ITEMS, "failed": 0})
        runs = sum(sum(f.request(e.port, "GET", "/engine/runs").json()
                       .values()) for e in self.engines)
        self.assertEqual(runs, JOBS * ITEMS)


if __name__ == "__main__":
    unittest.main()
