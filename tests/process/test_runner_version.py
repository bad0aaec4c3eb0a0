#!/usr/bin/env python3
"""Tests that streams do not join what runners of two software versions have
written."""
import base64
import http.client
import json
import os
import re
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_standin as s  # noqa: E402
from gateway_standin import f  # noqa: E402

EVENTS = 20
STREAMS = 12


def versions(texts):
    """The versions that have written the events."""
    return {re.sub(r"^e\d+", "", t) for t in texts}


class Stream:
    """A client's stream, which it reads event by event."""

    def __init__(self, gateway, request, after=None, resumes=None):
        self.connection = http.client.HTTPConnection(
            "127.0.0.1", gateway.port, timeout=10)
        headers = {"Host": s.HOST, "Request-Id": request,
                   "Deadline-Ms": "5000"}
        if after is not None:
            headers["Last-Event-Id"] = str(after)
        if resumes is not None:
            headers["Resumes"] = resumes
        self.connection.request("POST", "/again/a", b"x", headers)
        self.response = self.connection.getresponse()
        self.status = self.response.status

    def events(self, count=None):
        """(number, text) of the next events, up to the end of the stream."""
        found, number = [], None
        while count is None or len(found) < count:
            try:
                line = self.response.readline().decode().rstrip()
            except (OSError, http.client.HTTPException):
                break
            if line.startswith("id: "):
                number = int(line[4:])
            elif line.startswith("data: "):
                found.append((number, line[6:]))
            elif number == EVENTS:
                break
            elif not line and self.response.isclosed():
                break
        return found

    def close(self):
        self.connection.close()


class RunnerVersionTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(1))
        self.runners = [
            s.Runner(self.store, f"r{i}", EVENTS,
                     version="v1" if i % 2 else "v2") for i in range(4)]
        for runner in self.runners:
            runner.gap_s = 0.02
        self.gateways = [s.Gateway(self.store, f"version-g{i}")
                         for i in range(3)]
        for gateway in self.gateways:
            f.wait_for(gateway.is_ready, f"{gateway.name} ready")
        time.sleep(1)  # until the gateways have heard of each other

    def tearDown(self):
        for each in self.gateways + self.runners + [self.store]:
            each.close()

    def restart(self, gateway):
        gateway.process.kill()
        gateway.process.wait()
        gateway.run()
        f.wait_for(gateway.is_ready, f"{gateway.name} ready again")

    def test_resumed_answer_joins_two_versions(self):
        """A stream that its runner breaks off must go on at a runner of the
        same version."""
        whole = 0
        for i in range(STREAMS):
            for runner in self.runners:
                runner.cut_at = 8 if runner is self.runners[i % 4] else 0
            stream = Stream(self.gateways[i % 3], f"q{i}")
            texts = [t for _, t in stream.events()]
            stream.close()
            self.assertLessEqual(len(versions(texts)), 1, texts)
            whole += len(texts) == EVENTS
        self.assertEqual(whole, STREAMS)

    def take_up(self, i, gateway, other, meanwhile=lambda: None):
        """Starts a stream at one gateway and goes on at another. Returns the
        status there and all texts."""
        stream = Stream(gateway, f"q{i}")
        first = stream.events(5)
        meanwhile()
        stream.close()
        second = Stream(other, f"q{i}-2", first[-1][0], f"q{i}")
        rest = second.events() if second.status == 200 else []
        second.close()
        return second.status, [t for _, t in first + rest]

    def check_take_up(self, gateway, meanwhile=lambda: None):
        went_on = 0
        for i in range(STREAMS):
            status, texts = self.take_up(i, gateway, self.gateways[1 + i % 2],
                                         meanwhile)
            self.assertEqual(len(versions(texts)), 1, texts)
            went_on += status == 200 and len(texts) == EVENTS
        self.assertEqual(went_on, STREAMS)

    def test_taken_up_stream_joins_two_versions(self):
        """A stream that its client takes up at another gateway must go on at
        the version that began it."""
        self.check_take_up(self.gateways[0])

    def test_taken_up_after_kill_joins_two_versions(self):
        """The same when the gateway that had the stream was killed."""
        def kill():
            self.restart(self.gateways[0])
        self.check_take_up(self.gateways[0], kill)

    def test_second_take_up_joins_two_versions(self):
        """The same for a client that takes its stream up twice and names the
        first attempt both times."""
        for i in range(STREAMS):
            stream = Stream(self.gateways[0], f"q{i}")
            events = stream.events(4)
            stream.close()
            for attempt, gateway in ((2, self.gateways[1]),
                                     (3, self.gateways[2])):
                stream = Stream(gateway, f"q{i}-{attempt}", events[-1][0],
                                f"q{i}")
                self.assertEqual(stream.status, 200)
                events += stream.events(4)
                stream.close()
            texts = [t for _, t in events]
            self.assertEqual(len(texts), 12)
            self.assertEqual(len(versions(texts)), 1, texts)

    def check_refused(self, resumes):
        before = [list(r.ran) for r in self.runners]
        started = time.monotonic()
        stream = Stream(self.gateways[1], "taken-up", 3, resumes)
        self.assertEqual(stream.status, 503)
        self.assertLess(time.monotonic() - started, 0.5)
        self.assertGreater(float(stream.response.headers["Retry-After"]), 0)
        stream.close()
        self.assertEqual([list(r.ran) for r in self.runners], before)

    def test_unknown_stream_is_refused(self):
        """A stream of which no gateway knows the version must not go on at any
        version; it is refused at once and has not run."""
        self.check_refused("never-seen")

    def test_version_without_runners_is_refused(self):
        """A stream of a version that has no runner left must be refused at
        once."""
        stream = Stream(self.gateways[0], "q")
        texts = [t for _, t in stream.events(5)]
        stream.close()
        for runner in self.runners:
            if versions(texts) == versions([runner.text(1)]):
                runner.register("draining")
        time.sleep(1)
        self.check_refused("q")

    def test_item_joins_two_versions(self):
        """A batch item that goes on at another gateway, from what the first one
        has saved, must be written by one version: it goes on where its version
        has runners and is begun anew where it has none."""
        for runner in self.runners:
            runner.events, runner.gap_s = 60, 0.1
        job = {"items": [
            {"id": f"j-{i}", "path": "/batch/x",
             "headers": {"Prompt-Prefix": f"{i:x}:9"},
             "body": base64.b64encode(b"b").decode(), "tokens": 10}
            for i in range(6)]}
        headers = {"Host": s.HOST, "Request-Id": "j", "Deadline-Ms": "4000"}
        self.assertEqual(f.request(
            self.gateways[0].port, "POST", "/batch/j",
            json.dumps(job).encode(), headers).status, 202)
        time.sleep(2)
        for runner in self.runners:
            runner.gap_s = 0.02
        self.gateways[0].process.terminate()
        for runner in self.runners:
            if runner.version == "v2":
                runner.register("draining")

        def results():
            answer = f.request(self.gateways[1].port, "GET",
                               "/api/lots/j?after=0", b"", headers)
            return answer.json().get("results", []) \
                if answer.status == 200 else []

        f.wait_for(lambda: len(results()) == 6, "all results", timeout_s=30)
        for result in results():
            texts = result["output"].split("\n")
            self.assertEqual(len(texts), 60)
            self.assertEqual(len(versions(texts)), 1, texts)
        self.assertTrue(any(after > 0 for r in self.runners
                            for _, after in r.seen))


if __name__ == "__main__":
    unittest.main()
