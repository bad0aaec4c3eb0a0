#!/usr/bin/env python3
"""The stock openai npm client works against an entry process unchanged."""
import os
import subprocess
import sys
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "scripts"))
import fleet as f  # noqa: E402

CLIENT = os.path.join(HERE, "..", "openai", "client.mjs")


class OpenaiTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()

    def tearDown(self):
        self.fleet.close()

    def test_models_chat_files_and_batches(self):
        self.fleet.start_platform()
        for i in range(2):
            self.fleet.start_engine(f"muse-{i}", "guild", "lantern-muse",
                                    "old-town")
        self.fleet.put_object("config/production",
                              f.json.dumps(f.sample_document()))
        self.fleet.publish_vms()
        entry = self.fleet.start_entry("entry-1", "old-town")
        f.wait_for(lambda: f.chat(entry, "guild-key", "lantern-muse",
                                  "x").status == 200, "a first answer")
        client = subprocess.run(
            ["node", CLIENT, f"http://127.0.0.1:{entry.port}/v1", "guild-key",
             "lantern-muse"], capture_output=True, text=True, timeout=120)
        self.assertEqual(client.returncode, 0, client.stdout + client.stderr)
        self.assertEqual(client.stdout.count("ok "), 4)


if __name__ == "__main__":
    unittest.main()
