#!/usr/bin/env python3
"""Online requests while a node's own domain is full and the other is cut off."""
import os
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch import f  # noqa: E402
from cut import Group  # noqa: E402

LOCAL, CUT = "old-town", "thu-bon"
SLOTS = 2
TOKEN_US = 20000
# A third of the time after which the entry gives up an attempt in silence.
ANSWER_MAX_S = 10
# Twice the slots of the local domain.
REQUESTS = 12


class SpilloverCutTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.fleet.start_platform(domains=(LOCAL, CUT))
        self.fleet.put_object("config/production",
                              f.json.dumps(f.sample_document()))
        self.local = [self.engine(f"muse-{i}", LOCAL) for i in range(3)]
        self.remote = self.engine("muse-cut", CUT)
        self.group = Group(self.fleet.log_dir, LOCAL)
        with self.group.started():
            self.entry = self.fleet.start_entry("entry-0", LOCAL)
        self.other = self.fleet.start_entry("entry-cut", CUT)
        self.fleet.publish_vms()
        f.wait_for(lambda: self.chat("warm up").status == 200, "an answer")

    def tearDown(self):
        self.fleet.close()

    def engine(self, name, domain):
        return self.fleet.start_engine(
            name, "guild", b.MODEL, domain, "--slots", str(SLOTS),
            "--token-us", str(TOKEN_US))

    def chat(self, text):
        return f.chat(self.entry, "guild-key", b.MODEL, text)

    # Guards against requests that hang at an engine of a cut-off domain, as
    # all engines of their own domain are full.
    def test_full_domain_beside_cut_domain(self):
        self.group.cut([self.other.peer_port, self.remote.port])
        start = time.monotonic()
        with ThreadPoolExecutor(REQUESTS) as pool:
            answers = list(pool.map(lambda n: self.chat(f"lantern {n}"),
                                    range(REQUESTS)))
        self.assertEqual([a.status for a in answers], [200] * REQUESTS)
        self.assertLess(time.monotonic() - start, ANSWER_MAX_S)


if __name__ == "__main__":
    unittest.main()
