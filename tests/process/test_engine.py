#!/usr/bin/env python3
"""The engine and service emulators' interface, as other tests rely on it."""
import hashlib
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


def chat(engine, text, headers=None, **more):
    body = {"model": "muse", "messages": [{"role": "user", "content": text}],
            **more}
    return f.request(engine.port, "POST", "/v1/chat/completions", body,
                     headers or {})


def whole_text(answer):
    return answer.json()["choices"][0]["message"]["content"]


class EngineTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()

    def tearDown(self):
        self.fleet.close()

    def engine(self, *args):
        return self.fleet.start_engine("engine", "guild", "lantern-muse",
                                       "old-town", "--first-token-us", "1000",
                                       "--token-us", "1000", *args)

    def get(self, process, path):
        return f.request(process.port, "GET", path).json()

    def test_answer_depends_on_the_prompt_only(self):
        engine = self.engine()
        one = whole_text(chat(engine, "koi"))
        self.assertEqual(one, whole_text(chat(engine, "koi")))
        self.assertNotEqual(one, whole_text(chat(engine, "carp")))
        self.assertEqual(len(one.split()), 16)
        long = whole_text(chat(engine, "koi [long]", max_tokens=4))
        self.assertEqual(len(long.split()), 200)

    def test_resume_continues_after_the_tokens_received(self):
        engine = self.engine()
        whole = whole_text(chat(engine, "koi"))
        for start in (0, 1, 7, 15, 16):
            rest = chat(engine, "koi", stream=True, resume_from=start)
            text, complete = f.stream_text(rest.body)
            self.assertTrue(complete)
            self.assertEqual(text.split(), whole.split()[start:])

    def test_version_and_id(self):
        engine = self.engine()
        self.assertEqual(chat(engine, "x", {"X-Model-Version": "2"}).status,
                         409)
        answer = chat(engine, "x", {"X-Model-Version": "1",
                                    "X-Request-Id": "r1"})
        self.assertEqual(answer.headers["x-request-id"], "r1")
        self.fleet.fault(engine, wrong_id_rate=1)
        self.assertNotEqual(chat(engine, "x", {"X-Request-Id": "r2"})
                            .headers["x-request-id"], "r2")

    def test_runs_are_counted_by_id_key_and_prompt(self):
        engine = self.engine()
        for i in range(3):
            chat(engine, "koi", {"X-Request-Id": f"r{i % 2}",
                                 "Idempotency-Key": "k"})
        self.assertEqual(self.get(engine, "/engine/runs"), {"r0": 2, "r1": 1})
        self.assertEqual(self.get(engine, "/engine/runs?by=key"), {"k": 3})
        self.assertEqual(self.get(engine, "/engine/runs?by=work"),
                         {"user\nkoi\n": 3})

    def test_failures_by_fault_and_prompt(self):
        engine = self.engine()
        self.assertEqual(chat(engine, "bad [fail] item").status, 400)
        self.fleet.fault(engine, fail_rate=1)
        answer = chat(engine, "a", {"X-Request-Id": "f"})
        self.assertEqual(answer.status, 500)
        self.assertEqual(answer.headers["x-not-run"], "1")
        self.assertNotIn("f", self.get(engine, "/engine/runs"))
        self.fleet.fault(engine, fail_rate=0, error_rate=1)
        answer = chat(engine, "a", {"X-Request-Id": "g"})
        self.assertEqual(answer.status, 500)
        self.assertNotIn("x-not-run", answer.headers)
        self.assertIn("g", self.get(engine, "/engine/runs"))
        self.fleet.fault(engine, error_rate=0, cut_rate=1)
        with self.assertRaises((http.client.HTTPException, OSError)):
            chat(engine, "a", stream=True)
        self.fleet.fault(engine, cut_rate=0, drain=True)
        refused = chat(engine, "a")
        self.assertEqual(refused.status, 503)
        self.assertIn("retry-after", refused.headers)
        self.assertEqual(f.request(engine.port, "GET", "/healthz").status, 503)

    def test_processes_end_by_prompt_and_by_fault(self):
        engine = self.engine()
        with self.assertRaises((http.client.HTTPException, OSError)):
            chat(engine, "[kill]")
        self.assertNotEqual(engine.popen.wait(10), 0)
        engine = self.engine()
        self.assertEqual(self.fleet.fault(engine, exit=True).status, 200)
        self.assertNotEqual(engine.popen.wait(10), 0)

    def test_stall_holds_answers_back(self):
        engine = self.engine()
        self.fleet.fault(engine, stall_ms=400)
        start = time.monotonic()
        self.assertEqual(chat(engine, "a").status, 200)
        self.assertGreaterEqual(time.monotonic() - start, 0.35)

    def test_cancel_and_close_end_a_stream(self):
        engine = self.engine("--load-lag-ms", "0")

        def running():
            return self.get(engine, "/engine/load")["running"]

        body = json.dumps({"stream": True, "max_tokens": 100000, "messages":
                           [{"role": "user", "content": "x"}]}).encode()
        head = (b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                b"X-Request-Id: c1\r\nContent-Length: %d\r\n\r\n" % len(body))
        with socket.create_connection(("127.0.0.1", engine.port)) as s:
            s.sendall(head + body)
            f.wait_for(lambda: running() == 1, "the stream to run")
        f.wait_for(lambda: running() == 0, "the closed stream to end")
        with socket.create_connection(("127.0.0.1", engine.port)) as s:
            s.sendall(head + body)
            f.wait_for(lambda: running() == 1, "the stream to run")
            answer = f.request(engine.port, "POST", "/engine/cancel",
                               {"id": "c1"})
            self.assertEqual(answer.json(), {"cancelled": 1})
            f.wait_for(lambda: running() == 0, "the cancelled stream to end")
        self.assertEqual(f.request(engine.port, "POST", "/engine/cancel",
                                   {"id": "c1"}).status, 404)

    def test_orders_and_fences(self):
        engine = self.engine("--load-ms", "200")
        two = [{"model": "muse", "adapter": "", "version": v}
               for v in ("1", "2")]

        def order(fence, models, role="any"):
            return f.request(engine.port, "POST", "/engine/order",
                             {"fence": fence, "models": models, "role": role})

        state = order(5, two, "prefill").json()
        self.assertEqual([m["state"] for m in state["models"]],
                         ["serving", "loading"])
        self.assertEqual(state["role"], "prefill")
        self.assertEqual(chat(engine, "x", {"X-Model-Version": "2"}).status,
                         409)
        self.assertEqual(order(4, []).status, 409)
        f.wait_for(lambda: chat(engine, "x", {"X-Model-Version": "2"}).status
                   == 200, "version 2 to load")
        order(5, two[1:])
        self.assertEqual(chat(engine, "x", {"X-Model-Version": "1"}).status,
                         409)
        self.assertEqual(f.request(engine.port, "POST", "/engine/order",
                                   {"models": 3}).status, 400)

    def test_unfenced_engine_takes_an_old_order(self):
        engine = self.engine("--check-fence=false")
        for fence in (9, 3):
            answer = f.request(engine.port, "POST", "/engine/order",
                               {"fence": fence, "models": []})
            self.assertEqual(answer.json()["fence"], fence)

    def test_load_reports_lag(self):
        engine = self.engine("--load-lag-ms", "60000")
        chat(engine, "x")
        load = self.get(engine, "/engine/load")
        self.assertEqual(load["tokens_per_s"], 0)
        self.assertEqual((load["running"], load["slots"]), (0, 8))

    def test_kv_moves_between_engines(self):
        one = self.engine("--event-delay-ms", "0", "--event-gap-rate", "0")
        two = self.engine()
        chat(one, "k" * 600)
        prefix = self.get(one, "/engine/events?since=0")["events"][0]["prefix"]
        first = hashlib.sha256(("user\n" + "k" * 251).encode()).hexdigest()
        self.assertEqual(prefix, first[:16])
        path = "/engine/kv/" + prefix
        self.assertEqual(f.request(two.port, "GET", path).status, 404)
        data = f.request(one.port, "GET", path).body
        self.assertEqual(f.request(two.port, "PUT", path, data[:-1]).status,
                         400)
        self.assertEqual(f.request(two.port, "PUT", path, data).status, 200)
        self.assertEqual(f.request(two.port, "GET", path).body, data)

    def test_queue_ends_at_the_deadline(self):
        engine = self.engine("--max-running", "1", "--load-lag-ms", "0")
        body = json.dumps({"stream": True, "max_tokens": 100000, "messages":
                           [{"role": "user", "content": "x"}]}).encode()
        with socket.create_connection(("127.0.0.1", engine.port)) as s:
            s.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                      b"Content-Length: %d\r\n\r\n" % len(body) + body)
            f.wait_for(lambda: self.get(engine, "/engine/load")["running"],
                       "the stream to run")
            late = chat(engine, "y", {"X-Request-Deadline-Ms": "50"})
            self.assertEqual(late.status, 504)

    def test_service_counts_and_fails(self):
        service = self.fleet.start_service("glaze", "guild", "glaze",
                                           "old-town", "--latency-ms", "5")
        answer = f.request(service.port, "POST", "/mix", "body",
                           {"X-Request-Id": "r", "Idempotency-Key": "k"})
        self.assertEqual(answer.json(), {
            "method": "POST", "path": "/mix", "run": 1,
            "body_sha256": hashlib.sha256(b"body").hexdigest()})
        self.fleet.fault(service, cut_rate=1)
        with self.assertRaises((http.client.HTTPException, OSError)):
            f.request(service.port, "POST", "/mix", "body",
                      {"X-Request-Id": "s", "Idempotency-Key": "k"})
        self.fleet.fault(service, cut_rate=0, fail_rate=1)
        self.assertEqual(f.request(service.port, "POST", "/mix").status, 500)
        self.assertEqual(self.get(service, "/service/runs"), {"r": 1, "s": 1})
        self.assertEqual(self.get(service, "/service/runs?by=key"), {"k": 2})


if __name__ == "__main__":
    unittest.main()
