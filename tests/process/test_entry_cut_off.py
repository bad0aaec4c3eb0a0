#!/usr/bin/env python3
"""Requests at an entry VM that is cut off from all engines, while the other
entry VM reaches them."""
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch import f  # noqa: E402
from cut import Group  # noqa: E402

DOMAIN = "old-town"
# Time in which the entry VM can notice that all engines are silent.
NOTICE_S = 6
ANSWER_MAX_S = 1


class EntryCutOffTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.fleet.start_platform()
        self.fleet.put_object("config/production",
                              f.json.dumps(f.sample_document()))
        engines = [self.fleet.start_engine(f"muse-{i}", "guild", b.MODEL,
                                           DOMAIN) for i in range(3)]
        group = Group(self.fleet.log_dir, DOMAIN)
        with group.started():
            self.entry = self.fleet.start_entry("entry-cut", DOMAIN)
        self.other = self.fleet.start_entry("entry-other", DOMAIN)
        self.fleet.publish_vms()
        for entry in (self.entry, self.other):
            f.wait_for(lambda e=entry: self.chat(e).status == 200, "an answer")
        group.cut([engine.port for engine in engines])

    def tearDown(self):
        self.fleet.close()

    def chat(self, entry):
        return f.chat(entry, "guild-key", b.MODEL, "koi",
                      headers={"X-Request-Deadline-Ms": "3000"})

    # Guards against callers of a cut-off entry VM that wait until their
    # deadline, while other entry VMs could serve them.
    def test_callers_do_not_wait(self):
        end = time.monotonic() + NOTICE_S
        while time.monotonic() < end:
            self.chat(self.entry)
        start = time.monotonic()
        answer = self.chat(self.entry)
        self.assertLess(time.monotonic() - start, ANSWER_MAX_S, answer.body)
        if answer.status != 200:
            self.assertEqual(answer.json()["error"]["work"], "not_run")
            self.assertIn("retry-after", answer.headers)
        self.assertEqual(self.chat(self.other).status, 200)


if __name__ == "__main__":
    unittest.main()
