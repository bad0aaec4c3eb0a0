#!/usr/bin/env python3
"""Tests gateways that have lost their links to the runners, while callers, the
store and the other gateways reach them."""
import base64
import http.client
import json
import os
import signal
import sys
import time
import unittest
from collections import namedtuple
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from cut import KINDS, REFUSED, RESET, SILENT  # noqa: E402
from gateway_standin import f  # noqa: E402

# The users' bounds: requests are served so long after a cut begins or ends, and
# so many of the first ones; a runner's work ends so long after its caller left.
CONTACT_S = 3
SERVED_SHARE = 0.9
CANCEL_S = 0.5
# A refusal takes at most as long.
REFUSE_S = 0.3
COMPLETION_S = 18
STREAM_PATHS = ("/once/a", "/again/a")
PATHS = (*STREAM_PATHS, "/safe/a")
REQUESTS = 20  # at each gateway in a round
CONCURRENT = 3  # at each gateway
RESET_S = 0.03  # until new connections are accepted again
LONG_EVENTS, LONG_GAP_S = 40, 0.05  # well below the deadline

Answer = namedtuple("Answer", "gateway request path status whole took_s retry")


class LostLinksTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(
            1, s.route("/safe/", "safe"), s.route("/unsafe/", "unsafe")))
        self.runners = [s.Runner(self.store, f"r{i}", zone="ab"[i % 2])
                        for i in range(4)]
        self.gateways = [
            s.Gateway(self.store, f"{self._testMethodName}-g{i}",
                      zone="aab"[i], source=f"127.0.0.{10 + i}")
            for i in range(3)]
        self.answers = []
        self.number = 0
        for gateway in self.gateways:
            f.wait_for(gateway.is_ready, f"{gateway.name} ready")
        time.sleep(1)  # until the gateways have heard of each other

    def tearDown(self):
        for gateway in self.gateways:
            gateway.process.send_signal(signal.SIGCONT)
        for each in self.gateways + self.runners + [self.store]:
            each.close()

    def cut(self, kind, *gateways):
        for gateway in gateways:
            gateway.group.cut([r.port for r in self.runners], kind)

    def heal(self, *gateways):
        for gateway in gateways:
            gateway.group.heal()

    def headers(self):
        self.number += 1
        return {"Host": s.HOST, "Request-Id": f"q{self.number}",
                "Deadline-Ms": "4000"}

    def send(self, job):
        gateway, headers, path = job
        started = time.monotonic()
        try:
            answer = f.request(gateway.port, "POST", path, b"x", headers,
                               timeout_s=6)
            found = (answer.status, answer.body.count(b"data: e") ==
                     self.runners[0].events, time.monotonic() - started,
                     answer.headers.get("retry-after"))
        except (OSError, http.client.HTTPException):
            found = 0, False, time.monotonic() - started, None
        return Answer(gateway, headers["Request-Id"], path, *found)

    def round(self, *gateways):
        """Sends requests at the gateways; all answers count in check_runs."""
        jobs = [(g, self.headers(), PATHS[i % len(PATHS)])
                for i in range(REQUESTS) for g in gateways]
        with ThreadPoolExecutor(CONCURRENT * len(gateways)) as pool:
            answers = list(pool.map(self.send, jobs))
        self.answers += answers
        return answers

    def traffic(self, gateways, seconds=CONTACT_S):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.round(*gateways)

    def check_served(self, *gateways):
        answers = self.round(*gateways)
        for gateway in gateways:
            found = [a.status if a.whole else -a.status for a in answers
                     if a.gateway is gateway]
            self.assertGreaterEqual(found.count(200) / len(found), SERVED_SHARE,
                                    f"{gateway.name}: {found}")

    def check_runs(self):
        ran = [request for runner in self.runners for request in runner.ran]
        for answer in self.answers:
            times = ran.count(answer.request)
            if answer.path == "/once/a":
                self.assertLessEqual(times, 1, answer)
            if answer.status == 503:
                self.assertEqual(times, 0, answer)

    def each_kind(self, test, *gateways):
        for kind in KINDS:
            with self.subTest(kind=kind):
                self.cut(kind, *gateways)
                try:
                    test()
                    self.check_runs()
                finally:
                    self.heal(*gateways)
                    time.sleep(CONTACT_S)

    def long_streams(self):
        for runner in self.runners:
            runner.events, runner.gap_s = LONG_EVENTS, LONG_GAP_S

    def start_request(self, gateway, path):
        connection = http.client.HTTPConnection("127.0.0.1", gateway.port,
                                                timeout=6)
        self.addCleanup(connection.close)
        headers = self.headers()
        connection.request("POST", path, b"x", headers)
        return headers["Request-Id"], connection

    def test_one_gateway(self):
        """First requests at a gateway that has lost all runners must be served
        as at the others, none may run twice, and none that ran may be answered
        as not run."""
        def test():
            self.traffic(self.gateways)
            self.check_served(*self.gateways)
        self.each_kind(test, self.gateways[0])

    def test_one_idle_gateway(self):
        """A gateway that sent no requests while it lost all runners must serve
        the first ones."""
        def test():
            time.sleep(CONTACT_S)
            self.check_served(self.gateways[0])
        self.each_kind(test, self.gateways[0])

    def test_zone(self):
        """When all gateways of a zone have lost all runners, those of the other
        zone must help."""
        def test():
            self.traffic(self.gateways)
            self.check_served(*self.gateways)
        self.each_kind(test, *self.gateways[:2])

    def running_streams(self, kind, paths):
        self.long_streams()
        streams = [self.start_request(self.gateways[0], path) for path in paths]
        answers = [connection.getresponse() for _, connection in streams]
        begun = [answer.readline() for answer in answers]
        self.cut(kind, self.gateways[0])
        for answer, first in zip(answers, begun):
            self.assertEqual((answer.status, first), (200, b"id: 1\n"))
            self.assertEqual(answer.read().count(b"data: e"), LONG_EVENTS)
        return [sum(r.ran.count(request) for r in self.runners)
                for request, _ in streams]

    def test_running_stream(self):
        """A stream must go on to its end when new connections begin to be
        refused."""
        self.assertEqual(self.running_streams(REFUSED, STREAM_PATHS), [1, 1])

    def test_resumed_stream(self):
        """A stream that may be resumed must go on when its connection falls
        silent or breaks and its gateway reaches no other runner."""
        for kind in (SILENT, RESET):
            with self.subTest(kind=kind):
                try:
                    ran = self.running_streams(kind, ["/again/a"])
                    self.assertEqual(ran, [2])
                finally:
                    self.heal(self.gateways[0])
                    time.sleep(CONTACT_S)

    def test_reset_is_no_crash(self):
        """Connections that end as a gateway loses its links must not count as
        crashes of their runners for long: requests like those on them were
        held at all gateways for a minute."""
        events, gap_s = self.runners[0].events, self.runners[0].gap_s
        self.long_streams()
        for _ in range(4 * len(self.runners)):
            self.start_request(self.gateways[0], "/unsafe/a")
        time.sleep(2 * LONG_GAP_S)
        for runner in self.runners:
            runner.events, runner.gap_s = events, gap_s
        self.cut(RESET, self.gateways[0])
        self.traffic(self.gateways[:1])
        self.check_served(*self.gateways)
        job = self.gateways[0], self.headers(), "/unsafe/a"
        self.assertEqual(self.send(job).status, 200)
        self.check_runs()

    def test_connections_reset_once(self):
        """Connections that are reset at once, while new ones are accepted, must
        not count as crashes of their runners for long: requests like those on
        them were held at all gateways for a minute."""
        events, gap_s = self.runners[0].events, self.runners[0].gap_s
        self.long_streams()
        for _ in range(4 * len(self.runners)):
            self.start_request(self.gateways[0], "/unsafe/a")
        time.sleep(2 * LONG_GAP_S)
        for runner in self.runners:
            runner.events, runner.gap_s = events, gap_s
        self.cut(RESET, self.gateways[0])
        time.sleep(RESET_S)
        self.heal(self.gateways[0])
        time.sleep(CONTACT_S)
        for gateway in self.gateways:
            answer = self.send((gateway, self.headers(), "/unsafe/a"))
            self.assertEqual(answer.status, 200, gateway.name)

    def test_end_of_cut(self):
        """Requests must be served after a cut ends, and over the gateway's own
        connections again."""
        def test():
            self.traffic(self.gateways)
            self.heal(cut)
            self.traffic(self.gateways)
            self.check_served(*self.gateways)
            self.assertEqual(self.sources(self.round(cut)), {cut.source})
            self.cut(SILENT, cut)  # which each_kind heals
        cut = self.gateways[0]
        self.each_kind(test, cut)

    def sources(self, answers):
        """Addresses from which the runners got these requests."""
        requests = [a.request for a in answers if a.status == 200]
        return {r.sources[request] for r in self.runners for request in requests
                if request in r.sources}

    def helper(self):
        """The gateway through which most requests at the first one come."""
        helped = [self.sources([a]) for a in self.round(self.gateways[0])]
        return max(self.gateways[1:],
                   key=lambda g: helped.count({g.source}))

    def lose_helper(self, number):
        self.cut(RESET, self.gateways[0])
        self.traffic(self.gateways)
        helper = self.helper()
        rest = [g for g in self.gateways if g is not helper]
        with ThreadPoolExecutor(1) as pool:
            traffic = pool.submit(self.traffic, rest, CONTACT_S + 0.5)
            time.sleep(0.5)
            helper.process.send_signal(number)
            traffic.result()
        self.check_served(*rest)
        helper.process.send_signal(signal.SIGCONT)
        self.traffic(rest, 1)
        self.check_runs()

    def test_helper_stops(self):
        """Another gateway must help when the helping one ends in order."""
        self.lose_helper(signal.SIGTERM)

    def test_helper_killed(self):
        """Another gateway must help when the helping one is killed."""
        self.lose_helper(signal.SIGKILL)

    def test_helper_freezes(self):
        """Another gateway must help when the helping one freezes; what that one
        has taken must not run a second time when it goes on."""
        self.lose_helper(signal.SIGSTOP)

    def test_all_gateways(self):
        """When all gateways have lost all runners, requests must be refused
        soon instead of going round between them, and be served after the
        cut."""
        def test():
            self.traffic(self.gateways)
            for answer in self.round(*self.gateways):
                self.assertEqual(answer.status, 503, answer)
                self.assertGreater(float(answer.retry or 0), 0, answer)
                self.assertLess(answer.took_s, REFUSE_S, answer)
            self.heal(*self.gateways)
            self.traffic(self.gateways)
            self.check_served(*self.gateways)
            self.cut(SILENT, *self.gateways)  # which each_kind heals
        self.each_kind(test, *self.gateways)

    def test_caller_leaves(self):
        """A runner's work must end soon after the caller at a cut-off gateway
        has left."""
        self.cut(SILENT, self.gateways[0])
        self.traffic(self.gateways)
        self.long_streams()
        for path in PATHS:
            request, connection = self.start_request(self.gateways[0], path)
            f.wait_for(lambda r=request: any(r in x.ran for x in self.runners),
                       "the request at a runner", CONTACT_S)
            time.sleep(2 * LONG_GAP_S)
            connection.close()
            left = time.monotonic()
            f.wait_for(lambda r=request: any(x.broken_at.get(r)
                                             for x in self.runners),
                       "the end of the runner's work", 2)
            ended = max(x.broken_at.get(request, 0) for x in self.runners)
            self.assertLess(ended - left, CANCEL_S)

    def test_batch_job(self):
        """A job that a cut-off gateway accepts must be completed in time."""
        def test():
            job = f"job{self.number}"
            ids = [f"{job}-{i}" for i in range(5)]
            body = {"items": [
                {"id": x, "path": "/batch/x", "headers": {"Model": "m"},
                 "body": base64.b64encode(b"b").decode(), "tokens": 10}
                for x in ids]}
            self.traffic(self.gateways)
            headers = {**self.headers(), "Request-Id": job}
            self.assertEqual(f.request(
                cut.port, "POST", f"/batch/{job}", json.dumps(body).encode(),
                headers).status, 202)
            results = f.wait_for(lambda: self.results(cut, job, len(ids)),
                                 f"the results of {job}", COMPLETION_S)
            self.assertEqual(sorted((x["id"], x["state"]) for x in results),
                             [(x, "completed") for x in ids])
        cut = self.gateways[0]
        self.each_kind(test, cut)

    def results(self, gateway, job, count):
        answer = f.request(gateway.port, "GET", f"/api/lots/{job}?after=0",
                           None, self.headers())
        found = answer.json()["results"] if answer.status == 200 else []
        return found if len(found) == count else None


if __name__ == "__main__":
    unittest.main()
