#!/usr/bin/env python3
"""Tests an entry process in front of engines that a message crashes."""
import json
import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402

ENGINES = 8
REQUESTS = 12
# Two crashes suspect a message, a third after the first hold is certain.
MAX_CRASHES = 3


class PromptCrashTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.fleet.start_platform()
        self.engines = [
            self.fleet.start_engine(f"muse-{i}", "guild", "lantern-muse",
                                    "old-town") for i in range(ENGINES)]
        self.fleet.put_object("config/production",
                              json.dumps(f.sample_document()))
        self.fleet.publish_vms()
        self.entry = self.fleet.start_entry("entry-1", "old-town")

    def tearDown(self):
        self.fleet.close()

    def chat(self, *messages):
        body = {"model": "lantern-muse", "max_tokens": 4, "messages": [
            {"role": "user", "content": text} for text in messages]}
        return f.request(self.entry.port, "POST", "/v1/chat/completions", body,
                         {"Authorization": "Bearer guild-key",
                          "Content-Type": "application/json"})

    def crashes(self):
        return sum(1 for engine in self.engines if not engine.alive())

    def test_shared_message(self):
        """Requests that share a message that crashes engines must not end one
        engine after the other; sound requests with the same first message must
        be served."""
        for i in range(REQUESTS):
            answer = self.chat("sound", "[kill] shared", f"question {i}")
        self.assertLessEqual(self.crashes(), MAX_CRASHES)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.json()["error"]["work"], "not_run")
        self.assertGreater(float(answer.headers["retry-after"]), 0)
        self.assertEqual(self.chat("sound", "other", "question").status, 200)

    def test_whole_prompt(self):
        """The same for one prompt that is sent again and again."""
        for _ in range(REQUESTS):
            self.chat("[kill]")
        self.assertLessEqual(self.crashes(), MAX_CRASHES)
        self.assertEqual(self.chat("question").status, 200)


if __name__ == "__main__":
    unittest.main()
