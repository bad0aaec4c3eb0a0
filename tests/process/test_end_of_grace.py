#!/usr/bin/env python3
"""Tests that a planned stop leaves no request without an answer when its grace
period ends."""
import base64
import http.client
import json
import os
import signal
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from gateway_standin import f  # noqa: E402

GRACE_S = 5
JOB = json.dumps({"items": [
    {"id": "i", "path": "/batch/x", "headers": {"Model": "m"},
     "body": base64.b64encode(b"x").decode(), "tokens": 10}]}).encode()


class Call:
    """A request whose answer comes later, on a connection of its own or a kept
    one."""

    def __init__(self, gateway, request, route, length=0, kept=None):
        self.connection = kept or socket.create_connection(
            ("127.0.0.1", gateway.port))
        self.connection.settimeout(15)
        self.connection.sendall(
            f"POST {route}a HTTP/1.1\r\nHost: {s.HOST}\r\n"
            f"Request-Id: {request}\r\nDeadline-Ms: 14000\r\n"
            f"Content-Length: {length}\r\n\r\n".encode())

    def answer(self):
        """Status and headers, and the body; None for one that is cut."""
        response = http.client.HTTPResponse(self.connection)
        response.begin()
        try:
            body = response.read()
        except http.client.IncompleteRead:
            body = None
        return response.status, response.headers, body


class EndOfGraceTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        more = {"timeout_ms": 30000, "max_attempts": 3}
        self.store.put("config", "main", s.config(
            1, s.route("/safe/", "safe", **more),
            s.route("/unsafe/", "unsafe", **more),
            s.route("/stream/", "streaming", **more),
            s.route("/slow/", "unsafe", target_latency_ms=4000, **more)))
        self.runners = [s.Runner(self.store, f"r{i}") for i in range(2)]
        self.gateway = s.Gateway(self.store, "grace-g", GRACE_S)
        f.wait_for(self.gateway.is_ready, "gateway ready")

    def tearDown(self):
        for each in [self.gateway] + self.runners + [self.store]:
            each.close()

    def stop(self):
        self.gateway.process.send_signal(signal.SIGTERM)
        self.stopped_at = time.monotonic()

    def wait_until(self, since_stop_s):
        time.sleep(max(self.stopped_at + since_stop_s - time.monotonic(), 0))

    def answer_with(self, script):
        for runner in self.runners:
            runner.script = script

    def attempts(self, request):
        return sum(x[0] == request for r in self.runners for x in r.seen)

    def test_request_longer_than_the_grace(self):
        """Guards against a connection that is closed without an answer at the
        end of the grace while a runner has the request."""
        self.answer_with(lambda handler, after: time.sleep(10) or True)
        calls = {r: Call(self.gateway, "early" + r[1:-1], r)
                 for r in ("/safe/", "/unsafe/", "/stream/")}
        self.stop()
        self.wait_until(2.2)
        late = Call(self.gateway, "late", "/unsafe/")
        for route, call in {**calls, "late": late}.items():
            with self.subTest(call=route):
                status, headers, body = call.answer()
                self.assertIn(status, (502, 504))
                self.assertEqual(body, b"")
                self.assertEqual(headers["Connection"], "close")
        self.assertEqual(self.attempts("late"), 1)
        self.assertEqual(self.gateway.process.wait(5), 0)

    def test_stream_longer_than_the_grace(self):
        """Guards against a stream that ends as complete when it is cut at the
        end of the grace."""
        for runner in self.runners:
            runner.gap_s = 2
        call = Call(self.gateway, "q", "/stream/")
        self.stop()
        status, _, body = call.answer()
        self.assertEqual((status, body), (200, None))
        self.assertEqual(self.gateway.process.wait(5), 0)

    def test_close_is_announced(self):
        """Guards against a client that sends its next request on a connection
        that is about to be closed, as no answer told it."""
        self.answer_with(lambda handler, after: time.sleep(0.4))
        for _ in range(2):
            Call(self.gateway, "first", "/unsafe/").answer()
        begun = Call(self.gateway, "q", "/unsafe/")
        f.wait_for(lambda: self.attempts("q"), "an attempt")
        self.stop()
        f.wait_for(lambda: not self.gateway.is_ready(), "the stop")
        calls = [Call(self.gateway, "q1", route)
                 for route in ("/safe/", "/stream/", "/other/")]
        for call in [begun] + calls:
            self.assertEqual(call.answer()[1].get_all("Connection"), ["close"])

    def test_submission_longer_than_the_grace(self):
        """Guards against a connection that is closed without an answer while
        the store has the job."""
        self.store.set_silent(True)
        call = Call(self.gateway, "job", "/batch/", 2)
        call.connection.sendall(b"{}")
        items = Call(self.gateway, "job2", "/batch/", len(JOB))
        items.connection.sendall(JOB)
        self.stop()
        self.assertEqual(call.answer()[0], 400)
        self.assertIn(items.answer()[0], (503, 504))


if __name__ == "__main__":
    unittest.main()
