#!/usr/bin/env python3
"""Claims of requests that may run only once, during ledger failures.

Guards against a second run or a lost response when the owner of a shard dies
right after an acknowledgement, is paused beyond its lease, cannot reach the
store, or does not receive the store's responses.
"""
import http.client
import json
import os
import re
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402

SHARDS = 8
KEYS = 16  # about two per shard
# A takeover takes the lease of 6 s, one poll interval and the detection time
# of the failure detector.
TAKEOVER_S = 30


def metric(entry, name):
    text = f.request(entry.operator_port, "GET", "/metrics").body.decode()
    found = re.search(rf"^{name} (\d+)$", text, re.M)
    return int(found.group(1)) if found else 0


def owned(entry):
    return metric(entry, "wasabilink_ledger_shards_owned")


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        self.engine = self.fleet.start_engine("muse", "guild", "lantern-muse",
                                              "old-town")
        self.fleet.put_object("config/production",
                              json.dumps(f.sample_document()))
        self.entries = [self.fleet.start_entry(f"entry-{i}", "old-town",
                                               wait=False) for i in range(3)]
        self.fleet.publish_vms()
        for entry in self.entries:
            self.fleet.wait_ready(entry)
        f.wait_for(lambda: sum(map(owned, self.entries)) == SHARDS and
                   max(map(owned, self.entries)) < SHARDS,
                   "all shards to have owners", 60)
        f.wait_for(lambda: self.chat_once(self.entries[0], "warm up")
                   is not None, "a first response")

    def runs(self):
        """Returns the sum over all ids; the engine does not count runs per
        prompt."""
        answer = f.request(self.engine.port, "GET", "/engine/runs").json()
        return sum(answer.values())

    def send(self, entry, key):
        return f.chat(entry, "guild-key", "lantern-muse", "prompt " + key,
                      headers={"Idempotency-Key": key,
                               "X-Wasabilink-Idempotent": "false"})

    def chat_once(self, entry, key):
        """Returns the content of a 200 response, or None after a 409, a lost
        connection or a 503 with work not_run. Others fail the test."""
        try:
            answer = self.send(entry, key)
        except (OSError, http.client.HTTPException):
            return None
        if answer.status == 200:
            return answer.json()["choices"][0]["message"]["content"]
        self.assertIn(answer.status, (409, 503), answer.body)
        if answer.status == 503:
            self.assertEqual(answer.json()["error"]["work"], "not_run")
            self.assertIn("retry-after", answer.headers)
        return None

    def until_answered(self, entry, key, timeout_s=TAKEOVER_S):
        return f.wait_for(lambda: self.chat_once(entry, key),
                          "a response to " + key, timeout_s)

    def answer_all(self, entry, keys, timeout_s=TAKEOVER_S):
        """Sends all keys concurrently; returns the responses by key."""
        answers = {}

        def one(key):
            answers[key] = self.until_answered(entry, key, timeout_s)
        threads = [threading.Thread(target=one, args=(k,)) for k in keys]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(answers), sorted(keys))
        return answers

    def test_owner_killed_right_after_its_acknowledgement(self):
        before = self.runs()
        keys = [f"kill-{i}" for i in range(KEYS)]
        victim = max(self.entries, key=owned)
        others = [e for e in self.entries if e is not victim]
        first = self.answer_all(others[0], keys)
        victim.kill()
        self.assertEqual(self.answer_all(others[1], keys), first)
        self.assertEqual(self.runs() - before, KEYS)
        f.wait_for(lambda: sum(map(owned, others)) == SHARDS,
                   "a takeover of all shards", TAKEOVER_S)

    def test_owner_paused_beyond_its_lease(self):
        before = self.runs()
        early = [f"early-{i}" for i in range(KEYS)]
        late = [f"late-{i}" for i in range(KEYS)]
        victim = max(self.entries, key=owned)
        others = [e for e in self.entries if e is not victim]
        answers = self.answer_all(victim, early)
        victim.send(signal.SIGSTOP)
        f.wait_for(lambda: sum(map(owned, others)) == SHARDS,
                   "a takeover of all shards", TAKEOVER_S)
        answers.update(self.answer_all(others[0], late))
        victim.send(signal.SIGCONT)
        # The resumed owner must not answer from its stale state, because the
        # late keys would then run again.
        self.assertEqual(self.answer_all(victim, late + early), answers)
        self.assertEqual(self.runs() - before, 2 * KEYS)
        f.wait_for(lambda: metric(victim, "wasabilink_ledger_losses_total"),
                   "the resumed owner's loss to be counted")

    def test_store_outage(self):
        before = self.runs()
        keys = [f"outage-{i}" for i in range(KEYS)]
        first = self.answer_all(self.entries[0], keys[:4])
        self.fleet.fault(self.fleet.platform, outage_ms=5000)
        began = time.monotonic()
        refused = self.send(self.entries[1], keys[5])
        self.assertEqual(refused.status, 503)
        self.assertEqual(refused.json()["error"]["work"], "not_run")
        self.assertLess(time.monotonic() - began, 4)
        self.assertEqual(self.runs() - before, 4)
        answers = self.answer_all(self.entries[2], keys)
        for key, content in first.items():
            self.assertEqual(answers[key], content)
        self.assertEqual(self.runs() - before, KEYS)

    def test_lost_store_responses(self):
        before = self.runs()
        keys = [f"lost-{i}" for i in range(KEYS)]
        self.fleet.fault(self.fleet.platform, lose_answers=0.4)
        first = self.answer_all(self.entries[0], keys, 60)
        self.fleet.fault(self.fleet.platform, lose_answers=0)
        self.assertEqual(self.answer_all(self.entries[1], keys), first)
        self.assertEqual(self.runs() - before, KEYS)
        uncertain = sum(metric(e,
                               "wasabilink_ledger_uncertain_writes_total")
                        for e in self.entries)
        self.assertGreater(uncertain, 0)

    def test_graceful_stop_releases_shards(self):
        keys = [f"stop-{i}" for i in range(KEYS)]
        victim = max(self.entries, key=owned)
        others = [e for e in self.entries if e is not victim]
        first = self.answer_all(others[0], keys)
        self.assertEqual(victim.stop(), 0)
        self.assertEqual(self.answer_all(others[1], keys, 10), first)
        self.assertIn("event=shard_released", self.fleet.log(victim.name))


if __name__ == "__main__":
    unittest.main()
