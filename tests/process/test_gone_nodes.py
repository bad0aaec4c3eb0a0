#!/usr/bin/env python3
"""Tests gateways beside many entries of nodes that are gone for good."""
import json
import os
import re
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from gateway_standin import f  # noqa: E402
from test_runner_version import EVENTS, Stream  # noqa: E402

GONE = 40
STREAMS = 24
# Nodes that are silent for 10 s count as gone; checked twice a second.
SILENT_S = 11.5
REPLACED = 12
# Until the reports of a node that has started have reached the others.
HEARD_S = 1


class GoneNodesTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(1))
        self.runners = [
            s.Runner(self.store, f"r{i}", EVENTS,
                     version="v1" if i % 2 else "v2") for i in range(4)]
        for runner in self.runners:
            runner.gap_s = 0.02
        self.stopping = []
        self.gateways = [s.Gateway(self.store, f"gone-g{i}")
                         for i in range(3)]
        for gateway in self.gateways:
            f.wait_for(gateway.is_ready, f"{gateway.name} ready")

    def tearDown(self):
        for each in (self.gateways + self.stopping + self.runners +
                     [self.store]):
            each.close()

    def add_gone(self):
        """Entries at addresses where nobody listens."""
        def entries():
            return [o for (kind, _), o in self.store.objects.items()
                    if kind == "gateway-nodes"]
        f.wait_for(lambda: len(entries()) == len(self.gateways), "entries")
        text = json.dumps(entries()[0]["spec"])
        for number in range(GONE):
            spec = re.sub(r"127\.0\.0\.1:\d+", f"127.0.1.{number + 1}:9",
                          text)
            self.assertNotEqual(spec, text)
            self.store.put("gateway-nodes", f"gone{number}",
                           json.loads(spec))

    def test_streams_are_taken_up(self):
        """A stream goes on at another node, whose keepers of its version are
        chosen among the nodes that live."""
        self.add_gone()
        time.sleep(SILENT_S)
        self.take_up_streams()

    def test_streams_right_after_replacements(self):
        """A stream goes on though nodes have just been stopped: these are no
        keepers from the moment at which they say that they stop."""
        for number in range(REPLACED):
            new = s.Gateway(self.store, f"gone-n{number}")
            f.wait_for(new.is_ready, f"{new.name} ready")
            old = self.gateways.pop(0)
            self.gateways.append(new)
            self.stopping.append(old)
            old.process.send_signal(signal.SIGTERM)
        time.sleep(HEARD_S)
        self.take_up_streams()

    def take_up_streams(self):
        gone_on = 0
        for number in range(STREAMS):
            first = Stream(self.gateways[number % 3], f"s{number}.0")
            self.assertEqual(first.status, 200)
            events = first.events(4)
            first.close()
            again = Stream(self.gateways[(number + 1) % 3], f"s{number}.1",
                           events[-1][0], f"s{number}.0")
            if again.status == 200:
                numbers = [n for n, _ in events + again.events()]
                gone_on += numbers == list(range(1, EVENTS + 1))
            again.close()
        self.assertGreaterEqual(gone_on, STREAMS * 3 // 4)

    def test_entry_of_a_node_that_lives(self):
        """A node whose entry another one has removed registers again."""
        key = ("gateway-nodes", "gone-g0")
        f.wait_for(lambda: key in self.store.objects, "the entry")
        time.sleep(1)  # until the gateway has listed it
        self.store.remove(*key)
        f.wait_for(lambda: key in self.store.objects, "the entry again")

    def test_entry_of_a_node_that_stops(self):
        """A node that stops leaves no entry behind, and writes it again when it
        starts under its name."""
        gateway = self.gateways[0]
        key = ("gateway-nodes", gateway.name)
        f.wait_for(lambda: key in self.store.objects, "the entry")
        gateway.process.send_signal(signal.SIGTERM)
        gateway.process.wait(10)
        self.assertNotIn(key, self.store.objects)
        gateway.run()
        f.wait_for(lambda: key in self.store.objects, "the entry again")

    def test_entry_of_the_next_process(self):
        """A process that stops leaves the entry of the next one of its name,
        which has another address."""
        gateway = self.gateways[0]
        key = ("gateway-nodes", gateway.name)
        f.wait_for(lambda: key in self.store.objects, "the entry")
        entry = self.store.objects[key]["spec"]
        former = gateway.succeed()
        f.wait_for(lambda: self.store.objects[key]["spec"] != entry,
                   "the next entry")
        former.send_signal(signal.SIGTERM)
        former.wait(10)
        time.sleep(1)
        self.assertIn(key, self.store.objects)


if __name__ == "__main__":
    unittest.main()
