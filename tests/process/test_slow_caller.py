#!/usr/bin/env python3
"""A caller that requests a stream and does not read it.

Guards against an unbounded buffer, against an engine that continues to
generate tokens that no caller reads, and against a request that never ends.
"""
import json
import os
import re
import socket
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402
from scripted_engine import FLOOD_BYTES, ScriptedEngine  # noqa: E402

LIMIT_MS = 300
BUFFER_BYTES = 256 * 1024
# One read from the engine may add this much before reading pauses.
READ_BYTES = 64 * 1024


class SlowCallerTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        # A sanitizer's quarantine keeps freed memory resident, which would
        # hide how much memory is held for the caller.
        options = os.environ.get("ASAN_OPTIONS", "")
        os.environ["ASAN_OPTIONS"] = options + ":quarantine_size_mb=1"
        cls.fleet = f.Fleet()
        cls.fleet.start_platform()
        cls.fleet.put_object("config/production",
                             json.dumps(f.sample_document()))
        cls.engine = ScriptedEngine()
        cls.fleet.vms.append(
            cls.engine.vm("guild", "lantern-muse", "old-town"))
        cls.fleet.publish_vms()
        cls.entry = cls.fleet.start_entry("entry-1", "old-town",
                                          "--slow-caller-ms", str(LIMIT_MS))
        f.wait_for(lambda: f.chat(cls.entry, "guild-key", "lantern-muse",
                                  "warm up").status == 200, "a first answer")

    @classmethod
    def tearDownClass(cls):
        cls.fleet.close()
        cls.engine.close()

    def ask(self, prompt):
        """Sends a request for a stream and returns the unread connection."""
        body = json.dumps({"model": "lantern-muse", "stream": True,
                           "messages": [{"role": "user",
                                         "content": prompt}]}).encode()
        s = socket.socket()
        # A small receive window, so that the bound is reached soon.
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.settimeout(20)
        s.connect(("127.0.0.1", self.entry.port))
        s.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                  b"Authorization: Bearer guild-key\r\nx-request-id: %s\r\n"
                  b"Content-Length: %d\r\n\r\n" %
                  (prompt.encode(), len(body)) + body)
        return s

    def peak_bytes(self):
        """Peak resident memory of the entry process."""
        with open(f"/proc/{self.entry.pid}/status", encoding="ascii") as status:
            peak = next(x for x in status if x.startswith("VmHWM:"))
        return int(peak.split()[1]) * 1024

    def cut_pending(self, request):
        """The bytes that were buffered when the stream was aborted, or None."""
        found = re.search(f"event=slow_caller request={request} "
                          r"pending=(\d+)", self.fleet.log("entry-1"))
        return int(found.group(1)) if found else None

    def test_caller_that_does_not_read(self):
        before = self.peak_bytes()
        self.engine.mode = "flood"
        caller = self.ask("flood")
        f.wait_for(lambda: "flood" in self.engine.closed, "the cancel")
        f.wait_for(lambda: self.cut_pending("flood"), "the log line")
        self.assertLess(self.cut_pending("flood"), BUFFER_BYTES + READ_BYTES)
        self.assertLess(self.peak_bytes() - before, 16 * BUFFER_BYTES)
        # The kernel's socket buffers hold the rest.
        self.assertLess(self.engine.sent["flood"], FLOOD_BYTES / 2)
        data = b""
        while True:
            try:
                piece = caller.recv(65536)
            except ConnectionResetError:
                break
            if not piece:
                break
            data += piece
        caller.close()
        self.assertNotIn(b"[DONE]", data)
        self.assertFalse(data.endswith(b"0\r\n\r\n"), "an aborted stream "
                         "must not look complete")
        self.engine.mode = "whole"
        self.assertEqual(f.chat(self.entry, "guild-key", "lantern-muse",
                                "after").status, 200)


if __name__ == "__main__":
    unittest.main()
