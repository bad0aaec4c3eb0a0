#!/usr/bin/env python3
"""The operators' command for batch jobs, against running processes."""
import json
import os
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
import fleet as f  # noqa: E402


class JobsToolTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = f.Fleet()
        cls.fleet.start_platform()
        cls.fleet.put_object("config/production",
                             json.dumps(f.sample_document()))
        cls.fleet.start_engine("muse", "guild", "lantern-muse", "old-town",
                               "--token-us", "1000")
        cls.entry = cls.fleet.start_entry("entry-1", "old-town")
        cls.fleet.publish_vms()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.close()

    def jobs(self, *args, key="guild-key"):
        environment = {**os.environ, "WASABILINK_KEY": key,
                       "WASABILINK_ENTRY": f"127.0.0.1:{self.entry.port}"}
        return subprocess.run([f.BINARY, "jobs", *args], env=environment,
                              capture_output=True, text=True, timeout=120,
                              check=False)

    def test_submit_wait_and_read(self):
        with tempfile.NamedTemporaryFile("w", suffix=".jsonl") as items:
            for n in range(10):
                text = "[fail] always" if n == 3 else None
                items.write(json.dumps(b.item(n, text)) + "\n")
            items.flush()

            def submit():
                done = self.jobs("submit", items.name, "--job-key", "j1")
                return done if done.returncode == 0 else None
            job = f.wait_for(submit, "the job to be accepted").stdout
            again = self.jobs("submit", items.name, "--job-key", "j1").stdout
        job_id = job.split()[0].split("=")[1]
        self.assertEqual(job_id, again.split()[0].split("=")[1])
        waited = self.jobs("wait", job_id)
        self.assertEqual(waited.returncode, 0, waited.stderr)
        self.assertIn("completed=9 failed=1", waited.stdout)
        output = [json.loads(line) for line in
                  self.jobs("output", job_id).stdout.splitlines()]
        errors = [json.loads(line) for line in
                  self.jobs("errors", job_id).stdout.splitlines()]
        self.assertEqual(len(output), 9)
        self.assertEqual([e["custom_id"] for e in errors], ["i3"])
        self.assertIn(job_id, self.jobs("list").stdout)
        other = self.jobs("show", job_id, key="shannonside-key")
        self.assertEqual(other.returncode, 1)
        self.assertIn("404", other.stderr)

    def test_bad_usage_and_input(self):
        self.assertEqual(self.jobs().returncode, 64)
        self.assertEqual(self.jobs("show").returncode, 64)
        self.assertEqual(self.jobs("submit", "/no/such/file").returncode, 65)
        self.assertEqual(self.jobs("list", key="wrong").returncode, 1)


if __name__ == "__main__":
    unittest.main()
