#!/usr/bin/env python3
"""Tests a gateway that has read its views through another one, and reaches the
store itself again."""
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from gateway_standin import f  # noqa: E402
from view_case import APPLY_S, CONTACT_S, ViewCase  # noqa: E402


class RelayedViewTest(ViewCase):
    def read_through_the_other(self):
        """Lets the first gateway read its views through the second one, and
        its store answer again."""
        gateway = self.gateways[0]
        self.doors[0].set_silent(True)
        f.wait_for(lambda: self.is_relayed(gateway, "config/"),
                   "config through the other node", 20)
        self.doors[0].set_silent(False)
        f.wait_for(lambda: gateway.log().rstrip().rsplit(
            "event=store_contact direct=", 1)[1][0] == "1", "contact", 20)
        time.sleep(CONTACT_S)

    def is_relayed(self, gateway, view):
        lines = [line for line in gateway.log().splitlines()
                 if f"event=view_source prefix={view} " in line]
        return bool(lines) and "source=store" not in lines[-1]

    def test_other_node_loses_the_store(self):
        """A node whose store answers must not wait for a node whose store has
        fallen silent."""
        self.start(2)
        self.read_through_the_other()
        self.doors[1].set_silent(True)
        time.sleep(0.5)
        self.change(2)
        time.sleep(APPLY_S)
        self.assert_current(self.gateways[0], 2)

    def test_other_node_stands_still(self):
        """A node whose store answers must not wait for a node that is
        frozen."""
        self.start(2)
        self.read_through_the_other()
        self.gateways[1].process.send_signal(signal.SIGSTOP)
        time.sleep(0.5)
        self.change(2)
        time.sleep(APPLY_S)
        self.assert_current(self.gateways[0], 2)


if __name__ == "__main__":
    unittest.main()
