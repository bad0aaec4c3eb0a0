#!/usr/bin/env python3
"""Batch jobs during failures of nodes and the object store; the file API."""
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch import f  # noqa: E402
from batch_case import TAKEOVER_S, BatchCase  # noqa: E402


class BatchTest(BatchCase):
    def test_coordinator_and_dispatcher_are_killed(self):
        # Every item must have one result after the job's coordinator and
        # then another dispatcher are killed.
        items = [b.item(n, max_tokens=40) for n in range(400)]
        job = b.submit(self.entries[0], items)
        owner = self.owner(job)
        self.wait_progress(owner, job)
        owner.kill()
        remaining = self.others(owner)
        b.wait_state(remaining[0], job, ("in_progress", "completed"))
        remaining[1].kill()
        job = b.wait_state(remaining[0], job, timeout_s=90)
        self.check_results(remaining[0], job, items)

    def test_resent_job(self):
        """A resent job must map to the existing one on every node, and an
        idempotency key reused with other content must be refused."""
        items = [b.item(n) for n in range(20)]
        first = b.submit(self.entries[0], items,
                         headers={"Idempotency-Key": "evening"})
        file_id = b.upload(self.entries[1], items).json()["id"]
        again = b.create(self.entries[1], file_id,
                         headers={"Idempotency-Key": "evening"})
        self.assertEqual(again.json()["id"], first["id"])
        other = b.upload(self.entries[1], items[:5]).json()["id"]
        conflict = b.create(self.entries[2], other,
                            headers={"Idempotency-Key": "evening"})
        self.assertEqual(conflict.status, 422)
        by_content = b.create(self.entries[1], file_id, metadata={"a": "b"})
        same = b.create(self.entries[2], file_id, metadata={"a": "b"})
        self.assertEqual(by_content.json()["id"], same.json()["id"])
        self.assertNotEqual(by_content.json()["id"], first["id"])
        listed = f.request(self.entries[2].port, "GET", "/v1/batches?limit=1",
                           None, b.KEY).json()
        self.assertTrue(listed["has_more"])
        rest = f.request(self.entries[0].port, "GET",
                         "/v1/batches?after=" + listed["last_id"], None,
                         b.KEY).json()
        self.assertEqual({listed["data"][0]["id"], rest["data"][0]["id"]},
                         {first["id"], by_content.json()["id"]})
        job = b.wait_state(self.entries[2], first)
        self.check_results(self.entries[1], job, items)

    def test_cancel_while_the_owner_is_paused(self):
        """No item may start after `cancelled`, not even when the former owner,
        stopped by SIGSTOP, continues with its old state."""
        items = [b.item(n, max_tokens=100) for n in range(400)]
        job = b.submit(self.entries[0], items)
        owner = self.owner(job)
        self.wait_progress(owner, job)
        owner.send(signal.SIGSTOP)
        other = self.others(owner)[0]
        path = f"/v1/batches/{job['id']}/cancel"

        def cancel():
            answer = f.request(other.port, "POST", path, "", b.KEY)
            return answer.status == 200
        f.wait_for(cancel, "the cancel to be accepted", TAKEOVER_S)
        b.wait_state(other, job, ("cancelled",), TAKEOVER_S)
        before = self.runs()
        owner.send(signal.SIGCONT)
        time.sleep(5)
        self.assertEqual(self.runs(), before)
        done = b.get(owner, job).json()
        self.assertEqual(done["status"], "cancelled")
        output = b.lines(other, done["output_file_id"])
        self.assertGreater(len(output), 0)
        self.assertLess(len(output), len(items))

    def test_store_outage(self):
        """Granted chunks must continue during an outage of the store, and
        every item must have one result, also when replies are lost."""
        items = [b.item(n, max_tokens=40) for n in range(400)]
        job = b.submit(self.entries[0], items)
        self.wait_progress(self.entries[0], job)
        self.fleet.fault(self.fleet.platform, outage_ms=8000)
        time.sleep(0.5)
        refused = b.upload(self.entries[1], [b.item(1)])
        self.assertEqual(refused.status, 503)
        self.assertEqual(refused.json()["error"]["work"], "not_run")
        time.sleep(8)
        self.fleet.fault(self.fleet.platform, outage_ms=0, lose_answers=0.2)
        job = b.wait_state(self.entries[1], job, timeout_s=90)
        self.fleet.fault(self.fleet.platform, lose_answers=0)
        self.check_results(self.entries[2], job, items)

    def test_files(self):
        entry = self.entries[0]
        bad = b.upload(entry, '{"custom_id": "a"}\nnot json\n')
        self.assertEqual(bad.status, 400)
        self.assertIn("line 2", bad.json()["error"]["message"])
        self.assertEqual(b.upload(entry, "").status, 400)
        self.assertEqual(b.upload(entry, "x" * 600000).status, 413)
        items = [b.item(n, "y" * 5000) for n in range(500)]
        stored = b.upload(entry, items)
        self.assertEqual(stored.status, 200)
        file_id = stored.json()["id"]
        body = b.content(self.entries[1], file_id).body
        self.assertEqual([f.json.loads(line) for line in body.splitlines()],
                         items)
        other = {"Authorization": "Bearer shannonside-key"}
        for path in ("", "/content"):
            answer = f.request(entry.port, "GET", f"/v1/files/{file_id}{path}",
                               None, other)
            self.assertEqual(answer.status, 404)
        self.assertEqual(b.create(entry, file_id, key=other).status, 404)
        self.assertEqual(b.create(entry, file_id, "soon").status, 400)
        listed = f.request(entry.port, "GET", "/v1/files", None, b.KEY).json()
        self.assertEqual([x["id"] for x in listed["data"]], [file_id])
        f.request(entry.port, "DELETE", f"/v1/files/{file_id}", None, b.KEY)
        self.assertEqual(b.content(entry, file_id).status, 404)


if __name__ == "__main__":
    unittest.main()
