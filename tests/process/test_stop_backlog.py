#!/usr/bin/env python3
"""Tests that an entry process that stops answers the requests on connections
that are made until its listening socket is closed."""
import os
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import test_entry_broken_answer as base  # noqa: E402

CALLERS = 8
REQUEST_DELAY_S = 0.1


class StopBacklogTest(unittest.TestCase):
    setUp = base.EntryBrokenAnswerTest.setUp
    tearDown = base.EntryBrokenAnswerTest.tearDown
    chat = base.EntryBrokenAnswerTest.chat

    def call_until_refused(self, cut, pause_s=0.0):
        """Makes short requests on new connections, each so long after its
        connection, until these are refused; appends those that were sent and had
        no answer."""
        request = (b"GET /v1/models HTTP/1.1\r\nHost: x\r\n"
                   b"Authorization: Bearer guild-key\r\n\r\n")
        while True:
            try:
                caller = socket.create_connection(
                    ("127.0.0.1", self.entry.port), 10)
            except OSError:
                return
            with caller:
                time.sleep(pause_s)
                try:
                    caller.sendall(request)
                    if not caller.recv(1):
                        cut.append("closed")
                except OSError as error:
                    cut.append(error)

    def stop_beside_calls(self, pause_s):
        cut = []
        callers = [threading.Thread(target=self.call_until_refused,
                                    args=(cut, pause_s))
                   for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(base.DRAIN_STEP_S)
        self.assertEqual(self.entry.stop(), 0)
        for caller in callers:
            caller.join()
        self.assertEqual(cut, [])

    def test_new_connections_at_the_end_of_a_stop(self):
        """Guards against connections that are accepted by the kernel and reset
        when the process exits, with a request on them."""
        self.stop_beside_calls(0)

    def test_requests_a_moment_after_their_connection(self):
        """Guards against connections that are closed at the end of a stop while
        their first request is on its way."""
        self.stop_beside_calls(REQUEST_DELAY_S)


if __name__ == "__main__":
    unittest.main()
