"""Gateways that each reach the store by a door of their own, for the tests of
views that are behind."""
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from gateway_standin import f  # noqa: E402

# The users' bound for a change of the configuration, and for a runner that
# leaves.
APPLY_S = 2
# After which a gateway is in touch with the store again.
CONTACT_S = 3


class ViewCase(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(1))
        self.runners = [s.Runner(self.store, name) for name in ("r0", "r1")]
        self.doors = []
        self.gateways = []
        self.number = 0

    def tearDown(self):
        for each in [*self.gateways, *self.runners, *self.doors, self.store]:
            each.close()

    def start(self, count):
        for i in range(count):
            self.doors.append(s.StoreDoor(self.store))
            self.gateways.append(s.Gateway(
                self.store, f"{self.id().rsplit('.', 1)[1]}-{i}",
                store_port=self.doors[i].port))
        for gateway in self.gateways:
            f.wait_for(gateway.is_ready, "ready")
        # Until they know each other.
        for gateway in self.gateways:
            f.wait_for(lambda: gateway.log().count("event=peer_heard") >=
                       count - 1, "peers")

    def call(self, gateway, path):
        self.number += 1
        return f.request(gateway.port, "POST", path, b"x", {
            "Host": s.HOST, "Request-Id": f"q{self.number}",
            "Deadline-Ms": "4000"}).status

    def change(self, version):
        self.store.put("config", "main", s.config(
            version, s.route(f"/new{version}/", "safe")))
        self.runners[0].register("draining")

    def assert_current(self, gateway, version):
        self.assertEqual(self.call(gateway, f"/new{version}/a"), 200)
        before = len(self.runners[0].seen)
        for _ in range(10):
            self.assertEqual(self.call(gateway, "/once/a"), 200)
        self.assertEqual(len(self.runners[0].seen), before)
