#!/usr/bin/env python3
"""Limits of partner, caller and deployment from the document, over HTTP."""
import json
import os
import socket
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402

LONG = 100000  # tokens: still running when the test ends


class Held:
    """A stream that has started, as its first bytes show, and runs until it
    is closed."""

    def __init__(self, entry, key, model):
        body = json.dumps({"model": model, "stream": True, "max_tokens": LONG,
                           "messages": [{"role": "user", "content": "x"}]})
        self.socket = socket.create_connection(("127.0.0.1", entry.port),
                                               timeout=20)
        self.socket.sendall((
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
        self.status = int(self.socket.recv(4096).split()[1])

    def close(self):
        self.socket.close()


class LimitsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.fleet.start_platform()
        for partner, model in (("guild", "lantern-muse"),
                               ("guild", "second-muse"),
                               ("shannonside", "permit-assist")):
            self.fleet.start_engine(model, partner, model, "old-town",
                                    "--token-us", "2000", "--slots", "8")
        self.fleet.start_service("glaze", "guild", "glaze", "old-town")
        self.document = f.sample_document()
        self.guild = self.document["partners"]["guild"]
        self.guild["deployments"]["second-muse"] = {
            "model": "muse", "version": "1"}
        self.guild["callers"].append({
            "name": "counter-2", "workspace": "workshop-1",
            "key_sha256": f.sha256_hex("guild-key-2")})
        self.version = 0
        self.held = []

    def tearDown(self):
        for held in self.held:
            held.close()
        self.fleet.close()

    def publish(self):
        answer = self.fleet.put_object("config/production",
                                       json.dumps(self.document), self.version)
        self.version = int(answer.headers["x-object-version"])

    def start(self):
        self.publish()
        self.fleet.publish_vms()
        self.entry = self.fleet.start_entry("entry-1", "old-town")
        for key, model in (("guild-key", "lantern-muse"),
                           ("guild-key", "second-muse"),
                           ("shannonside-key", "permit-assist")):
            f.wait_for(lambda: self.ask(key, model).status != 503,
                       f"an answer of {model}")
        f.wait_for(lambda: self.look("guild-key").status == 200,
                   "an answer of the service")

    def change(self):
        self.publish()
        f.wait_for(lambda: self.metric("wasabilink_config_version")
                   >= self.version, "the document in force")

    def metric(self, name):
        text = f.request(self.entry.operator_port, "GET",
                         "/metrics").body.decode()
        return sum(int(line.rsplit(" ", 1)[1]) for line in text.split("\n")
                   if line.startswith(name))

    def ask(self, key, model="lantern-muse", tokens=1):
        return f.chat(self.entry, key, model, "x", max_tokens=tokens)

    def look(self, key):
        return f.request(self.entry.port, "GET", "/services/glaze/look", None,
                         {"Authorization": "Bearer " + key})

    def hold(self, key, model="lantern-muse"):
        held = Held(self.entry, key, model)
        self.assertEqual(held.status, 200)
        self.held.append(held)
        return held

    def check_refused(self, answer, scope):
        self.assertEqual(answer.status, 429)
        self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)
        error = answer.json()["error"]
        self.assertEqual(error["code"], "rate_limited")
        self.assertEqual(error["work"], "not_run")
        self.assertIn(scope, error["message"])
        return int(answer.headers["retry-after"])

    def runs(self):
        return f.request(self.fleet.processes[1].port, "GET",
                         "/engine/runs").json()

    def test_concurrency_of_each_scope(self):
        """Guards against a limit that is not enforced, that applies to the
        wrong scope, or whose refusal is queued or runs on an engine."""
        cases = (("partner's", self.guild,
                  [("guild-key-2", "lantern-muse"),
                   ("guild-key", "second-muse")],
                  [("shannonside-key", "permit-assist")]),
                 ("caller's", self.guild["callers"][0],
                  [("guild-key", "lantern-muse"),
                   ("guild-key", "second-muse")],
                  [("guild-key-2", "lantern-muse"),
                   ("shannonside-key", "permit-assist")]),
                 ("deployment's", self.guild["deployments"]["lantern-muse"],
                  [("guild-key", "lantern-muse"),
                   ("guild-key-2", "lantern-muse")],
                  [("guild-key", "second-muse"),
                   ("shannonside-key", "permit-assist")]))
        self.start()
        for scope, holder, refused, served in cases:
            with self.subTest(scope):
                holder["limits"] = {"max_concurrent": 2}
                self.change()
                held = [self.hold("guild-key") for _ in range(2)]
                before = self.runs()
                # The held streams still run, so no refusal waited for them.
                for key, model in refused:
                    self.check_refused(self.ask(key, model), scope)
                self.assertEqual(self.runs(), before)
                for key, model in served:
                    self.assertEqual(self.ask(key, model).status, 200)
                held[0].close()
                f.wait_for(lambda: self.ask(*refused[0]).status == 200,
                           "the place of a closed stream")
                held[1].close()
                del holder["limits"]

    def test_service_calls_count(self):
        """Guards against calls of plain services that bypass the concurrency
        limits, or that are refused for lack of tokens, which they do not
        use."""
        self.start()
        for scope, holder in (("partner's", self.guild),
                              ("caller's", self.guild["callers"][0])):
            with self.subTest(scope):
                holder["limits"] = {"max_concurrent": 1,
                                    "tokens_per_minute": 60}
                self.change()
                self.assertEqual(self.ask("guild-key", tokens=60).status, 200)
                self.check_refused(self.ask("guild-key", tokens=60), scope)
                for _ in range(3):
                    self.assertEqual(self.look("guild-key").status, 200)
                del holder["limits"]["tokens_per_minute"]
                self.change()
                held = self.hold("guild-key")
                self.check_refused(self.look("guild-key"), scope)
                held.close()
                f.wait_for(lambda: self.look("guild-key").status == 200,
                           "the place of a closed stream")
                del holder["limits"]
                self.change()

    def test_changed_document_changes_limits(self):
        """Guards against a process that keeps the limits of its start, or that
        drops the count of concurrent requests when the limits change."""
        self.guild["limits"] = {"max_concurrent": 1}
        self.start()
        self.hold("guild-key")
        self.check_refused(self.ask("guild-key"), "partner's")
        self.guild["limits"]["max_concurrent"] = 2
        self.change()
        self.hold("guild-key")
        self.check_refused(self.ask("guild-key"), "partner's")
        self.guild["limits"]["max_concurrent"] = 1
        self.change()
        self.held[0].close()
        # The remaining stream alone reaches the lowered limit.
        self.check_refused(self.ask("guild-key"), "partner's")
        del self.guild["limits"]
        self.change()
        self.assertEqual(self.ask("guild-key").status, 200)

    def test_tokens_of_each_scope(self):
        """Guards against tokens that are not counted, and against a
        Retry-After that does not state when they are available."""
        cases = (("partner's", self.guild,
                  [("shannonside-key", "permit-assist")]),
                 ("caller's", self.guild["callers"][0],
                  [("guild-key-2", "lantern-muse")]),
                 ("deployment's", self.guild["deployments"]["lantern-muse"],
                  [("guild-key", "second-muse")]))
        self.start()
        for scope, holder, served in cases:
            with self.subTest(scope):
                holder["limits"] = {"tokens_per_minute": 60}
                self.change()
                self.assertEqual(
                    self.ask("guild-key", tokens=50).status, 200)
                # One token per second: 40 more are available after 30 s.
                wait_s = self.check_refused(
                    self.ask("guild-key", tokens=40), scope)
                self.assertGreater(wait_s, 10)
                self.assertLessEqual(wait_s, 32)
                for key, model in served:
                    self.assertEqual(self.ask(key, model, 40).status, 200)
                holder["limits"]["tokens_per_minute"] = 6000
                self.change()
                f.wait_for(lambda: self.ask(
                    "guild-key", tokens=40).status == 200,
                    "tokens at the raised limit")
                del holder["limits"]

    def test_partner_at_its_limit_does_not_delay_another(self):
        """Guards against refused requests of one partner that take capacity or
        event loop time from another partner, whose requests must all
        complete."""
        self.guild["limits"] = {"max_concurrent": 1}
        self.start()
        self.hold("guild-key")
        flood = [socket.create_connection(("127.0.0.1", self.entry.port))
                 for _ in range(20)]
        body = b'{"model":"lantern-muse","messages":[{"role":"user",' \
               b'"content":"x"}]}'
        head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" \
               b"Authorization: Bearer guild-key\r\n" \
               b"Content-Length: %d\r\n\r\n" % len(body)
        for connection in flood:
            connection.sendall((head + body) * 20)
        for _ in range(10):
            answer = self.ask("shannonside-key", "permit-assist")
            self.assertEqual(answer.status, 200)
        for connection in flood:
            connection.settimeout(20)
            received = b""
            while received.count(b"HTTP/1.1 ") < 20:
                piece = connection.recv(65536)
                self.assertTrue(piece)
                received += piece
            self.assertEqual(received.count(b"HTTP/1.1 429"), 20)
            connection.close()
        self.assertEqual(self.metric(
            'wasabilink_online_refused_total{partner="guild"'), 400)
        for name in ("refused", "failed"):
            self.assertEqual(self.metric(
                f'wasabilink_online_{name}_total{{partner="shannonside"'), 0)


if __name__ == "__main__":
    unittest.main()
