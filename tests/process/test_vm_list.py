#!/usr/bin/env python3
"""One node per failure domain reads the VM list from the platform.

Guards against every node reading the whole list every second, and against
nodes that get no changes any more once the watcher has failed.
"""
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "scripts"))
import fleet as f  # noqa: E402
from cut import Group  # noqa: E402

READS = "wasabilink_vm_list_store_reads_total"
# For a change of the list: some reads of it, each a second apart.
NOTICE_S = 10


def counter(entry, name):
    text = f.request(entry.operator_port, "GET", "/metrics").body.decode()
    for line in text.split("\n"):
        if line.startswith(name + " "):
            return int(line.split()[1])
    return 0


def serves_chat(entry):
    try:
        return f.chat(entry, "guild-key", "lantern-muse", "x").status == 200
    except OSError:
        return False


def find_watchers(entries, before):
    """Nodes that have read the list more than twice since."""
    return [e for e, b in zip(entries, before)
            if counter(e, READS) > b + 2]


class VmListTest(unittest.TestCase):
    def test_only_the_watcher_reads_and_is_replaced(self):
        """Only the watcher's counter of reads may keep growing, and a new
        runner must reach the remaining nodes after the watcher is killed."""
        fleet = f.Fleet()
        fleet.start_platform()
        fleet.put_object("config/production",
                         f.json.dumps(f.sample_document()))
        entries = [fleet.start_entry(f"entry-{i}", "old-town")
                   for i in range(4)]
        fleet.start_engine("muse-0", "guild", "lantern-muse", "old-town")
        fleet.publish_vms()
        f.wait_for(lambda: all(serves_chat(e) for e in entries),
                   "the list on all nodes")
        before = [counter(e, READS) for e in entries]
        f.wait_for(lambda: find_watchers(entries, before),
                   "a watcher that reads periodically")
        watchers = find_watchers(entries, before)
        self.assertEqual(len(watchers), 1)
        watchers[0].kill()
        rest = [e for e in entries if e is not watchers[0]]
        fleet.vms = [vm for vm in fleet.vms if vm["role"] == "entry"]
        fleet.start_engine("muse-1", "guild", "lantern-muse", "old-town")
        fleet.publish_vms()
        f.wait_for(lambda: all(serves_chat(e) for e in rest),
                   "the new runner on the remaining nodes")
        fleet.close()

    def test_watcher_that_has_lost_the_platform(self):
        """Nodes that reach the platform must not go on with the list of a
        watcher that does not."""
        fleet = f.Fleet()
        fleet.start_platform()
        fleet.put_object("config/production",
                         f.json.dumps(f.sample_document()))
        entries, groups = [], []
        for i in range(3):
            groups.append(Group(fleet.log_dir, f"group-{i}"))
            with groups[i].started():
                entries.append(fleet.start_entry(f"entry-{i}", "old-town"))
        fleet.start_engine("muse-0", "guild", "lantern-muse", "old-town")
        fleet.publish_vms()
        f.wait_for(lambda: all(serves_chat(e) for e in entries),
                   "the list on all nodes")
        before = [counter(e, READS) for e in entries]
        f.wait_for(lambda: find_watchers(entries, before), "a watcher")
        watcher = entries.index(find_watchers(entries, before)[0])
        groups[watcher].cut([fleet.platform.port])
        fleet.vms = [vm for vm in fleet.vms if vm["role"] == "entry"]
        fleet.start_engine("muse-1", "guild", "lantern-muse", "old-town")
        fleet.publish_vms()
        fleet.processes[-2].kill()
        rest = [e for i, e in enumerate(entries) if i != watcher]
        f.wait_for(lambda: all(serves_chat(e) for e in rest),
                   "the new runner on the other nodes", NOTICE_S)
        fleet.close()


if __name__ == "__main__":
    unittest.main()
