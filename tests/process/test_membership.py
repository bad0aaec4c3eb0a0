#!/usr/bin/env python3
"""Membership of entry processes that are killed, paused or drained.

Guards against nodes that keep a wrong member state: a restarted or resumed
node that stays dead, or a draining node that a stale VM list shows as live.
"""
import concurrent.futures
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402

DOMAINS = ["old-town", "thu-bon", "munster-a"]


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.fleet.start_platform()
        self.fleet.put_object("config/production",
                              f.json.dumps(f.sample_document()))
        self.entries = [self.fleet.start_entry(f"entry-{i}", DOMAINS[i % 3],
                                               wait=False) for i in range(6)]
        self.fleet.publish_vms()
        for entry in self.entries:
            self.fleet.wait_ready(entry)
        self.wait_state(self.entries, self.entries, {"alive"})

    def tearDown(self):
        self.fleet.close()

    def state(self, viewer, entry):
        status = f.request(viewer.operator_port, "GET", "/status").json()
        address = f"127.0.0.1:{entry.peer_port}"
        return next((m["state"] for m in status["members"]
                     if m["address"] == address), None)

    def wait_state(self, viewers, entries, states):
        for entry in entries:
            f.wait_for(lambda: all(self.state(v, entry) in states
                                   for v in viewers),
                       f"{entry.name} to be {states}", 40)

    def test_kill_and_restart(self):
        killed, rest = self.entries[1], self.entries[:1] + self.entries[2:]
        killed.kill()
        self.wait_state(rest, [killed], {"dead"})
        restarted = self.fleet.start_entry(
            "entry-again", DOMAINS[1], "--peer-port", str(killed.peer_port))
        restarted.peer_port = killed.peer_port
        self.wait_state(rest, [restarted], {"alive"})

    def test_pause(self):
        """A node that was declared dead while paused must be alive again once
        it resumes."""
        paused, rest = self.entries[2], self.entries[:2] + self.entries[3:]
        paused.send(signal.SIGSTOP)
        self.wait_state(rest, [paused], {"dead"})
        paused.send(signal.SIGCONT)
        self.wait_state(rest, [paused], {"alive"})
        self.wait_state([paused], rest, {"alive"})

    def test_drain(self):
        """A draining node must stay draining for its peers while the VM list
        still shows it as live."""
        drained, rest = self.entries[0], self.entries[1:]
        engine = self.fleet.start_engine("muse", "guild", "lantern-muse",
                                         DOMAINS[0])
        self.fleet.publish_vms()
        f.wait_for(lambda: f.chat(drained, "guild-key", "lantern-muse",
                                  "warm up").status == 200, "a first response")
        # The request in flight keeps the node from exiting.
        engine.send(signal.SIGSTOP)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            response = pool.submit(f.chat, drained, "guild-key",
                                   "lantern-muse", "koi")
            time.sleep(0.5)
            drained.send(signal.SIGTERM)
            self.wait_state(rest, [drained], {"draining"})
            self.fleet.publish_vms()
            time.sleep(3)
            for viewer in rest:
                self.assertEqual(self.state(viewer, drained), "draining")
            engine.send(signal.SIGCONT)
            self.assertEqual(response.result().status, 200)
        self.assertEqual(drained.popen.wait(30), 0)
        self.wait_state(rest, [drained], {"dead"})


if __name__ == "__main__":
    unittest.main()
