#!/usr/bin/env python3
"""Gateways of the last release and of this build side by side: each one is
replaced while jobs and requests go on and others are killed, stand still or
lose their links to the runners; then all return to the release."""
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
import jobs as j  # noqa: E402
import soak  # noqa: E402
from gateway_standin import f  # noqa: E402

SEED = int(os.environ.get("SEED", "5"))
CALLERS = 3
# Longer than the lease of a job.
FROZEN_S = 4.5
CUT_S = 2
# Within the end of a lease, a takeover and the back-off of an item.
DONE_S = 40
UNREADABLE = re.compile(r"event=\w*(unreadable|mismatch|too_new)\w*.*")


def kill(world, gateway, draw):
    with gateway.lock:
        world.check_alive(gateway)
        gateway.process.kill()
        gateway.process.wait()
        time.sleep(draw.uniform(0, 1))
        gateway.run()


def freeze(world, gateway, draw):
    with gateway.lock:
        gateway.process.send_signal(signal.SIGSTOP)
        time.sleep(FROZEN_S)
        gateway.process.send_signal(signal.SIGCONT)


def cut_links(world, gateway, draw):
    kind = draw.choice(soak.KINDS)
    world.cut([gateway], kind)
    time.sleep(CUT_S)
    world.end_cut([gateway], kind)


class SideBySideTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        if not os.path.exists(os.path.join(ROOT, ".git")):
            raise unittest.SkipTest("the history that has the release is gone")
        cls.folder = tempfile.TemporaryDirectory()
        cls.release = subprocess.run(
            [os.path.join(ROOT, "scripts", "build-release"), cls.folder.name],
            check=True, stdout=subprocess.PIPE, text=True).stdout.strip()

    @classmethod
    def tearDownClass(cls):
        cls.folder.cleanup()

    def replace_all(self, world, binary, draw):
        """Replaces each process by one of the build, beside a fault of another
        one."""
        order = draw.sample(world.gateways, len(world.gateways))
        for gateway, fault in zip(order, draw.sample(
                [kill, freeze, cut_links], len(order))):
            other = draw.choice([g for g in order if g is not gateway])
            gateway.binary = binary
            thread = threading.Thread(target=fault, args=(world, other, draw))
            thread.start()
            soak.restart(world, gateway, signal.SIGTERM)
            f.wait_for(gateway.is_ready, f"{gateway.name} ready")
            thread.join()

    def check_change(self, world):
        """A change of the configuration is in force at all of them."""
        for gateway in world.gateways:
            f.wait_for(gateway.is_ready, f"{gateway.name} ready")
        time.sleep(soak.CONTACT_S)
        world.change_config(1)
        time.sleep(soak.APPLY_S)
        for gateway in world.gateways:
            status = soak.probe(gateway, f"/new-{world.version}/")
            if status != 200:
                world.problem(f"{gateway.name} answers {status}")

    def check_logs(self, world):
        for gateway in world.gateways:
            for found in UNREADABLE.finditer(gateway.log()):
                world.problem(f"{gateway.name}: {found.group()}")

    def play(self, world):
        draw = random.Random(SEED)
        jobs = []
        callers = [soak.Caller(world, i) for i in range(CALLERS)]
        threads = callers + j.clients(world, jobs) + [
            threading.Thread(target=j.run_jobs, args=(world, jobs),
                             daemon=True)]
        for thread in threads:
            thread.start()
        with world.disturbance():
            self.replace_all(world, f.BINARY, draw)
        self.check_change(world)
        with world.disturbance():
            self.replace_all(world, self.release, draw)
        self.check_change(world)
        f.wait_for(lambda: j.are_done(jobs), "all jobs done", DONE_S)
        j.read_all(world, jobs)
        world.over.set()
        for thread in threads:
            thread.join(10)
        soak.check_ends(world)
        for job in jobs:
            job.check()
        soak.check_requests(world, callers)
        self.check_logs(world)

    def test_upgrade_and_return(self):
        """Guards against builds that do not read what the other one writes:
        lost or doubled items, requests that run twice, changes not applied."""
        binary = f.BINARY
        try:
            f.BINARY = self.release
            world = soak.World(SEED)
        finally:
            f.BINARY = binary
        try:
            self.play(world)
        finally:
            world.close()
        self.assertEqual(world.problems, [])


if __name__ == "__main__":
    unittest.main()
