#!/usr/bin/env python3
"""Tests the gateway process with a store and runners that inject faults."""
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


class GatewayTest(unittest.TestCase):
    def setUp(self):
        self.store = s.Store()
        self.store.put("config", "main", s.config(1))
        self.runners = [s.Runner(self.store, f"r{i}") for i in range(2)]
        self.gateways = []
        self.number = 0
        self.gateway = self.start("g1")

    def tearDown(self):
        for each in self.gateways + self.runners + [self.store]:
            each.close()

    def start(self, name):
        gateway = s.Gateway(self.store, name)
        self.gateways.append(gateway)
        f.wait_for(gateway.is_ready, f"{name} ready")
        return gateway

    def call(self, method, path, body=b"", headers=None, gateway=None):
        self.number += 1
        sent = {"Host": s.HOST, "Request-Id": f"q{self.number}",
                "Deadline-Ms": "4000", **(headers or {})}
        return f.request((gateway or self.gateway).port, method, path, body,
                         sent)

    def attempts(self, request=None):
        return [x for r in self.runners for x in r.seen
                if request is None or x[0] == request]

    def submit(self, job, gateway=None, items=3):
        body = {"items": [
            {"id": f"{job}-{i}", "path": "/batch/x", "headers": {"Model": "m"},
             "body": base64.b64encode(b"b%d" % i).decode(), "tokens": 10}
            for i in range(items)]}
        return self.call("POST", "/batch/" + job, json.dumps(body).encode(),
                         {"Request-Id": job}, gateway).status

    def results(self, job, gateway=None, after=0):
        answer = self.call("GET", f"/api/lots/{job}?after={after}",
                           gateway=gateway)
        return answer.status, (answer.json() if answer.status == 200 else {})

    def wait_results(self, job, count, gateway=None):
        f.wait_for(lambda: self.results(job, gateway)[1].get("next_token") ==
                   count, f"{count} results of {job}")
        return self.results(job, gateway)[1]

    def test_stream_and_errors(self):
        """Requests on a known route must get the runner's response, others an
        error without an attempt."""
        answer = self.call("POST", "/once/a")
        self.assertEqual(answer.status, 200)
        self.assertIn("stamp-r", answer.headers["response-stamp"])
        self.assertEqual(answer.body.count(b"data: e"), 4)
        self.assertEqual(self.call("POST", "/other/a").status, 404)
        self.assertEqual(
            self.call("POST", "/once/a", headers={"Request-Id": ""}).status,
            400)
        self.assertEqual(len(self.attempts()), 1)

    def until_close(self, events=4, cut_event=b""):
        for runner in self.runners:
            runner.until_close = True
            runner.events = events
            runner.cut_event = cut_event

    def test_answer_until_close(self):
        """A stream with neither length nor chunks must be delivered whole."""
        self.until_close()
        answer = self.call("POST", "/once/a")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body.count(b"data: e"), 4)

    def test_stream_cut_in_event(self):
        """A stream that ends with its connection inside an event must not look
        complete; one that may be resumed goes on at another runner."""
        self.until_close(cut_event=b"id: 5\nda")
        with self.assertRaises(http.client.IncompleteRead):
            self.call("POST", "/once/a")
        with self.assertRaises(http.client.IncompleteRead):
            self.call("POST", "/again/a")
        self.assertEqual(sorted(after for _, after in self.attempts("q2")),
                         [0, 4])

    def test_empty_answer_until_close(self):
        """A runner that ends after the head of an answer without length must
        not make an empty stream look complete."""
        self.until_close(events=0)
        with self.assertRaises(http.client.IncompleteRead):
            self.call("POST", "/once/a")

    def test_refusals(self):
        """A request that all runners refuse must be reported as not run; it
        must succeed when a runner accepts it."""
        for runner in self.runners:
            runner.refuse = True
        answer = self.call("POST", "/once/a")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.runners[0].refuse = False
        time.sleep(0.5)
        self.assertEqual(self.call("POST", "/once/a").status, 200)

    def test_truncated_streams(self):
        """A truncated stream must be resumed without missing or duplicate
        events if the route allows it, else truncated for the caller too."""
        self.runners[0].cut_at = 3
        while not self.runners[0].seen:
            answer = self.call("POST", "/again/a")
            self.assertEqual(answer.body.replace(b"\r", b""), b"".join(
                b"id: %d\ndata: e%d\n\n" % (i, i) for i in range(1, 5)))
        self.assertIn(2, [after for _, after in self.attempts()])
        self.runners[1].cut_at = 3
        with self.assertRaises((http.client.IncompleteRead, OSError)):
            self.call("POST", "/once/a")
        self.assertEqual(len(self.attempts(f"q{self.number}")), 1)

    def test_draining_runner(self):
        """A draining runner must get no new requests."""
        self.runners[0].register("draining")
        time.sleep(0.3)
        self.runners[0].seen.clear()
        for _ in range(10):
            self.assertEqual(self.call("POST", "/once/a").status, 200)
        self.assertEqual(self.runners[0].seen, [])

    def test_configuration(self):
        """A new configuration version must be applied, an older one ignored."""
        self.store.put("config", "main", s.config(5, s.route("/new/", "safe")))
        f.wait_for(lambda: self.call("POST", "/new/a").status == 200,
                   "the new route")
        self.store.put("config", "main", s.config(4))
        time.sleep(0.3)
        self.assertEqual(self.call("POST", "/new/a").status, 200)

    def test_unreadable_entries(self):
        """Invalid runner entries in the store must not affect other runners."""
        self.store.put("servers", "odd", {"slots": "x"})
        self.store.put("servers", "odder", ["?"])
        time.sleep(0.2)
        self.assertEqual(self.call("POST", "/once/a").status, 200)
        self.assertIn("event=runner_entry_unusable", self.gateway.log())

    def test_store_outage(self):
        """While the store is unavailable, online requests must be served and
        jobs refused."""
        self.store.down = True
        self.assertEqual(self.call("POST", "/again/a").status, 200)
        self.assertIn(self.submit("j1"), (503, 504))
        self.assertTrue(self.gateway.is_ready())
        self.store.down = False
        f.wait_for(lambda: self.submit("j2") == 202, "a job after the outage")

    def test_batch_at_two_nodes(self):
        """Every node must return the same results at the same positions."""
        other = self.start("g2")
        self.assertEqual(self.submit("j1"), 202)
        self.assertEqual(self.submit("j1", other), 202)
        page = self.wait_results("j1", 3, other)
        self.assertEqual(page, self.results("j1")[1])
        self.assertEqual(sorted(r["id"] for r in page["results"]),
                         ["j1-0", "j1-1", "j1-2"])
        self.assertEqual({r["output"] for r in page["results"]},
                         {"e1\ne2\ne3\ne4"})
        self.assertEqual(len(self.attempts()), 3)
        self.assertEqual(self.results("nothing", other)[0], 404)
        self.assertEqual(self.results("j1", other, 2)[1]["results"],
                         page["results"][2:])

    def test_lost_answer_at_acceptance(self):
        """A job must be accepted once and run when the answer to the write of
        its record is lost."""
        self.store.lose_kind = "batch-jobs"
        self.store.lose_answers = 1
        self.assertEqual(self.submit("j1"), 202)
        self.wait_results("j1", 3)
        self.assertEqual(len(self.attempts()), 3)

    def test_malformed_answers_of_the_store(self):
        """Successful answers of the store without an object, or with another
        one, must neither end the process nor pass for the answer to the call.
        The writes have taken effect, so the job is accepted and run once."""
        other = {"metadata": {"name": "other", "rev": 1},
                 "spec": {"writer": "x", "value": []}}
        cases = [(kind, answer) for answer in ("no object", other)
                 for kind in ("batch-payloads", "batch-jobs",
                              "batch-results")]
        for number, (kind, answer) in enumerate(cases):
            self.store.malformed_answer = answer
            self.store.malform_kind = kind
            self.store.malform_answers = 3
            job = f"m{number}"
            self.assertEqual(self.submit(job), 202, kind)
            self.wait_results(job, 3)
            self.store.malform_answers = 0
            self.assertIsNone(self.gateway.process.poll(), kind)
        self.assertEqual(len(self.attempts()), 3 * len(cases))

    def test_end_and_body(self):
        """An ended job must start no more items. The body of an item must be
        readable while the item has no result."""
        for runner in self.runners:
            runner.gap_s = 1
        other = self.start("g2")
        self.assertEqual(self.submit("j1"), 202)
        answer = self.call("GET", "/api/items/j1?id=j1-1", gateway=other)
        self.assertEqual((answer.status, answer.body), (200, b"b1"))
        for _ in range(2):
            self.assertEqual(self.call("DELETE", "/api/lots/j1",
                                       gateway=other).status, 200)
        time.sleep(3)
        attempts = len(self.attempts())
        time.sleep(2)
        self.assertEqual(len(self.attempts()), attempts)
        self.assertEqual(self.results("j1")[0], 200)

    def test_failing_items(self):
        """An item must be given up after its maximum of failed attempts, or
        at once when no attempt can succeed."""
        for runner in self.runners:
            runner.status = 422
        self.assertEqual(self.submit("j1", items=1), 202)
        page = self.wait_results("j1", 1)
        self.assertEqual(page["results"][0]["state"], "dead_letter")
        for runner in self.runners:
            runner.status = 500
        self.assertEqual(self.submit("j2", items=1), 202)
        page = self.wait_results("j2", 1)
        self.assertEqual(page["results"][0]["state"], "dead_letter")
        self.assertEqual(len(self.attempts("j2-0")), 3)

    def test_faulty_runner(self):
        """A runner that answers every item with an error has low load: it
        must not be selected for each retry until the items are given up."""
        self.runners[0].status = 500
        self.assertEqual(self.submit("j", items=12), 202)
        found = self.wait_results("j", 12)
        self.assertEqual({r["state"] for r in found["results"]}, {"completed"})

    def test_owner_killed(self):
        """Another node must finish the job of a node that was killed."""
        for runner in self.runners:
            runner.gap_s = 0.4
        other = self.start("g2")
        time.sleep(1)
        self.assertEqual(self.submit("j1"), 202)
        self.gateway.process.kill()
        page = self.wait_results("j1", 3, other)
        self.assertEqual(len(page["results"]), 3)

    def test_stop(self):
        """A planned stop must truncate no response and close idle
        connections."""
        for runner in self.runners:
            runner.gap_s = 0.3
        kept = http.client.HTTPConnection("127.0.0.1", self.gateway.port)
        kept.request("GET", "/api/lots/x", headers={"Host": s.HOST})
        kept.getresponse().read()
        running = http.client.HTTPConnection("127.0.0.1", self.gateway.port)
        running.request("POST", "/once/a", headers={
            "Host": s.HOST, "Request-Id": "q", "Deadline-Ms": "4000"})
        time.sleep(0.2)
        self.gateway.process.send_signal(signal.SIGTERM)
        f.wait_for(lambda: not self.gateway.is_ready(), "readiness fails")
        self.assertEqual(self.call("POST", "/again/a").status, 200)
        self.assertEqual(running.getresponse().read().count(b"data: "), 4)
        time.sleep(0.5)
        self.assertEqual(kept.sock.recv(1), b"")
        self.assertEqual(self.gateway.process.wait(10), 0)

    def test_late_request_during_stop(self):
        """A request on a kept-alive connection that arrives after the load
        balancer stopped sending new ones must be refused as not run: if it
        waited for a slot, the end of the process would truncate it."""
        for runner in self.runners:
            runner.gap_s = 0.85
        kept = http.client.HTTPConnection("127.0.0.1", self.gateway.port)
        headers = {"Host": s.HOST, "Request-Id": "q", "Deadline-Ms": "5000"}
        kept.request("POST", "/once/a", headers=headers)
        time.sleep(0.1)
        self.gateway.process.send_signal(signal.SIGTERM)
        answer = kept.getresponse()
        self.assertEqual(answer.read().count(b"data: "), 4)
        kept.request("POST", "/once/a", headers={**headers,
                                                 "Request-Id": "late"})
        answer = kept.getresponse()
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(self.attempts("late"), [])

    def test_body_arriving_during_stop(self):
        """The process must not end while the body of a request is arriving:
        its caller would get no answer."""
        with socket.create_connection(("127.0.0.1", self.gateway.port)) as slow:
            slow.sendall(f"POST /again/a HTTP/1.1\r\nHost: {s.HOST}\r\n"
                         "Request-Id: slow\r\nContent-Length: 4\r\n\r\nab"
                         .encode())
            time.sleep(0.1)
            self.gateway.process.send_signal(signal.SIGTERM)
            time.sleep(4)
            slow.sendall(b"cd")
            self.assertIn(b"HTTP/1.1 503 ", slow.recv(4096))
        self.assertEqual(self.gateway.process.wait(2), 0)
        self.assertEqual(self.attempts("slow"), [])

    def test_caller_resets(self):
        """A caller's connection reset while its runner sends nothing must end
        the request at once, without busy polling until the runner sends."""
        for runner in self.runners:
            runner.gap_s = 3
        for next_request in (b"", b"POST /once/b HTTP/1.1\r\n"):
            self.number += 1
            request = f"q{self.number}"
            caller = socket.create_connection(("127.0.0.1", self.gateway.port))
            caller.sendall(
                f"POST /once/a HTTP/1.1\r\nHost: {s.HOST}\r\n"
                f"Request-Id: {request}\r\nDeadline-Ms: 4000\r\n"
                "Content-Length: 0\r\n\r\n".encode())
            f.wait_for(lambda r=request: self.attempts(r), "an attempt")
            caller.sendall(next_request)
            time.sleep(0.1)
            # close() sends a reset because the start of the response is unread.
            caller.close()
            before_s = self.gateway.processor_s()
            f.wait_for(lambda r=request: f"request_end request={r} " in
                       self.gateway.log(), "the end of the request", 1)
            time.sleep(1)
            self.assertLess(self.gateway.processor_s() - before_s, 0.2)

    def test_retirement(self):
        """The retirement of a VM with a disk must complete at once, as the
        process keeps no data there."""
        self.store.put("retirements", "storage-1", {"interval_s": 5})
        f.wait_for(lambda: (self.store.objects[("retirements", "storage-1")]
                            ["status"] or {}).get("state") == "completed",
                   "completion of the retirement")


if __name__ == "__main__":
    unittest.main()
