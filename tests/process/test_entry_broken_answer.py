#!/usr/bin/env python3
"""Tests of the entry process with backends whose answers break off, and with
requests that last longer than a planned stop."""
import http.client
import json
import os
import signal
import socket
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402
from scripted_engine import ScriptedEngine  # noqa: E402

STATUS = b"HTTP/1.1 200 OK\r\n"
OWN = STATUS + b"X-Request-Id: %(id)s\r\n"
CHUNKED = OWN + b"Transfer-Encoding: chunked\r\n"
# Where an answer breaks off.
CUTS = [b"", STATUS[:-4], STATUS, OWN[:-2], OWN, OWN + b"Content-Length: 1",
        OWN + b"Content-Length: 0\r\n", OWN + b"Content-Length: 0\r\n\r",
        CHUNKED, OWN + b"Content-Length: 5\r\n\r\n{}", CHUNKED + b"\r\n",
        CHUNKED + b"\r\n1", CHUNKED + b"\r\n2\r\n{}\r\n",
        CHUNKED + b"\r\n2\r\n{}\r\n0\r\n"]
# Answers of engines that end with their connection, in the middle.
SHORT = [OWN + b"\r\n", OWN + b"\r\n{\"choices\":"]
ERROR = b"HTTP/1.1 %d X\r\nX-Request-Id: %%(id)s\r\n"
IN_CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"
WITH_LENGTH = b"Content-Length: 1000000\r\n\r\n"
UNTIL_CLOSE = b"Connection: close\r\n\r\n"
# Heads by which an attempt has failed whatever follows, and what the caller gets
# when a second attempt would be answered. The only engine gets none when it is
# busy.
FAILED_HEADS = [
    (ERROR % 500 + IN_CHUNKS, 200),
    (ERROR % 500 + b"X-Not-Run: 1\r\n" + WITH_LENGTH, 200),
    (ERROR % 202 + UNTIL_CLOSE, 200),
    (STATUS + b"X-Request-Id: another\r\n" + IN_CHUNKS, 200),
    (ERROR % 400 + UNTIL_CLOSE, 400),
    (ERROR % 503 + WITH_LENGTH, 503),
]
FAILED_HEAD_S = 2
SHORT_ERRORS = 20
DRAIN_MS = 1500
DRAIN_STEP_S = 0.2  # some checks of a draining entry process


class EntryBrokenAnswerTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.fleet.start_platform()
        self.fleet.put_object("config/production",
                              json.dumps(f.sample_document()))
        self.engine, self.service = ScriptedEngine(), ScriptedEngine()
        self.fleet.vms += [
            self.engine.vm("guild", "lantern-muse", "old-town"),
            self.service.vm("guild", "glaze", "old-town", "service")]
        self.fleet.publish_vms()
        self.entry = self.fleet.start_entry("entry-1", "old-town", "--drain-ms",
                                            str(DRAIN_MS))
        f.wait_for(lambda: self.chat(False).status == 200, "a first answer")

    def tearDown(self):
        self.fleet.close()
        self.engine.close()
        self.service.close()

    def chat(self, stream, prompt="koi"):
        return f.chat(self.entry, "guild-key", "lantern-muse", prompt,
                      stream=stream)

    def look(self):
        return f.request(self.entry.port, "GET", "/services/glaze/look", None,
                         {"Authorization": "Bearer guild-key"})

    def answers(self, raw):
        """Answers of all kinds when the backends send these bytes. Each chat
        has a prompt of its own, as one that loses its engine twice is held."""
        for backend in (self.engine, self.service):
            backend.mode, backend.raw = "raw", raw
        return [self.chat(False, f"{raw} call"),
                self.chat(True, f"{raw} stream"), self.look()]

    def test_answer_cut_in_its_head_or_body(self):
        """Guards against answers that end before their end and reach the caller
        as a success."""
        for raw in CUTS:
            self.assertEqual([a.status for a in self.answers(raw)], [502] * 3,
                             raw)

    def test_short_answer_until_close(self):
        """Guards against half of a completion that reaches the caller as a
        whole one, as its end is that of the connection."""
        for raw in SHORT:
            self.assertEqual([a.status for a in self.answers(raw)[:2]],
                             [502] * 2, raw)

    def check_error_without_end(self, stream):
        self.engine.mode, self.engine.first_only = "endless", True
        for i, (head, status) in enumerate(FAILED_HEADS):
            self.engine.head = head
            begin = time.monotonic()
            answer = f.chat(self.entry, "guild-key", "lantern-muse", f"koi {i}",
                            stream=stream)
            self.assertEqual(answer.status, status, head)
            self.assertLess(time.monotonic() - begin, FAILED_HEAD_S, head)

    def test_error_without_end_to_a_stream(self):
        """Guards against an error whose body does not end, which keeps the
        stall timer from ending the attempt and holds the caller."""
        self.check_error_without_end(True)

    def test_error_without_end_to_a_call(self):
        """Guards against the same for a call that is not a stream, which has
        no stall timer."""
        self.check_error_without_end(False)

    def test_short_errors_share_a_connection(self):
        """Guards against a new connection for each call that an engine refuses,
        when its whole answer comes at once."""
        self.engine.mode = "error_before"
        before = self.engine.connections
        for i in range(SHORT_ERRORS):
            answer = f.chat(self.entry, "guild-key", "lantern-muse", f"koi {i}",
                            stream=i % 2 == 0)
            self.assertEqual(answer.status, 502)
        # Questions for the load may hold a connection meanwhile.
        self.assertLess(self.engine.connections - before, SHORT_ERRORS / 2)

    def test_request_longer_than_the_stop(self):
        """Guards against a connection that is closed without an answer at the
        end of a planned stop while a backend has the request."""
        self.engine.mode = "hang"
        with ThreadPoolExecutor() as pool:
            calls = [pool.submit(self.chat, stream)
                     for stream in (False, True)]
            f.wait_for(lambda: self.engine.runs.get("koi") == 3, "the runs")
            begin = time.monotonic()
            self.assertEqual(self.entry.stop(), 0)
            self.assertLess(time.monotonic() - begin, DRAIN_MS / 1000 + 1)
            for call in calls:
                answer = call.result()
                self.assertEqual(answer.status, 504)
                self.assertEqual(answer.headers["connection"], "close")
                self.assertEqual(answer.json()["error"]["work"],
                                 "may_have_run")

    def models(self, connection):
        """A short request on this connection; its status and whether the
        response announces the close."""
        connection.request("GET", "/v1/models", None,
                           {"Authorization": "Bearer guild-key"})
        response = connection.getresponse()
        response.read()
        return response.status, response.getheader("Connection") == "close"

    def test_stop_announces_the_close(self):
        """Guards against requests on kept connections that meet the end of the
        process, as nothing has told their callers that it stops."""
        kept = [http.client.HTTPConnection("127.0.0.1", port, timeout=10)
                for port in (self.entry.port, self.entry.port,
                             self.entry.operator_port)]
        for connection in kept:
            self.addCleanup(connection.close)
        for connection in kept:
            self.assertFalse(self.models(connection)[1])
        self.engine.mode = "held"
        with ThreadPoolExecutor() as pool:
            calls = [pool.submit(self.chat, stream)
                     for stream in (False, True)]
            f.wait_for(lambda: self.engine.runs.get("koi") == 3, "the runs")
            self.entry.send(signal.SIGTERM)
            for connection, status in zip(kept, (200, 200, 404)):
                time.sleep(DRAIN_STEP_S)
                self.assertEqual(self.models(connection), (status, True))
            self.engine.released.set()
            for call in calls:
                answer = call.result()
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.headers.get("connection"), "close")
        self.assertEqual(self.entry.popen.wait(10), 0)

    def test_stop_awaits_an_arriving_request(self):
        """Guards against a process that exits while a request arrives, whose
        caller gets no answer."""
        body = json.dumps({"model": "lantern-muse", "messages": [
            {"role": "user", "content": "koi"}]}).encode()
        head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                f"Authorization: Bearer guild-key\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode()
        parts = [(head[:40], head[40:] + body), (head, body),
                 (head + body[:9], body[9:])]
        callers = []
        for first, _ in parts:
            callers.append(socket.create_connection(
                ("127.0.0.1", self.entry.port), 10))
            self.addCleanup(callers[-1].close)
            callers[-1].sendall(first)
        time.sleep(DRAIN_STEP_S)
        self.entry.send(signal.SIGTERM)
        for caller, (_, rest) in zip(callers, parts):
            time.sleep(DRAIN_STEP_S)
            caller.sendall(rest)
            response = http.client.HTTPResponse(caller)
            response.begin()
            self.assertEqual(response.status, 200)
            response.read()
            self.assertEqual(response.getheader("Connection"), "close")
        self.assertEqual(self.entry.popen.wait(10), 0)


if __name__ == "__main__":
    unittest.main()
