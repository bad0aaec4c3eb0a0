#!/usr/bin/env python3
"""Requests with an Idempotency-Key.

Guards against a second execution of work that must run once, and against a
resend that does not get the recorded result.
"""
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


def once(key):
    return {"Idempotency-Key": key, "X-Wasabilink-Idempotent": "false"}


class KeyedTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = f.Fleet()
        cls.fleet.start_platform()
        cls.engine = ScriptedEngine()
        cls.fleet.vms.append(cls.engine.vm("guild", "lantern-muse",
                                           "old-town"))
        cls.service = cls.fleet.start_service("glaze", "guild", "glaze",
                                              "old-town")
        cls.fleet.put_object("config/production",
                             json.dumps(f.sample_document()))
        cls.fleet.publish_vms()
        cls.entry = cls.fleet.start_entry("entry-1", "old-town")

    @classmethod
    def tearDownClass(cls):
        cls.fleet.close()
        cls.engine.close()

    def setUp(self):
        self.engine.mode = "whole"
        f.wait_for(lambda: self.chat("warm up").status == 200, "an answer")
        f.wait_for(lambda: self.chat("warm up", headers=once("warm up"))
                   .status == 200, "the ledger")

    def chat(self, prompt, **more):
        return f.chat(self.entry, "guild-key", "lantern-muse", prompt, **more)

    def test_replay_in_either_form(self):
        """A resend must get the recorded result in the form that it asks
        for."""
        for first_stream in (False, True):
            for second_stream in (False, True):
                prompt = f"p-{first_stream}-{second_stream}"
                for stream in (first_stream, second_stream):
                    answer = self.chat(prompt, stream=stream,
                                       headers=once(prompt))
                    self.assertEqual(answer.status, 200)
                    self.assertNotIn("x-wasabilink-recorded", answer.headers)
                    if stream:
                        self.assertEqual(f.stream_text(answer.body),
                                         (TEXT, True))
                    else:
                        message = answer.json()["choices"][0]["message"]
                        self.assertEqual(message["content"], TEXT)
                self.assertEqual(self.engine.runs[prompt], 1)

    def test_key_reused_with_other_content(self):
        self.assertEqual(self.chat("a", headers=once("k")).status, 200)
        answer = self.chat("b", headers=once("k"))
        self.assertEqual(answer.status, 422)
        self.assertNotIn("b", self.engine.runs)

    def test_work_of_unknown_outcome_does_not_run_twice(self):
        self.engine.mode = "die"
        answer = self.chat("x", headers=once("x"))
        self.assertEqual(answer.status, 502)
        self.engine.mode = "whole"
        for _ in range(2):
            answer = self.chat("x", headers=once("x"))
            self.assertEqual(answer.status, 409)
            error = answer.json()["error"]
            self.assertEqual((error["code"], error["work"]),
                             ("outcome_unknown", "may_have_run"))
        self.assertEqual(self.engine.runs["x"], 1)

    def test_resend_of_refused_work_runs(self):
        self.engine.mode = "busy"
        answer = self.chat("y", headers=once("y"))
        self.assertEqual(answer.json()["error"]["work"], "not_run")
        self.engine.mode = "whole"
        f.wait_for(lambda: self.chat("y", headers=once("y")).status == 200,
                   "another attempt at the runner")
        self.assertEqual(self.engine.runs["y"], 1)

    def test_result_of_a_disconnected_caller(self):
        self.engine.mode = "slow"
        body = json.dumps({"model": "lantern-muse", "stream": True,
                           "messages": [{"role": "user", "content": "z"}]})
        s = socket.create_connection(("127.0.0.1", self.entry.port))
        s.sendall(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                   "Authorization: Bearer guild-key\r\nIdempotency-Key: z\r\n"
                   "X-Wasabilink-Idempotent: false\r\n"
                   f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
        f.wait_for(lambda: "z" in self.engine.runs, "the call")
        s.close()
        f.wait_for(lambda: self.chat("z", headers=once("z")).status == 200,
                   "the recorded result")
        self.assertEqual(self.engine.runs["z"], 1)

    def test_resend_of_a_running_request(self):
        self.engine.mode = "hang"
        body = json.dumps({"model": "lantern-muse",
                           "messages": [{"role": "user", "content": "w"}]})
        with socket.create_connection(("127.0.0.1", self.entry.port)) as s:
            s.sendall(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                       "Authorization: Bearer guild-key\r\n"
                       "Idempotency-Key: w\r\n"
                       f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
            f.wait_for(lambda: "w" in self.engine.runs, "the call")
            answer = self.chat("w", headers={"Idempotency-Key": "w"})
            self.assertEqual(answer.status, 409)
            self.assertEqual(answer.json()["error"]["code"], "in_progress")
        self.assertEqual(self.engine.runs["w"], 1)

    def test_store_outage(self):
        """Non-idempotent work is refused until the ledger is available; other
        work runs, and its responses state that they are not recorded."""
        self.fleet.fault(self.fleet.platform, outage_ms=60000)
        time.sleep(0.1)
        answer = self.chat("once", headers=once("once"))
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.json()["error"]["work"], "not_run")
        self.assertIn("retry-after", answer.headers)
        self.assertNotIn("once", self.engine.runs)
        answer = self.chat("again", headers={"Idempotency-Key": "again"})
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["x-wasabilink-recorded"], "false")
        answer = self.chat("stream", stream=True,
                           headers={"Idempotency-Key": "stream"})
        self.assertEqual(f.stream_text(answer.body), (TEXT, True))
        self.assertEqual(answer.headers["x-wasabilink-recorded"], "false")
        self.assertEqual(self.chat("plain").status, 200)
        self.fleet.fault(self.fleet.platform, outage_ms=0)
        f.wait_for(lambda: self.chat("once", headers=once("once"))
                   .status == 200, "the ledger to be available")
        self.assertEqual(self.engine.runs["once"], 1)

    def service_call(self, method, path, key=None, body="{}"):
        headers = {"Authorization": "Bearer guild-key"}
        if key:
            headers["Idempotency-Key"] = key
        return f.request(self.entry.port, method, "/services/glaze" + path,
                         body, headers)

    def test_services(self):
        runs = f.request(self.service.port, "GET", "/service/runs").json()
        before = sum(runs.values())
        answer = self.service_call("POST", "/mix")
        self.assertEqual(answer.status, 400)
        self.assertEqual(answer.json()["error"]["code"],
                         "idempotency_key_required")
        answers = {self.service_call("POST", "/mix?a=1", "s1").body
                   for _ in range(3)}
        self.assertEqual(len(answers), 1)
        self.assertEqual(self.service_call("POST", "/mix", "s1").status, 422)
        self.assertEqual(self.service_call("GET", "/look").status, 200)
        runs = f.request(self.service.port, "GET", "/service/runs").json()
        self.assertEqual(sum(runs.values()) - before, 2)

    def test_failing_service(self):
        """A call that is not repeatable must not be retried after its response
        was truncated, nor by a resend."""
        self.fleet.fault(self.service, cut_rate=1.0)
        answer = self.service_call("POST", "/mix", "s2")
        self.assertEqual(answer.json()["error"]["work"], "may_have_run")
        self.fleet.fault(self.service, cut_rate=0.0)
        answer = self.service_call("POST", "/mix", "s2")
        self.assertEqual(answer.status, 409)
        self.assertEqual(answer.json()["error"]["code"], "outcome_unknown")


if __name__ == "__main__":
    unittest.main()
