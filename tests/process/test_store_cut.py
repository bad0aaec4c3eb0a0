#!/usr/bin/env python3
"""A failure domain that reaches the other domains, but not the platform.

The owner of a shard then stays an alive member, so membership alone does not
move its shards. Guards against operations on these shards that fail until the
platform is reachable again, and against shards that do not return afterwards.
"""
import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402

DOMAINS = ("old-town", "thu-bon", "cam-kim")
SHARDS = 8
KEYS = 24
SETTLE_S = 40


class StoreCutTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.platform = self.fleet.start_platform(domains=DOMAINS)
        self.fleet.put_object("config/production",
                              f.json.dumps(f.sample_document()))
        for domain in DOMAINS:
            self.fleet.start_engine(f"muse-{domain}", "guild", "lantern-muse",
                                    domain)
        self.entries = [self.fleet.start_entry(f"entry-{d}", d)
                        for d in DOMAINS]
        self.fleet.publish_vms()
        # No node may own more than half of the shards, so two or three nodes
        # own some.
        f.wait_for(lambda: sum(map(self.owned, self.entries)) == SHARDS and
                   max(map(self.owned, self.entries)) <= SHARDS / 2,
                   "the shards to be spread", SETTLE_S)

    def tearDown(self):
        self.fleet.close()

    @staticmethod
    def owned(entry):
        text = f.request(entry.operator_port, "GET", "/metrics").body.decode()
        return next(int(line.split()[1]) for line in text.splitlines()
                    if line.startswith("wasabilink_ledger_shards_owned "))

    def chat_non_idempotent(self, entry, key):
        return f.chat(entry, "guild-key", "lantern-muse", key, headers={
            "Idempotency-Key": key, "X-Wasabilink-Idempotent": "false"})

    def run_on_all_shards(self, entry, name):
        """Sends requests that may run only once, with keys in all shards."""
        for number in range(KEYS):
            f.wait_for(lambda n=number: self.chat_non_idempotent(
                entry, f"{name} {n}").status == 200, f"{name} {number}",
                SETTLE_S)

    def test_shards_move_to_other_domains_and_return(self):
        """Requests must succeed at every node during and after the cut."""
        cut = max(self.entries, key=self.owned)
        self.fleet.fault(self.platform,
                         block=[self.platform.info[cut.info["domain"]]])
        for entry in self.entries:
            self.run_on_all_shards(entry, "cut " + entry.name)
        self.assertTrue(all(e.alive() for e in self.entries))
        self.fleet.fault(self.platform, block=[])
        f.wait_for(lambda: self.owned(cut) > 0 and sum(
            map(self.owned, self.entries)) == SHARDS,
            "shards to return to the domain", SETTLE_S)
        for entry in self.entries:
            self.run_on_all_shards(entry, "healed " + entry.name)


if __name__ == "__main__":
    unittest.main()
