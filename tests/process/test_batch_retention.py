#!/usr/bin/env python3
"""Removal of results and input files of batch jobs after their retention."""
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch import f  # noqa: E402
from batch_case import DOMAINS, TAKEOVER_S, BatchCase  # noqa: E402


class RetentionTest(BatchCase):
    ENTRY_ARGS = ("--result-retention-ms", "3000", "--removals-per-s", "5")

    def result_objects(self):
        return f.request(self.fleet.platform.port, "GET",
                         "/v1/objects?prefix=result/").json()["objects"]

    def put_old_file(self, number, age_s):
        """Stores a file as an upload at an earlier time would have."""
        scope = b.upload(self.entries[0], [b.item(0)]).json()["id"][5:21]
        created = int(time.time() - age_s)
        file_id = f"file-{scope}{created * 1000:012x}{number:020x}"
        lines = f.json.dumps(b.item(number)) + "\n"
        meta = {"id": file_id, "name": "a", "model": b.MODEL,
                "digest": f"{number}", "bytes": len(lines),
                "created": created, "parts": [1]}
        self.fleet.put_object(f"file/{file_id}/000000", lines)
        self.fleet.put_object(f"file/{file_id}/meta", f.json.dumps(meta))
        return file_id

    def file_objects(self, file_id):
        return f.request(self.fleet.platform.port, "GET",
                         f"/v1/objects?prefix=file/{file_id}/"
                         ).json()["objects"]

    def test_old_files(self):
        """An old file that no job refers to must be removed, also when its
        upload was not completed. One that a job refers to must be kept, as
        the job may be resent with it."""
        used = self.put_old_file(1, 4 * 86400)
        unused = self.put_old_file(2, 4 * 86400)
        young = b.upload(self.entries[0], [b.item(3)]).json()["id"]
        for entry in self.entries:
            entry.stop()
        def start(days):
            return [self.fleet.start_entry(
                f"days-{days}-{d}", d, "--file-retention-ms",
                str(days * 86400000), "--removals-per-s", "5")
                for d in DOMAINS]
        self.fleet.vms = [vm for vm in self.fleet.vms
                          if vm["role"] != "entry"]
        self.entries = start(30)
        self.fleet.publish_vms()
        answer = b.create(self.entries[0], used)
        self.assertEqual(answer.status, 200, answer.body)
        job = b.wait_state(self.entries[0], answer.json())
        for entry in self.entries:
            entry.stop()
        self.fleet.vms = [vm for vm in self.fleet.vms
                          if vm["role"] != "entry"]
        self.entries = start(2)
        self.fleet.publish_vms()
        f.wait_for(lambda: not self.file_objects(unused), "the removal",
                   TAKEOVER_S)
        f.wait_for(lambda: any(b.metric(
            e, "wasabilink_batch_files_removed_total")
            for e in self.entries), "the counter")
        self.assertEqual(len(self.file_objects(used)), 2)
        self.assertEqual(len(self.file_objects(young)), 2)
        again = b.create(self.entries[1], used)
        self.assertEqual(again.json()["id"], job["id"])
        late = b.create(self.entries[1], used, metadata={"a": "b"})
        self.assertEqual(late.status, 404)

    def test_results_are_removed_and_the_job_can_run_again(self):
        """Results must be removed after their retention, also when the owner
        of the job's record dies first. A job that is resent later must not
        find some of the earlier results."""
        items = [b.item(n) for n in range(100)]
        first = b.submit(self.entries[0], items)
        job = b.wait_state(self.entries[1], first)
        self.check_results(self.entries[2], job, items)
        self.assertGreater(len(self.result_objects()), 1)
        self.entries[0].kill()
        f.wait_for(lambda: not self.result_objects(), "the removal",
                   TAKEOVER_S)
        f.wait_for(lambda: b.get(self.entries[1], first).status == 404,
                   "the removal of the record")
        self.assertEqual(
            b.content(self.entries[2], job["output_file_id"]).status, 404)
        again = b.create(self.entries[1], first["input_file_id"]).json()
        self.assertEqual(again["id"], first["id"])
        job = b.wait_state(self.entries[2], again)
        self.check_results(self.entries[1], job, items)


if __name__ == "__main__":
    unittest.main()
