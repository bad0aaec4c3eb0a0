#!/usr/bin/env python3
"""Orders to engines converge despite races, pauses and stale owners.

Guards against an order of a former owner that replaces a newer version, and
against failing requests while the engines load a new version.
"""
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402


def engine_state(engine):
    return f.request(engine.port, "GET", "/engine/state").json()


def serves(engine, version):
    models = engine_state(engine)["models"]
    return [(m["version"], m["state"]) for m in models] == [
        (version, "serving")]


def document(version, fencing):
    text = f.sample_document()
    deployment = text["partners"]["guild"]["deployments"]["lantern-muse"]
    deployment.update(version=version, fencing=fencing, min_serving=2)
    return f.json.dumps(text)


class OrdersTest(unittest.TestCase):
    def start(self, fencing):
        self.fleet = f.Fleet()
        self.fleet.start_platform()
        self.config_version = 0
        self.publish("1", fencing)
        self.engines = [
            self.fleet.start_engine(
                f"muse-{i}", "guild", "lantern-muse", "old-town",
                "--check-fence=" + ("true" if fencing else "false"))
            for i in range(3)]
        self.entries = [self.fleet.start_entry(f"entry-{i}", "old-town",
                                               "--weight-loads-per-minute",
                                               "600")
                        for i in range(3)]
        self.fleet.publish_vms()
        f.wait_for(lambda: f.chat(self.entries[0], "guild-key", "lantern-muse",
                                  "x").status == 200, "a first response")

    def tearDown(self):
        self.fleet.close()

    def publish(self, version, fencing):
        answer = self.fleet.put_object("config/production",
                                       document(version, fencing),
                                       self.config_version)
        self.assertEqual(answer.status, 200)
        self.config_version = int(answer.headers["x-object-version"])

    def wait_converged(self, version):
        f.wait_for(lambda: all(serves(e, version) for e in self.engines),
                   f"version {version} on all engines", 40)

    def owner(self):
        """Returns an entry process that has sent orders."""
        def find():
            for entry in self.entries:
                if entry.alive() and "event=order_sent" in self.fleet.log(
                        entry.name):
                    return entry
            return None
        return f.wait_for(find, "an owner that sends orders")

    def test_version_change_reaches_engines_that_check_the_token(self):
        self.start(fencing=True)
        self.publish("2", True)
        self.wait_converged("2")
        fences = [engine_state(e)["fence"] for e in self.engines]
        self.assertTrue(all(fence > 0 for fence in fences))

    def test_requests_are_served_while_the_version_changes(self):
        """Requests that name the new version before a runner has loaded it
        would all fail for the duration of a load."""
        self.start(fencing=True)
        self.publish("2", True)
        statuses = []
        end = time.monotonic() + 40
        while time.monotonic() < end:
            for entry in self.entries:
                statuses.append(f.chat(entry, "guild-key", "lantern-muse",
                                       "x").status)
            if all(serves(e, "2") for e in self.engines):
                break
        self.wait_converged("2")
        self.assertEqual(set(statuses), {200})

    def test_paused_owner_does_not_undo_newer_version(self):
        """A stale order of a replaced owner must not leave a wrong version,
        also on engines that ignore the fencing token."""
        for fencing in (True, False):
            with self.subTest(fencing=fencing):
                self.start(fencing)
                self.publish("2", fencing)
                owner = self.owner()
                owner.send(signal.SIGSTOP)
                self.publish("3", fencing)
                self.wait_converged("3")
                owner.send(signal.SIGCONT)
                time.sleep(1)
                stale = {"fence": 0, "role": "serving", "models": [
                    {"model": "muse", "adapter": "", "version": "2"}]}
                answer = f.request(self.engines[0].port, "POST",
                                   "/engine/order", stale)
                self.assertEqual(answer.status, 409 if fencing else 200)
                self.wait_converged("3")
                self.fleet.close()


if __name__ == "__main__":
    unittest.main()
