#!/usr/bin/env python3
"""Tests gateways whose watches the store will never answer."""
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from view_case import APPLY_S, CONTACT_S, ViewCase  # noqa: E402


class LostWatchTest(ViewCase):
    def test_lost_watches_of_one_node(self):
        """A node whose watches are never answered must learn from others that
        it is behind."""
        self.start(2)
        time.sleep(1)
        self.doors[0].drop_watches()
        self.change(2)
        time.sleep(APPLY_S)
        for gateway in self.gateways:
            self.assert_current(gateway, 2)

    def test_lost_watches_of_all_nodes(self):
        """Nodes whose watches are never answered must find out by
        themselves."""
        self.start(2)
        time.sleep(1)
        for door in self.doors:
            door.drop_watches()
        self.change(2)
        time.sleep(APPLY_S)
        for gateway in self.gateways:
            self.assert_current(gateway, 2)

    def test_unknown_route_while_out_of_contact(self):
        """A node that may lack a change must not tell a caller for good that a
        route does not exist."""
        self.start(1)
        gateway = self.gateways[0]
        self.assertEqual(self.call(gateway, "/none/a"), 404)
        self.doors[0].set_silent(True)
        time.sleep(CONTACT_S)
        self.assertEqual(self.call(gateway, "/none/a"), 503)
        self.assertEqual(self.call(gateway, "/once/a"), 200)
        self.doors[0].set_silent(False)
        time.sleep(CONTACT_S)
        self.assertEqual(self.call(gateway, "/none/a"), 404)


if __name__ == "__main__":
    unittest.main()
