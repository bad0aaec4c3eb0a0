#!/usr/bin/env python3
"""Cancels batch jobs while their coordinator is partitioned from the object
store but not from the other nodes."""
import os
import re
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch import f  # noqa: E402
from batch_case import DOMAINS  # noqa: E402

JOBS = 12
ITEMS = 400
SHARDS = 8
QUIET_S = 5
CANCEL_S = 25


def document():
    """A workspace for each job, so that all jobs run concurrently."""
    document = f.sample_document()
    guild = document["partners"]["guild"]
    for job in range(JOBS):
        guild["workspaces"][f"w{job}"] = {"weight": 1}
        guild["callers"].append({"name": f"c{job}", "workspace": f"w{job}",
                                 "key_sha256": f.sha256_hex(f"key {job}")})
    return document


def shard(job):
    """The shard of the job's record, whose key is the end of the job's id."""
    return int(job["id"][-8:], 16) % SHARDS


def shards(log, event):
    return {int(n) for n in re.findall(rf"shard_{event} shard=(\d+)", log)}


def key(job):
    return {"Authorization": f"Bearer key {job}"}


class CutOffCoordinatorTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.platform = self.fleet.start_platform(domains=DOMAINS)
        self.engines = [
            self.fleet.start_engine(f"muse-{i}", "guild", b.MODEL,
                                    DOMAINS[i % 2], "--slots", "64",
                                    "--token-us", "100000")
            for i in range(4)]
        self.fleet.put_object("config/production",
                              f.json.dumps(document()))

    def tearDown(self):
        self.fleet.close()

    def runs(self, job):
        """Number of executions of the job's items at the engines."""
        start = "batch_req_" + job["id"].removeprefix("batch_")
        return sum(count for engine in self.engines for name, count in
                   f.request(engine.port, "GET", "/engine/runs").json().items()
                   if name.startswith(start))

    def submit(self, entry, number):
        items = [b.item(n, f"job {number} item {n}", max_tokens=40)
                 for n in range(ITEMS)]
        file_id = b.upload(entry, items, key(number)).json()["id"]
        return b.create(entry, file_id, key=key(number)).json()

    def cancel(self, entry, number, job):
        """True when the job is cancelled. A job that still has the former
        coordinator is not, as that one cannot write the record."""
        path = f"/v1/batches/{job['id']}/cancel"

        def cancelled():
            answer = f.request(entry.port, "POST", path, "", key(number))
            return answer.status == 200 and \
                answer.json()["status"] == "cancelled"
        try:
            return f.wait_for(cancelled, "the cancel", CANCEL_S)
        except TimeoutError:
            return False

    def test_cancel_by_the_successor(self):
        """No item may start after the successor has acknowledged a cancel. The
        former coordinator reaches the lease holders but not the store, so it
        must stop renewing leases before that."""
        old = self.fleet.start_entry("old", DOMAINS[0])
        self.fleet.publish_vms()
        f.wait_for(lambda: b.metric(old, "wasabilink_ledger_shards_owned")
                   == SHARDS, "all shards")
        jobs = [self.submit(old, number) for number in range(JOBS)]
        f.wait_for(lambda: all(map(self.runs, jobs)), "all jobs to run", 40)
        # Block the store before many shards are transferred to the holder.
        holder = self.fleet.start_entry("holder", DOMAINS[1])
        self.fleet.publish_vms()
        f.wait_for(lambda: b.metric(
            holder, "wasabilink_batch_items_started_total"),
            "a second holder", 40)
        released = shards(self.fleet.log("old"), "released")
        jobs = [(n, j) for n, j in enumerate(jobs) if shard(j) not in released]
        self.fleet.fault(self.platform, block=[self.platform.info[DOMAINS[0]]])
        later = [self.fleet.start_entry(f"later-{i}", DOMAINS[2])
                 for i in range(3)]
        self.fleet.publish_vms()
        f.wait_for(lambda: any(
            b.metric(e, "wasabilink_batch_jobs_coordinated") for e in later),
            "a job to move to another coordinator", 40)
        with ThreadPoolExecutor(JOBS) as pool:
            cancelled = pool.map(lambda j: self.cancel(later[0], *j), jobs)
            moved = [j for (_, j), ok in zip(jobs, cancelled) if ok]
        taken = set().union(*(shards(self.fleet.log(e.name), "acquired")
                              for e in [holder, *later]))
        self.assertNotEqual(moved, [])
        self.assertEqual([j for _, j in jobs if shard(j) in taken], moved)
        before = {j["id"]: self.runs(j) for j in moved}
        time.sleep(QUIET_S)
        self.assertEqual({j["id"]: self.runs(j) for j in moved}, before)


if __name__ == "__main__":
    unittest.main()
