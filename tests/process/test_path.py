#!/usr/bin/env python3
"""The whole path as separate processes, and HTTP connection handling."""
import os
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402


def raw(port, data):
    """Sends bytes and returns all that comes back until the close."""
    with socket.create_connection(("127.0.0.1", port), timeout=10) as s:
        s.sendall(data)
        received = b""
        while True:
            piece = s.recv(65536)
            if not piece:
                return received
            received += piece


class PathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = f.Fleet()
        cls.fleet.start_platform()
        cls.engine = cls.fleet.start_engine("muse", "guild", "lantern-muse",
                                            "old-town")
        cls.fleet.put_object("config/production",
                             f.json.dumps(f.sample_document()))
        cls.fleet.publish_vms()
        cls.entry = cls.fleet.start_entry("entry-1", "old-town")
        f.wait_for(lambda: f.chat(cls.entry, "guild-key", "lantern-muse",
                                  "warm up").status == 200, "a first answer")

    @classmethod
    def tearDownClass(cls):
        cls.fleet.close()

    def test_stream_and_whole_answer_agree(self):
        whole = f.chat(self.entry, "guild-key", "lantern-muse", "koi")
        stream = f.chat(self.entry, "guild-key", "lantern-muse", "koi",
                        stream=True)
        text, complete = f.stream_text(stream.body)
        self.assertTrue(complete)
        self.assertEqual(text,
                         whole.json()["choices"][0]["message"]["content"])

    def test_pipelined_requests_are_answered_in_order(self):
        """libevhtp loses pipelined requests unless the server pauses it."""
        head = b"GET /v1/watch?since=0&prefix=none&timeout_ms=%d HTTP/1.1\r\n" \
               b"Host: x\r\n\r\n"
        data = raw(self.fleet.platform.port,
                   head % 100 + head % 1 +
                   b"GET /v1/vms HTTP/1.1\r\nHost: x\r\n\r\n"
                   b"GET /none HTTP/1.1\r\nHost: x\r\n"
                   b"Connection: close\r\n\r\n")
        self.assertEqual(data.count(b"HTTP/1.1 200"), 3)
        self.assertLess(data.index(b'"events"'), data.index(b'"vms"'))
        self.assertIn(b"HTTP/1.1 404", data)

    def test_partners_cannot_use_each_others_models(self):
        answer = f.chat(self.entry, "shannonside-key", "lantern-muse", "x")
        self.assertEqual(answer.status, 404)
        self.assertEqual(answer.json()["error"]["work"], "not_run")

    def test_no_known_runner_is_refused_at_once(self):
        """A request for a deployment without any runner must not wait in the
        queue, whose longest wait is two seconds."""
        start = time.monotonic()
        answer = f.chat(self.entry, "shannonside-key", "permit-assist", "koi")
        took_s = time.monotonic() - start
        self.assertEqual(answer.status, 503, answer.body)
        self.assertEqual(answer.json()["error"]["code"], "no_runner")
        self.assertEqual(answer.json()["error"]["work"], "not_run")
        self.assertIn("retry-after", answer.headers)
        self.assertLess(took_s, 1)

    def test_wrong_key(self):
        answer = f.chat(self.entry, "wrong", "lantern-muse", "x")
        self.assertEqual(answer.status, 401)


if __name__ == "__main__":
    unittest.main()
