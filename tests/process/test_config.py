#!/usr/bin/env python3
"""Configuration changes and operators' commands with six entry processes."""
import concurrent.futures
import json
import os
import re
import subprocess
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402

# The requirement for a change of the configuration (docs/design.md).
IN_FORCE_S = 12
DOMAINS = ["old-town", "thu-bon", "munster-a"]


class ConfigTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.fleet.start_platform()
        self.version = self.accept("production", f.sample_document(), 0)

    def tearDown(self):
        self.fleet.close()

    def start_entries(self, count, *args):
        entries = [self.fleet.start_entry(f"entry-{i}", DOMAINS[i % 3], *args,
                                          wait=False) for i in range(count)]
        self.fleet.publish_vms()
        for entry in entries:
            self.fleet.wait_ready(entry)
        return entries

    def tool(self, *args):
        env = {**os.environ,
               "WASABILINK_PLATFORM": f"127.0.0.1:{self.fleet.platform.port}"}
        return subprocess.run([f.BINARY, *args], env=env, text=True,
                              capture_output=True, timeout=60)

    def write(self, document, name="document.json"):
        path = os.path.join(self.fleet.log_dir, name)
        with open(path, "w", encoding="utf-8") as out:
            json.dump(document, out, indent=1)
        return path

    def apply(self, environment, document, if_version, name="document.json",
              *args):
        return self.tool("config", "apply", "--environment", environment,
                         "--if-version", str(if_version), *args,
                         self.write(document, name))

    def accept(self, environment, document, if_version):
        done = self.apply(environment, document, if_version)
        self.assertEqual(done.returncode, 0, done.stderr)
        return int(re.search(r"version=(\d+)", done.stdout).group(1))

    def in_force(self, entry):
        status = f.request(entry.operator_port, "GET", "/status").json()
        return status["config"]["version"]

    def limited(self, number):
        document = f.sample_document()
        document["partners"]["guild"]["limits"] = {"max_concurrent": number}
        return document

    def wait_in_force(self, entries, version):
        f.wait_for(lambda: all(self.in_force(e) == version for e in entries),
                   f"version {version} on all nodes")

    def test_change_reaches_all(self):
        entries = self.start_entries(6)
        version = self.version
        for number in range(1, 4):
            version = self.accept("production", self.limited(number), version)
            self.wait_in_force(entries, version)

    # Guards against watchers that wait for an answer that the store will not
    # send, while no other node knows of the change either.
    def test_lost_watches(self):
        entries = self.start_entries(3)
        f.wait_for(lambda: f.request(self.fleet.platform.port, "GET",
                                     "/stats").json()["waiting_watches"] >=
                   len(entries), "a watch in each domain")
        self.fleet.fault(self.fleet.platform, drop_watches=True)
        version = self.accept("production", self.limited(1), self.version)
        f.wait_for(lambda: all(self.in_force(e) == version for e in entries),
                   "the change", IN_FORCE_S)

    def large(self, number):
        document = self.limited(number)
        workspaces = document["partners"]["guild"]["workspaces"]
        workspaces.update({f"workspace-{i}": {"weight": 1}
                           for i in range(5000)})
        return document

    def test_document_above_one_object(self):
        """10,000 workspaces with a key each exceed the 1 MB of an object; the
        document must come into force as the text that was applied."""
        document = self.large(1)
        guild = document["partners"]["guild"]
        guild["workspaces"].update({f"workspace-{i}": {"weight": 1}
                                    for i in range(10000)})
        guild["callers"] += [
            {"name": f"caller-{i}", "workspace": f"workspace-{i}",
             "key_sha256": f.sha256_hex(f"key {i}")} for i in range(10000)]
        version = self.accept("production", document, self.version)
        entries = self.start_entries(3)
        self.wait_in_force(entries, version)
        answer = f.request(entries[1].port, "GET", "/v1/models", None,
                           {"Authorization": "Bearer key 9999"})
        self.assertEqual(answer.status, 200)
        with open(os.path.join(self.fleet.log_dir, "document.json"),
                  encoding="utf-8") as file:
            text = file.read()
        self.assertGreater(len(text), 1024 * 1024)
        self.assertEqual(self.tool("config", "show").stdout, text)
        document["partners"]["guild"]["limits"] = {"max_concurrent": 7}
        newer = self.accept("production", document, version)
        self.wait_in_force(entries, newer)

    def read_bytes(self, entries):
        total = 0
        for entry in entries:
            text = f.request(entry.operator_port, "GET", "/metrics").body
            found = re.search(rb"wasabilink_config_store_bytes_total (\d+)",
                              text)
            total += int(found.group(1))
        return total

    def test_change_of_a_large_document(self):
        """Each domain's watcher must read what changed, not the document."""
        version = self.accept("production", self.large(1), self.version)
        entries = self.start_entries(3)
        self.wait_in_force(entries, version)
        before = self.read_bytes(entries)
        version = self.accept("production", self.large(2), version)
        self.wait_in_force(entries, version)
        size = len(json.dumps(self.large(2), indent=1))
        self.assertLess(self.read_bytes(entries) - before, size / 10)

    def test_change_object_that_does_not_fit(self):
        """The change object only saves reading: without it, or with a wrong
        one, the document must still come into force."""
        entries = self.start_entries(3)
        self.fleet.put_object("config-change/production", "no change")
        version = int(self.fleet.put_object(
            "config/production", json.dumps(self.limited(2)),
            self.version).headers["x-object-version"])
        self.wait_in_force(entries, version)
        newer = self.accept("production", self.limited(3), version)
        self.wait_in_force(entries, newer)

    def test_two_operators_race(self):
        """One wins; the other is told whose version is in force."""
        entries = self.start_entries(2)
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            done = list(pool.map(
                lambda n: self.apply("production", self.limited(n),
                                     self.version, f"document-{n}.json",
                                     "--writer", f"operator-{n}"), (1, 2)))
        self.assertEqual(sorted(d.returncode for d in done), [0, 1])
        winner, loser = sorted(done, key=lambda d: d.returncode)
        version, writer = re.search(r"version=(\d+) writer=(\S+)",
                                    winner.stdout).groups()
        self.assertIn(f"version {version} by writer {writer}", loser.stderr)
        self.wait_in_force(entries, int(version))

    def test_lost_answers_and_outage(self):
        """A lost answer is resolved by the writer token, not by guessing."""
        version = self.version
        for number in range(1, 6):
            self.fleet.fault(self.fleet.platform, lose_answers=0.6)
            done = self.apply("production", self.limited(number), version)
            self.fleet.fault(self.fleet.platform, lose_answers=0)
            self.assertEqual(done.returncode, 0, done.stderr)
            stored = f.request(self.fleet.platform.port, "GET",
                               "/v1/objects/config/production")
            version = int(stored.headers["x-object-version"])
            self.assertIn(f"version={version} ", done.stdout)
            self.assertEqual(stored.json(), self.limited(number))
        self.fleet.fault(self.fleet.platform, outage_ms=60000)
        done = self.apply("production", self.limited(9), version,
                          "document.json", "--wait-ms", "300")
        self.assertEqual(done.returncode, 75, done.stderr)

    def test_restart_in_an_outage(self):
        """A restarted node must take its peers' version, not wait or go back."""
        entries = self.start_entries(6)
        version = self.accept("production", self.limited(1), self.version)
        self.wait_in_force(entries, version)
        self.fleet.fault(self.fleet.platform, outage_ms=120000)
        entries[3].kill()
        entry = self.fleet.start_entry(
            "entry-again", DOMAINS[0], "--seeds",
            f"127.0.0.1:{entries[0].peer_port}")
        self.assertEqual(self.in_force(entry), version)
        alone = self.fleet.start_entry("entry-alone", DOMAINS[0], wait=False)
        f.wait_for(lambda: f.reachable(alone.operator_port), "entry-alone")
        self.assertFalse(f.reachable(alone.operator_port, "/readyz"))

    def test_paused_node_catches_up(self):
        entries = self.start_entries(6)
        entries[2].send(f.signal.SIGSTOP)
        version = self.accept("production", self.limited(1), self.version)
        self.wait_in_force(entries[:2] + entries[3:], version)
        entries[2].send(f.signal.SIGCONT)
        self.wait_in_force(entries, version)

    def test_promote(self):
        """Only bytes that a trial node has served with may be promoted."""
        document = self.limited(5)
        self.accept("trial", document, 0)
        args = ("config", "promote", "--if-version", str(self.version))
        refused = self.tool(*args)
        self.assertEqual(refused.returncode, 1)
        self.assertIn("is missing", refused.stderr)
        self.start_entries(1, "--environment", "trial")
        done = f.wait_for(
            lambda: next((d for d in [self.tool(*args)]
                          if d.returncode == 0), None), "promote to work")
        self.assertIn("accepted environment=production", done.stdout)
        shown = [self.tool("config", "show", "--environment", e).stdout
                 for e in ("trial", "production")]
        self.assertEqual(shown[0], shown[1])
        self.assertEqual(json.loads(shown[1]), document)

    def test_check_and_usage(self):
        document = f.sample_document()
        document["partners"]["guild"]["limit"] = {}
        done = self.tool("config", "check", self.write(document))
        self.assertEqual(done.returncode, 65)
        self.assertRegex(done.stderr,
                         r"partners\.guild\.limit, line \d+: unknown member")
        self.assertEqual(self.apply("production", document, 1).returncode, 65)
        self.assertEqual(self.tool("config", "apply", "x").returncode, 64)
        self.assertEqual(self.tool("config", "bogus").returncode, 64)
        diff = self.tool("config", "diff", self.write(self.limited(3)))
        self.assertEqual(
            diff.stdout,
            "+ partners.guild.limits.max_concurrent = 3\n")

    def test_status_and_timeline(self):
        """The other partner's runners and events must stay hidden."""
        self.fleet.start_engine("muse", "guild", "lantern-muse", "old-town")
        self.fleet.start_engine("permit", "shannonside", "permit-assist",
                                "munster-a")
        entries = self.start_entries(2)
        node = f"127.0.0.1:{entries[0].operator_port}"

        def status(*args):
            return self.tool("status", "--node", node, *args)
        guild = f.wait_for(
            lambda: next((s.stdout for s in
                          [status("--key", "guild-operator-key")]
                          if "lantern-muse" in s.stdout and
                          s.stdout.count("members ") == 2), None),
            "the runner and both members")
        self.assertNotIn("permit-assist", guild)
        self.assertNotIn("lantern-muse", status().stdout)
        self.assertEqual(status("--key", "guild-key").returncode, 1)
        nodes = ",".join(f"127.0.0.1:{e.operator_port}" for e in entries)
        log = os.path.join(self.fleet.log_dir, "entry-1.log")
        merged = self.tool("timeline", "--key", "guild-operator-key",
                           "--node", nodes, log)
        self.assertEqual(merged.returncode, 0, merged.stderr)
        stamps = [int(line[3:16]) for line in merged.stdout.splitlines()]
        self.assertEqual(stamps, sorted(stamps))
        self.assertEqual(merged.stdout.count("event=started"), 3)
        self.assertEqual(self.tool("timeline", "--node", nodes).returncode, 1)


if __name__ == "__main__":
    unittest.main()
