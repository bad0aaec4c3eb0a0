#!/usr/bin/env python3
"""Batch jobs whose deployment the operator removes or puts under another name."""
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch import f  # noqa: E402
from batch_case import BatchCase, TAKEOVER_S  # noqa: E402

ITEMS = 1600
WINDOW_S = 20
# Until a change of the document and of the VM list is in force everywhere.
APPLY_S = 20
OTHER = "lantern-muse-2"
FINAL = ("completed", "failed", "expired", "cancelled")


class RemovedDeploymentTest(BatchCase):
    def submit(self):
        """More work than the engines can do within the window."""
        items = [b.item(n, max_tokens=100) for n in range(ITEMS)]
        job = b.submit(self.entries[0], items, window=f"{WINDOW_S}s")
        self.wait_progress(self.entries[0], job)
        return job

    def apply(self, name):
        """Removes the deployment; it is called name from then on, None: it is
        gone."""
        document = f.sample_document()
        deployments = document["partners"]["guild"]["deployments"]
        old = deployments.pop(b.MODEL)
        if name:
            deployments[name] = old
        path = "/v1/objects/config/production"
        version = f.request(self.fleet.platform.port, "GET",
                            path).headers["x-object-version"]
        answer = self.fleet.put_object("config/production",
                                       f.json.dumps(document), version)
        self.assertEqual(answer.status, 200)
        for entry in self.entries:
            if entry.alive():
                f.wait_for(lambda e=entry: f.chat(
                    e, "guild-key", b.MODEL, "x").status == 404,
                    "the removal", APPLY_S)

    def list_engines(self, deployment):
        """The VM list names the engines as those of the deployment, or not at
        all."""
        vms = [vm for vm in self.fleet.vms if vm["role"] != "runner"]
        if deployment:
            vms += [{**vm, "deployment": deployment}
                    for vm in self.fleet.vms if vm["role"] == "runner"]
        self.fleet.vms = vms
        self.fleet.publish_vms()

    def check_accounted(self, job):
        """The job ends by its deadline with a line for each item, and stays
        readable at all nodes."""
        entries = [e for e in self.entries if e.alive()]
        job = b.wait_state(entries[0], job, FINAL, WINDOW_S + TAKEOVER_S)
        self.assertEqual(job["status"], "expired")
        for entry in entries:
            ids = [line["custom_id"]
                   for line in b.lines(entry, job["output_file_id"]) +
                   b.lines(entry, job["error_file_id"])]
            self.assertEqual(len(ids), ITEMS)
            self.assertEqual(len(set(ids)), ITEMS)
            self.assertEqual(b.get(entry, job).json()["status"], "expired")

    def test_engines_gone_too(self):
        """Nothing runs the waiting items any more."""
        job = self.submit()
        self.apply(None)
        self.list_engines(None)
        for engine in self.engines:
            engine.kill()
        self.check_accounted(job)

    def test_coordinator_ends_meanwhile(self):
        """The next coordinator knows the deployment from the job only."""
        job = self.submit()
        owner = self.owner(job)
        self.apply(None)
        self.list_engines(None)
        owner.kill()
        self.check_accounted(job)

    def test_other_name(self):
        """The engines serve the deployment under another name, at the addresses
        that they have: its jobs are run there, those of the old name are not."""
        job = self.submit()
        self.apply(OTHER)
        self.list_engines(OTHER)
        items = [b.item(n, model=OTHER) for n in range(20)]

        def accepted():
            answer = b.create(self.entries[1],
                              b.upload(self.entries[1], items).json()["id"])
            return answer.json() if answer.status == 200 else None
        other = f.wait_for(accepted, "the other name", APPLY_S)
        other = b.wait_state(self.entries[1], other)
        self.assertEqual(other["request_counts"]["completed"], 20)
        self.check_accounted(job)


if __name__ == "__main__":
    unittest.main()
