#!/usr/bin/env python3
"""Each point at which a runner can fail: what was answered against what ran.

Guards against refusals that say not_run for work that ran, against streams
that look complete though they were cut, and against retries without bound.
"""
import http.client
import json
import os
import socket
import sys
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402
from scripted_engine import TOKENS, ScriptedEngine  # noqa: E402

TEXT = "".join(TOKENS)
# mode, status, work
CERTAIN = [("busy", 503), ("version", 503), ("limited", 503),
           ("error_not_run", 502)]
UNCERTAIN = [("error_before", 502), ("error_after", 502), ("die", 502),
             ("mismatch", 502)]
CUT = ["cut", "stall", "no_done", "no_finish", "until_close_cut"]


def document():
    """Every test has a deployment and so a pool and a retry budget of its
    own."""
    doc = f.sample_document()
    for name in ["pair", "absent"] + [f"model-{i}" for i in range(40)]:
        doc["partners"]["guild"]["deployments"][name] = {
            "model": "muse", "adapter": "", "version": "1", "fencing": False,
            "min_serving": 1}
    return doc


class FailurePointTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = f.Fleet()
        cls.fleet.start_platform()
        cls.fleet.put_object("config/production", json.dumps(document()))
        cls.engines = []
        for i in range(40):
            engine = ScriptedEngine()
            cls.engines.append(engine)
            cls.fleet.vms.append(engine.vm("guild", f"model-{i}", "old-town"))
        cls.fleet.vms.append({
            "address": f"127.0.0.1:{f.free_ports(1)[0]}", "role": "runner",
            "domain": "old-town", "partner": "guild", "deployment": "absent",
            "state": "live"})
        cls.pair = [ScriptedEngine(), ScriptedEngine()]
        for engine in cls.pair:
            cls.fleet.vms.append(engine.vm("guild", "pair", "old-town"))
        cls.fleet.publish_vms()
        cls.entry = cls.fleet.start_entry("entry-1", "old-town",
                                          "--stall-ms", "300")
        f.wait_for(lambda: f.chat(cls.entry, "guild-key", "model-39",
                                  "warm up").status == 200, "a first answer")
        cls.next_model = 0

    @classmethod
    def tearDownClass(cls):
        cls.fleet.close()
        for engine in cls.engines + cls.pair:
            engine.close()

    def take(self, mode, first_only=False):
        index = FailurePointTest.next_model
        FailurePointTest.next_model += 1
        engine = self.engines[index]
        engine.mode, engine.first_only = mode, first_only
        return engine, f"model-{index}"

    def chat(self, model, prompt, **more):
        return f.chat(self.entry, "guild-key", model, prompt, **more)

    def stream_until_cut(self, model, prompt):
        """The events of a stream, and whether it ended properly."""
        connection = http.client.HTTPConnection("127.0.0.1", self.entry.port,
                                                timeout=20)
        connection.request(
            "POST", "/v1/chat/completions",
            json.dumps({"model": model, "stream": True, "messages": [
                {"role": "user", "content": prompt}]}),
            {"Authorization": "Bearer guild-key"})
        response = connection.getresponse()
        data, complete = b"", True
        try:
            while True:
                piece = response.read1(65536)
                if not piece:
                    break
                data += piece
        except (http.client.HTTPException, OSError):
            complete = False
        connection.close()
        return response.status, data, complete

    def test_certain_refusals(self):
        for mode, status in CERTAIN:
            for stream in (False, True):
                engine, model = self.take(mode)
                answer = self.chat(model, mode, stream=stream)
                self.assertEqual(answer.status, status, mode)
                self.assertEqual(answer.json()["error"]["work"], "not_run")
                self.assertIn("retry-after", answer.headers)
                self.assertEqual(engine.runs, {})

    def test_connection_refused(self):
        answer = self.chat("absent", "refused")
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.json()["error"]["work"], "not_run")

    def test_uncertain_failures(self):
        for mode, status in UNCERTAIN:
            for stream in (False, True):
                engine, model = self.take(mode)
                answer = self.chat(model, mode, stream=stream)
                self.assertEqual(answer.status, status, mode)
                self.assertEqual(answer.json()["error"]["work"],
                                 "may_have_run", mode)
                self.assertNotIn(b"koi", answer.body)
                self.assertLessEqual(engine.calls[mode], 3)

    def test_whole_answer_cut(self):
        engine, model = self.take("cut")
        answer = self.chat(model, "cut")
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.json()["error"]["work"], "may_have_run")
        self.assertLessEqual(engine.calls["cut"], 3)

    def test_stream_until_close(self):
        """A stream with neither length nor chunks must be delivered whole."""
        _, model = self.take("until_close")
        status, data, complete = self.stream_until_cut(model, "until_close")
        self.assertEqual((status, complete), (200, True))
        self.assertEqual(f.stream_text(data), (TEXT, True))

    def test_streams_that_break(self):
        """Never as complete: an error event and an aborted connection."""
        for mode in CUT:
            engine, model = self.take(mode)
            status, data, complete = self.stream_until_cut(model, mode)
            self.assertEqual(status, 200)
            self.assertFalse(complete, mode)
            self.assertNotIn(b"[DONE]", data, mode)
            last = json.loads(data.strip().split(b"\n\n")[-1][6:])
            self.assertEqual(last["error"]["work"], "may_have_run")
            self.assertEqual(engine.calls[mode], 1, "a stream that the "
                             "caller has seen must not run again")
            if mode == "stall":
                f.wait_for(lambda: mode in engine.closed, "the cancel")

    def test_retry_gives_the_whole_answer(self):
        for mode in ("error_after", "die", "mismatch"):
            engine, model = self.take(mode, first_only=True)
            answer = self.chat(model, mode)
            self.assertEqual(answer.status, 200, mode)
            self.assertEqual(
                answer.json()["choices"][0]["message"]["content"], TEXT)
            self.assertEqual(engine.calls[mode], 2)

    def test_refusing_runner_gets_nothing_new(self):
        """The VM list still shows it live; callers must not notice it."""
        for mode in ("busy", "version", "limited"):
            self.pair[0].mode = mode
            self.pair[0].calls.clear()
            for i in range(30):
                answer = self.chat("pair", f"{mode}{i}")
                self.assertEqual(answer.status, 200, mode)
            self.assertLessEqual(sum(self.pair[0].calls.values()), 3)

    def test_retry_budget(self):
        engine, model = self.take("error_before")
        for i in range(60):
            self.chat(model, f"p{i}")
        # 3 tokens of a new bucket and 10% of the requests
        self.assertLessEqual(sum(engine.calls.values()), 60 + 3 + 6)

    def test_marked_errors_are_bounded_and_cost_no_budget(self):
        engine, model = self.take("error_not_run")
        for i in range(10):
            answer = self.chat(model, f"m{i}")
            self.assertEqual(answer.status, 502)
            self.assertEqual(engine.calls[f"m{i}"], 5)
        engine.mode, engine.first_only = "error_after", True
        for i in range(3):
            self.assertEqual(self.chat(model, f"b{i}").status, 200,
                             "the budget of a new bucket")

    def test_once_is_retried_after_a_marked_error_only(self):
        for mode, status, calls in (("error_not_run", 200, 2),
                                    ("error_after", 502, 1)):
            engine, model = self.take(mode, first_only=True)
            headers = {"Idempotency-Key": f"once-{mode}",
                       "X-Wasabilink-Idempotent": "false"}
            f.wait_for(lambda: self.chat(model, mode, headers=headers).status
                       == status, "the ledger")
            self.assertEqual(engine.calls[mode], calls)
            self.assertEqual(engine.runs[mode], 1)

    def test_deadline(self):
        engine, model = self.take("hang")
        start = time.monotonic()
        answer = self.chat(model, "late",
                           headers={"X-Request-Deadline-Ms": "300"})
        self.assertEqual(answer.status, 504)
        self.assertEqual(answer.json()["error"]["work"], "may_have_run")
        self.assertLess(time.monotonic() - start, 5)
        f.wait_for(lambda: "late" in engine.closed, "the cancel")
        passed = int(engine.headers["late"]["x-request-deadline-ms"])
        self.assertLessEqual(passed, 300)
        self.assertGreater(passed, 0)

    def test_caller_closes(self):
        engine, model = self.take("hang")
        body = json.dumps({"model": model, "messages": [
            {"role": "user", "content": "gone"}]}).encode()
        s = socket.create_connection(("127.0.0.1", self.entry.port))
        s.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                  b"Authorization: Bearer guild-key\r\n"
                  b"Content-Length: %d\r\n\r\n" % len(body) + body)
        f.wait_for(lambda: "gone" in engine.runs, "the call")
        s.close()
        f.wait_for(lambda: "gone" in engine.closed, "the cancel")
        self.assertEqual(engine.runs["gone"], 1)

    def test_upstream_ids_are_unique(self):
        """Two callers may choose the same id; answers must not cross."""
        engine, model = self.take("whole")
        ids = set()
        for i in range(5):
            self.chat(model, f"id{i}", headers={"X-Request-Id": "same"})
            ids.add(engine.headers[f"id{i}"]["x-request-id"])
        self.assertEqual(len(ids), 5)

    def test_once_is_refused_without_ledger_or_run_once(self):
        """Whatever the ledger answers, the work runs at most once."""
        engine, model = self.take("die")
        headers = {"Idempotency-Key": "once-1",
                   "X-Wasabilink-Idempotent": "false"}
        for _ in range(3):
            answer = self.chat(model, "once", headers=headers)
            self.assertGreaterEqual(answer.status, 400)
            work = answer.json()["error"]["work"]
            if engine.runs.get("once"):
                self.assertEqual(work, "may_have_run")
            else:
                self.assertEqual(work, "not_run")
        self.assertLessEqual(engine.runs.get("once", 0), 1)


if __name__ == "__main__":
    unittest.main()
