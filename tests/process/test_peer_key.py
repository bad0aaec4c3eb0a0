#!/usr/bin/env python3
"""Nodes that share a key, nodes that do not, and the change of keys."""
import json
import os
import socket
import struct
import sys
import threading
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402

OLD, NEW, WRONG = ("old key " * 5, "new key " * 5, "wrong key " * 5)
DOMAINS = ["old-town", "thu-bon", "munster-a"]
CONFIG_FETCH = (0x20000774, 1, bytes(8 + 32))
LEDGER_CLAIM = (0x20000771, 1, b"")


def raw_call(port, program, procedure, args, verifier=(0, b"")):
    """A call as any ONC RPC client sends it; returns the replies' bytes."""
    flavor, body = verifier
    message = struct.pack(">10I", 77, 0, 2, program, 1, procedure, 0, 0,
                          flavor, len(body)) + body + args
    replies = b""
    with socket.create_connection(("127.0.0.1", port), timeout=20) as s:
        s.sendall(struct.pack(">I", 0x80000000 | len(message)) + message)
        s.settimeout(5)
        while True:
            head = s.recv(4, socket.MSG_WAITALL)
            if len(head) < 4:
                return replies
            size = struct.unpack(">I", head)[0] & 0x7fffffff
            record = s.recv(size, socket.MSG_WAITALL)
            if struct.unpack(">2I", record[:8]) == (77, 1):
                return record


class PeerKeyTest(unittest.TestCase):
    def setUp(self):
        self.fleet = f.Fleet()
        self.fleet.start_platform(domains=["cut-off"])
        self.fleet.start_engine("muse", "guild", "lantern-muse", "old-town")
        self.fleet.put_object("config/production",
                              json.dumps(f.sample_document()))
        self.fleet.publish_vms()

    def tearDown(self):
        self.fleet.close()

    def key_file(self, name):
        return os.path.join(self.fleet.log_dir, name + ".key")

    def write_key(self, name, *keys):
        temporary = self.key_file(name) + ".new"
        with open(temporary, "w", encoding="ascii") as out:
            out.write("".join(key + "\n" for key in keys))
        os.rename(temporary, self.key_file(name))

    def start(self, name, domain, *keys, **more):
        self.write_key(name, *keys)
        seeds = ",".join(f"127.0.0.1:{p.peer_port}"
                         for p in self.fleet.processes if p.peer_port)
        return self.fleet.start_entry(name, domain, "--peer-key-file",
                                      self.key_file(name), "--seeds", seeds,
                                      **more)

    def metric(self, entry, name):
        text = f.request(entry.operator_port, "GET",
                         "/metrics").body.decode()
        return sum(int(line.split()[-1]) for line in text.split("\n")
                   if line.startswith("wasabilink_" + name))

    def failures(self, entry):
        return self.metric(entry, "peer_auth_failures_total")

    def members(self, entry):
        status = f.request(entry.operator_port, "GET", "/status").json()
        return {m["address"] for m in status["members"]}

    def wait_members(self, entries):
        wanted = {f"127.0.0.1:{e.peer_port}" for e in entries}
        for entry in entries:
            f.wait_for(lambda: self.members(entry) == wanted,
                       f"the members of {entry.name}", 40)

    def test_node_with_another_key(self):
        """A node with another key, or none, that becomes a member or gets
        the document from its peers. With the right key it gets both."""
        self.fleet.fault(self.fleet.platform,
                         block=[self.fleet.platform.info["cut-off"]])
        entries = [self.start(d, d, OLD) for d in DOMAINS[:2]]
        self.wait_members(entries)
        before = [self.failures(e) for e in entries]
        self.assertEqual(before, [0, 0])
        intruder = self.start("intruder", "cut-off", WRONG, wait=False)
        f.wait_for(lambda: all(self.failures(e) >= 3 for e in entries),
                   "refused datagrams")
        self.assertFalse(f.reachable(intruder.operator_port, "/readyz"))
        self.assertEqual(len(self.members(intruder)), 1)
        self.wait_members(entries)
        for entry in entries:
            for call in (CONFIG_FETCH, LEDGER_CLAIM):
                self.assertEqual(raw_call(entry.peer_port, *call), b"")
                self.assertEqual(raw_call(
                    entry.peer_port, *call,
                    verifier=(0x20000770, bytes(48))), b"")
            lines = self.fleet.log(entry.name).split("\n")
            self.assertTrue(any("event=peer_not_authentic" in line
                                for line in lines))
        for key in (OLD, NEW, WRONG):
            self.assertNotIn(key, self.fleet.log(entries[0].name))
        self.write_key("intruder", OLD)
        self.fleet.wait_ready(intruder)
        self.wait_members([*entries, intruder])

    def test_without_a_key(self):
        """The raw calls above must fail by the key, not by their form."""
        entry = self.fleet.start_entry("open", DOMAINS[0])
        for call, status in ((CONFIG_FETCH, 0), (LEDGER_CLAIM, 4)):
            reply = raw_call(entry.peer_port, *call)
            self.assertEqual(struct.unpack(">6I", reply[:24]),
                             (77, 1, 0, 0, 0, status))

    def test_keys_change_under_load(self):
        """A rotation that loses a datagram, a call or a request."""
        entries = [self.start(d, d, OLD) for d in DOMAINS]
        self.wait_members(entries)
        for entry in entries:
            f.wait_for(lambda: self.ask(entry, f"first {entry.name}") == 200,
                       "an answer")
        stop, statuses = threading.Event(), []

        def load():
            number = 0
            while not stop.is_set():
                number += 1
                statuses.extend(self.ask(e, f"{number} {e.name}")
                                for e in entries)
        thread = threading.Thread(target=load)
        thread.start()
        try:
            for changes, keys in enumerate(((OLD, NEW), (NEW, OLD), (NEW,)),
                                           1):
                for entry in entries:
                    self.write_key(entry.name, *keys)
                for entry in entries:
                    f.wait_for(lambda: self.fleet.log(entry.name).count(
                        "event=peer_key_changed") == changes, "the new keys")
                count = len(statuses)
                f.wait_for(lambda: len(statuses) > count + 30, "requests")
        finally:
            stop.set()
            thread.join()
        self.assertEqual(set(statuses), {200})
        self.assertEqual([self.failures(e) for e in entries], [0, 0, 0])
        self.assertGreater(sum(self.metric(e, "ledger_forwarded_total")
                               for e in entries), 10)
        self.wait_members(entries)
        for entry in entries:
            self.assertNotIn("state=suspect", self.fleet.log(entry.name))
            self.assertNotIn("state=dead", self.fleet.log(entry.name))
        late = self.start("late", DOMAINS[0], OLD, wait=False)
        f.wait_for(lambda: all(self.failures(e) for e in entries),
                   "refused datagrams")
        self.assertEqual(len(self.members(late)), 1)

    def ask(self, entry, key):
        """Keyed and to be run once: without its claim it is refused."""
        return f.chat(entry, "guild-key", "lantern-muse", key, max_tokens=1,
                      headers={"Idempotency-Key": key,
                               "X-Wasabilink-Idempotent": "false"}).status


if __name__ == "__main__":
    unittest.main()
