#!/usr/bin/env python3
"""A network partition in which callers use both sides, and its end.

One domain keeps the platform, the other reaches only its own processes. Guards
against results on the two sides that contradict each other, requests that run
twice, and items that run on after their job was cancelled on the other side.
"""
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch import f  # noqa: E402
from cut import Group  # noqa: E402

ISOLATED, CONNECTED = DOMAINS = ("old-town", "thu-bon")
ITEMS = 300
PARTITION_S = 25
NO_RUNS_S = 4


def non_idempotent(key):
    return {"Idempotency-Key": key, "X-Wasabilink-Idempotent": "false"}


class BothSidesTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        platform = self.fleet.start_platform(domains=DOMAINS)
        self.fleet.put_object("config/production",
                              f.json.dumps(f.sample_document()))
        # Enough runners per domain that it does not use those of the other.
        self.engines = {d: [self.fleet.start_engine(
            f"muse-{d}-{i}", "guild", b.MODEL, d, "--slots", "8",
            "--token-us", "10000") for i in range(3)] for d in DOMAINS}
        vms = list(self.fleet.vms)
        self.oracle = self.fleet.start_engine("oracle", "guild", "oracle",
                                              "none", "--token-us", "0",
                                              "--first-token-us", "0")
        self.fleet.vms = vms
        self.refused = dict.fromkeys(DOMAINS, 0)
        self.groups = {d: Group(self.fleet.log_dir, d) for d in DOMAINS}
        self.entries = {d: [] for d in DOMAINS}
        for domain in DOMAINS:
            with self.groups[domain].started():
                for i in range(2):
                    self.entries[domain].append(self.fleet.start_entry(
                        f"entry-{domain}-{i}", domain))
        self.platform_port = platform.info[ISOLATED]
        self.fleet.publish_vms()
        for domain in DOMAINS:
            f.wait_for(lambda d=domain: self.chat(
                self.entries[d][0], "warm up",
                non_idempotent("warm up " + d)).status == 200,
                "the ledger in " + domain)

    def tearDown(self):
        self.fleet.close()

    def chat(self, entry, prompt, headers=None):
        return f.chat(entry, "guild-key", b.MODEL, prompt, headers=headers)

    def all_engines(self):
        return [e for d in DOMAINS for e in self.engines[d]]

    def runs_of_key(self, key):
        return sum(f.request(e.port, "GET", "/engine/runs?by=key").json()
                   .get(key, 0) for e in self.all_engines())

    def runs_of_job(self, job):
        start = "batch_req_" + job["id"].removeprefix("batch_")
        return sum(count for e in self.all_engines() for name, count in
                   f.request(e.port, "GET", "/engine/runs").json().items()
                   if name.startswith(start))

    def cut(self):
        for domain, other in (DOMAINS, DOMAINS[::-1]):
            ports = [e.peer_port for e in self.entries[other]]
            ports += [e.port for e in self.engines[other]]
            if domain == ISOLATED:
                ports.append(self.platform_port)
            self.groups[domain].cut(ports)

    def use_both_sides(self, number):
        """Sends the same keys to both sides; idempotent requests must be
        answered."""
        for domain in DOMAINS:
            entry = self.entries[domain][number % 2]
            for headers in ({}, {"Idempotency-Key": f"keyed {number}"}):
                answer = self.chat(entry, f"keyed {number}", headers)
                self.assertEqual(answer.status, 200, answer.body)
            answer = self.chat(entry, f"once {number}",
                               non_idempotent(f"once {number}"))
            if answer.status == 503:
                self.refused[domain] += 1
                self.assertEqual(answer.json()["error"]["work"], "not_run")
            elif answer.status != 409:
                self.assertEqual(answer.status, 200, answer.body)

    def cancel(self, job):
        entry = self.entries[CONNECTED][0]
        path = f"/v1/batches/{job['id']}/cancel"
        f.wait_for(lambda: f.request(entry.port, "POST", path, "",
                                     b.KEY).status == 200,
                   "the cancellation to be accepted", 60)
        b.wait_state(entry, job, ("cancelled",), 40)

    def check_output(self, entry, job, items):
        done = b.wait_state(entry, job, timeout_s=120)
        output = b.lines(entry, done["output_file_id"])
        self.assertEqual(sorted(line["custom_id"] for line in output),
                         sorted(i["custom_id"] for i in items))
        by_id = {line["custom_id"]: line["response"]["body"]
                 for line in output}
        for item in items[::10]:
            body = by_id[item["custom_id"]]
            self.assertEqual(body["choices"][0]["message"]["content"],
                             b.expected(self.oracle, item))

    def recorded_response(self, entry, key):
        """Returns the recorded response; None while the response is one that
        the node could not record."""
        answer = self.chat(entry, key, {"Idempotency-Key": key})
        if answer.status != 200 or \
                answer.headers.get("x-wasabilink-recorded") == "false":
            return None
        return answer.body

    def check_keys(self, count):
        """After the partition, each non-idempotent key must have run at most
        once, and all nodes must return the same result for a key."""
        entries = [e for d in DOMAINS for e in self.entries[d]]
        for number in range(count):
            key = f"keyed {number}"
            bodies = set()
            for entry in entries:
                bodies.add(f.wait_for(
                    lambda e=entry, k=key: self.recorded_response(e, k),
                    "the record of " + key, 40))
            self.assertEqual(len(bodies), 1, bodies)
            key = f"once {number}"
            for entry in entries:
                f.wait_for(lambda e=entry, k=key: self.chat(
                    e, k, non_idempotent(k)).status in (200, 409), key, 40)
            self.assertLessEqual(self.runs_of_key(key), 1, key)

    def test_both_sides_serve_consistently(self):
        """Responses of the two sides must not contradict each other, and a
        cancellation on one side must stop the job's items on both."""
        items = [b.item(n, f"kept {n}", max_tokens=100) for n in range(ITEMS)]
        kept_job = b.submit(self.entries[ISOLATED][0], items)
        cancelled_jobs = [
            b.submit(self.entries[ISOLATED][1],
                     [b.item(n, f"dropped {job} {n}", max_tokens=200)
                      for n in range(ITEMS)]) for job in range(3)]
        f.wait_for(lambda: self.runs_of_job(kept_job), "batch to run")
        self.cut()
        end = time.monotonic() + PARTITION_S
        number = 0
        while time.monotonic() < end:
            self.use_both_sides(number)
            number += 1
            time.sleep(0.5)
        # Proves that the partition took effect: one side could not record
        # any request.
        self.assertEqual(self.refused[ISOLATED], number)
        self.assertLess(self.refused[CONNECTED], number)
        for job in cancelled_jobs:
            self.cancel(job)
        before = [self.runs_of_job(job) for job in cancelled_jobs]
        time.sleep(NO_RUNS_S)
        self.assertEqual([self.runs_of_job(job) for job in cancelled_jobs],
                         before)
        for group in self.groups.values():
            group.heal()
        self.check_keys(number)
        for entry in (self.entries[ISOLATED][0], self.entries[CONNECTED][1]):
            self.check_output(entry, kept_job, items)
            for job in cancelled_jobs:
                b.wait_state(entry, job, ("cancelled",), 40)
        self.assertEqual([self.runs_of_job(job) for job in cancelled_jobs],
                         before)


if __name__ == "__main__":
    unittest.main()
