#!/usr/bin/env python3
"""A failure domain that reaches neither the platform nor the other domain.

The other domain's processes are paused, which the remaining domain observes as
a network partition; afterwards they resume with their state from before it.
Guards against refused idempotent requests during the partition, and against
requests that run twice because of it.
"""
import json
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402

DOMAINS = ("old-town", "thu-bon")


def non_idempotent(key):
    return {"Idempotency-Key": key, "X-Wasabilink-Idempotent": "false"}


class PartitionTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.platform = self.fleet.start_platform(domains=DOMAINS)
        self.fleet.put_object("config/production",
                              json.dumps(f.sample_document()))
        self.engines = {d: self.fleet.start_engine(f"muse-{d}", "guild",
                                                   "lantern-muse", d)
                        for d in DOMAINS}
        self.entries = {
            d: [self.fleet.start_entry(
                f"entry-{d}-{i}", d, "--platform",
                f"127.0.0.1:{self.platform.info[d]}") for i in range(2)]
            for d in DOMAINS}
        self.fleet.publish_vms()
        # A process must have read the VM list before the partition, because
        # otherwise it knows no runner.
        for entry in self.entries["old-town"] + self.entries["thu-bon"]:
            f.wait_for(lambda e=entry: self.chat(
                e, "warm up", non_idempotent("warm up " + e.name)).status
                == 200,
                "the ledger and a runner at " + entry.name)

    def tearDown(self):
        self.fleet.close()

    def chat(self, entry, prompt, headers=None):
        return f.chat(entry, "guild-key", "lantern-muse", prompt,
                      headers=headers)

    def runs(self, key, domains=DOMAINS):
        return sum(f.request(self.engines[d].port, "GET",
                             "/engine/runs?by=key").json().get(key, 0)
                   for d in domains)

    def test_isolated_domain_serves_and_rejoins(self):
        """An isolated domain must serve idempotent requests, refuse requests
        that it cannot record, and run none of them twice afterwards."""
        local, remote = self.entries["old-town"], self.entries["thu-bon"]
        self.fleet.fault(self.platform,
                         block=[self.platform.info["old-town"]])
        for entry in remote:
            entry.send(signal.SIGSTOP)
        self.engines["thu-bon"].send(signal.SIGSTOP)
        time.sleep(1)
        end = time.monotonic() + 20
        responses, refusals = [], []
        number = 0
        while time.monotonic() < end:
            for entry in local:
                number += 1
                for headers in ({}, {"Idempotency-Key": f"keyed {number}"}):
                    responses.append(self.chat(entry, f"keyed {number}",
                                               headers))
                answer = self.chat(entry, f"once {number}",
                                   non_idempotent(f"once {number}"))
                refusals.append((answer.status, f"once {number}", answer))
        self.assertEqual([a.body for a in responses if a.status != 200], [])
        self.assertEqual(self.runs("keyed 1", DOMAINS[:1]), 1)
        for status, key, answer in refusals:
            self.assertEqual(status, 503, answer.body)
            self.assertEqual(answer.json()["error"]["work"], "not_run")
            self.assertIn("retry-after", answer.headers)
            self.assertEqual(self.runs(key, DOMAINS[:1]), 0)
        self.fleet.fault(self.platform, block=[])
        for entry in remote:
            entry.send(signal.SIGCONT)
        self.engines["thu-bon"].send(signal.SIGCONT)
        for _, key, _ in refusals[:4]:
            for entry in (local[0], remote[0], remote[1]):
                f.wait_for(lambda e=entry, k=key: self.chat(
                    e, k, non_idempotent(k)).status == 200,
                    "a response to " + key, 40)
            self.assertEqual(self.runs(key), 1)


if __name__ == "__main__":
    unittest.main()
