#!/usr/bin/env python3
"""Tests gateways whose watches the store will never answer."""
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from view_case import APPLY_S, ViewCase  # noqa: E402


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


if __name__ == "__main__":
    unittest.main()
