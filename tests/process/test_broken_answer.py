#!/usr/bin/env python3
"""Tests that answers of runners that break off, and errors that runners give to
a stream that has begun, do not reach callers as whole answers."""
import base64
import http.client
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from gateway_standin import f  # noqa: E402

EVENTS = b"".join(b"id: %d\ndata: e%d\n\n" % (i, i) for i in range(1, 5))
FOREVER_S = 8
ROUTES = ("/safe/", "/unsafe/", "/once/", "/again/")
STATUS = b"HTTP/1.1 200 OK"
STAMP = b"Response-Stamp: cut\r\n"
# Where an answer breaks off. A head counts as whole only with its blank line.
CUTS = {
    "nothing": b"",
    "half a status line": b"HTTP/1.1 2",
    "status line without its end": STATUS,
    "status line": STATUS + b"\r\n",
    "half a header": STATUS + b"\r\n" + STAMP + b"Request-Id: %(id)s",
    "half a length": STATUS + b"\r\n%(own)sContent-Length: 1",
    "no blank line": STATUS + b"\r\n%(own)s",
    "length, no blank line": STATUS + b"\r\n%(own)sContent-Length: 0\r\n",
    "chunked, no blank line":
        STATUS + b"\r\n%(own)sTransfer-Encoding: chunked\r\n",
    "half a blank line": STATUS + b"\r\n%(own)sContent-Length: 0\r\n\r",
    "no body": STATUS + b"\r\n%(own)sContent-Length: 5\r\n\r\n",
    "half a body": STATUS + b"\r\n%(own)sContent-Length: 5\r\n\r\nabc",
    "no chunk": STATUS + b"\r\n%(own)sTransfer-Encoding: chunked\r\n\r\n",
    "half a chunk size": STATUS + b"\r\n%(own)s"
                         b"Transfer-Encoding: chunked\r\n\r\n1",
    "half a chunk": STATUS + b"\r\n%(own)s"
                    b"Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1",
    "no last chunk": STATUS + b"\r\n%(own)sTransfer-Encoding: chunked\r\n"
                     b"\r\n10\r\nid: 1\ndata: e1\n\n\r\n",
    "half a last chunk": STATUS + b"\r\n%(own)sTransfer-Encoding: chunked"
                         b"\r\n\r\n10\r\nid: 1\ndata: e1\n\n\r\n0\r\n",
}


def sends(text, resets=False):
    """A script that sends these bytes and closes."""
    def script(handler, _):
        own = b"Request-Id: %s\r\n%s" % (
            handler.headers["Request-Id"].encode(), STAMP)
        handler.wfile.write(text.replace(b"%(own)s", own).replace(
            b"%(id)s", handler.headers["Request-Id"].encode()[:-1]).replace(
                b"%(all)s", handler.headers["Request-Id"].encode()))
        handler.wfile.flush()
        if resets:
            s.reset(handler.connection)
        return True
    return script


def sends_forever(head):
    """A script that sends a head and then a body that does not end."""
    def script(handler, _):
        end = time.monotonic() + FOREVER_S
        sends(head)(handler, _)
        while time.monotonic() < end:
            handler.wfile.write(b"error ")
            handler.wfile.flush()
            time.sleep(0.05)
        return True
    return script


def in_turn(*scripts):
    """Follows each script for one attempt; then runners answer themselves."""
    left = list(scripts)

    def script(handler, after):
        return bool(left) and left.pop(0)(handler, after)
    return script


def chunks(*texts):
    return CHUNKED + b"".join(b"%x\r\n%s\r\n" % (len(t), t) for t in texts)


HEAD = STATUS + b"\r\n%(own)s"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ERROR = b"HTTP/1.1 %d X\r\nContent-Length: 12\r\n%s\r\nserver error"
ENDLESS = b"HTTP/1.1 %d X\r\nRequest-Id: %%(all)s\r\n%s\r\n"
NOT_RUN = b"Not-Run: 1\r\n"
# What the next runner answers to a stream that has broken off after two events,
# and whether the stream can be completed at a third one.
RESUMPTIONS = {
    "500": (sends(ERROR % (500, b"")), False),
    "503": (sends(ERROR % (503, b"")), False),
    "404": (sends(ERROR % (404, b"")), False),
    "421": (sends(ERROR % (421, b"")), True),
    "503, not run": (sends(ERROR % (503, NOT_RUN)), True),
    "500 until close": (sends(b"HTTP/1.1 500 X\r\n\r\nserver error"), False),
    "204": (sends(HEAD.replace(b"200", b"204") + b"\r\n"), False),
    "206": (sends(chunks(EVENTS[32:], b"").replace(b"200", b"206")), False),
    "500 without end": (sends_forever(ENDLESS % (500, b"")), False),
    "503 without end, not run":
        (sends_forever(ENDLESS % (503, NOT_RUN)), True),
    "200 with an error": (sends(chunks(b"server error\n\n", b"")), False),
    "200 with a head": (sends(chunks(ERROR % (500, b""), b"")), False),
    "200 with a head until close":
        (sends(HEAD + b"\r\n" + ERROR % (500, b"")), False),
    "200 with the first events": (sends(chunks(EVENTS, b"")), False),
    "200 until close, no event": (sends(HEAD + b"\r\n"), False),
    "a second answer": (sends(chunks(EVENTS[32:48]) + ERROR % (500, b"")),
                        False),
}


class BrokenAnswerTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(
            1, s.route("/safe/", "safe"), s.route("/unsafe/", "unsafe")))
        self.runners = [s.Runner(self.store, f"r{i}") for i in range(3)]
        self.gateway = s.Gateway(self.store, "broken-g")
        self.number = 0
        f.wait_for(self.gateway.is_ready, "gateway ready")

    def tearDown(self):
        for each in [self.gateway] + self.runners + [self.store]:
            each.close()

    def call(self, route, deadline_ms=4000):
        """Status of the answer, or None for a broken one, and its body."""
        self.number += 1
        try:
            answer = f.request(self.gateway.port, "POST", route + "a",
                               b"%d" % self.number, {
                "Host": s.HOST, "Request-Id": f"q{self.number}",
                "Deadline-Ms": str(deadline_ms)})
        except http.client.IncompleteRead as cut:
            return None, cut.partial
        except (OSError, http.client.HTTPException):
            return None, b""
        return answer.status, answer.body

    def attempts(self):
        return sum(r.seen.count((f"q{self.number}", n)) for r in self.runners
                   for n in range(5))

    def answer_with(self, script, runners=3):
        for i, runner in enumerate(self.runners):
            runner.script = script if i < runners else None

    def test_answer_cut_in_its_head_or_body(self):
        """Guards against answers that end before their end and reach the caller
        as a success, or are sent again though they may run only once."""
        for resets in (False, True):
            for name, text in CUTS.items():
                self.answer_with(sends(text, resets))
                for route in ROUTES:
                    with self.subTest(cut=name, route=route, resets=resets):
                        self.assertIn(self.call(route)[0], (502, None))
                        self.assertEqual(
                            self.attempts(),
                            2 if route in ("/safe/", "/again/") else 1)
                time.sleep(0.1)

    def test_cut_answers_to_batch_items(self):
        """Guards against an item that is completed by an answer that breaks
        off, in its head or body."""
        cuts = {f"job-{i}": sends(text) for i, text in enumerate(CUTS.values())}

        def script(handler, after):
            cut = cuts.pop(handler.headers["Request-Id"], None)
            return bool(cut) and cut(handler, after)
        self.answer_with(script)
        items = [{"id": f"job-{i}", "path": "/batch/x", "tokens": 10,
                  "headers": {"Model": "m"},
                  "body": base64.b64encode(b"%d" % i).decode()}
                 for i in range(len(CUTS))]
        answer = f.request(self.gateway.port, "POST", "/batch/job",
                           {"items": items}, {
                               "Host": s.HOST, "Request-Id": "job",
                               "Deadline-Ms": "4000"})
        self.assertEqual(answer.status, 202)

        def results():
            page = f.request(self.gateway.port, "GET", "/api/lots/job?after=0",
                             headers={"Host": s.HOST}).json()["results"]
            return page if len(page) == len(CUTS) else None
        self.assertEqual(
            {(r["state"], r["output"]) for r in f.wait_for(results, "results")},
            {("completed", "e1\ne2\ne3\ne4")})
        self.assertEqual(cuts, {})

    def test_error_to_a_resumed_stream(self):
        """Guards against a stream that goes on with the text of an error, ends
        as complete before its last event, or waits for an error's end."""
        for name, (script, is_completed) in RESUMPTIONS.items():
            self.answer_with(in_turn(
                sends(chunks(EVENTS[:32], b"id: 3\n")), script))
            begin = time.monotonic()
            with self.subTest(answer=name):
                status, body = self.call("/again/")
                self.assertEqual(status, 200 if is_completed else None)
                self.assertEqual(
                    body, EVENTS if is_completed else EVENTS[:len(body)])
                self.assertEqual(len(body) % 16, 0)
                self.assertLess(time.monotonic() - begin, 2)
                self.assertEqual(self.attempts(), 2 + is_completed)
            time.sleep(0.3)

    def test_error_without_end(self):
        """Guards against a caller who waits for the end of an error, or of the
        answer to another request, while another runner could answer."""
        for route, head in (("/safe/", b"HTTP/1.1 200 X\r\nRequest-Id: other"
                             b"\r\n\r\n"),
                            ("/safe/", ENDLESS % (500, b"")),
                            ("/safe/", ENDLESS % (503, NOT_RUN)),
                            ("/unsafe/", ENDLESS % (503, NOT_RUN)),
                            ("/once/", ENDLESS % (503, NOT_RUN)),
                            ("/again/", ENDLESS % (500, b""))):
            self.answer_with(in_turn(sends_forever(head)))
            begin = time.monotonic()
            with self.subTest(route=route, head=head):
                self.assertEqual(self.call(route), (200, EVENTS))
                self.assertLess(time.monotonic() - begin, 2)


if __name__ == "__main__":
    unittest.main()
