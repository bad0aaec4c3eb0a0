#!/usr/bin/env python3
"""Requests at an entry VM that is cut off from all engines, while the other
entry VM reaches them."""
import os
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import batch as b  # noqa: E402
from batch import f  # noqa: E402
from cut import RESET, SILENT, Group  # noqa: E402

DOMAIN = "old-town"
# Time in which the entry VM can notice that all engines are silent.
NOTICE_S = 6
ANSWER_MAX_S = 1
# A runner without requests is not polled after this time, unless it is silent.
POLLS_END_S = 10
# A silence for which an entry VM may refuse nothing.
PAUSE_S = 1.2
POLLS = "wasabilink_silent_runner_polls_total"
REPORTS = "wasabilink_load_reports_total"
REFUSED = ('wasabilink_online_refused_cut_off_total'
           f'{{partner="guild",deployment="{b.MODEL}"}}')


class CutOffCase(unittest.TestCase):
    engine_options = entry_options = ()
    domains = [DOMAIN] * 3

    def setUp(self):
        self.fleet = f.Fleet()
        self.fleet.start_platform()
        self.fleet.put_object("config/production",
                              f.json.dumps(f.sample_document()))
        self.engines = [self.fleet.start_engine(
            f"muse-{i}", "guild", b.MODEL, domain, *self.engine_options)
            for i, domain in enumerate(self.domains)]
        self.group = Group(self.fleet.log_dir, DOMAIN)
        with self.group.started():
            self.entry = self.fleet.start_entry("entry-cut", DOMAIN,
                                                *self.entry_options)
        self.other = self.fleet.start_entry("entry-other", DOMAIN)
        self.fleet.publish_vms()
        for entry in (self.entry, self.other):
            f.wait_for(lambda e=entry: self.chat(e).status == 200, "an answer")

    def tearDown(self):
        self.fleet.close()

    def chat(self, entry, deadline_ms=3000):
        return f.chat(entry, "guild-key", b.MODEL, "koi",
                      headers={"X-Request-Deadline-Ms": str(deadline_ms)})

    def cut(self, kind=""):
        self.group.cut([engine.port for engine in self.engines], kind)

    def assert_refused(self, answer):
        self.assertEqual(answer.status, 503, answer.body)
        self.assertEqual(answer.json()["error"]["work"], "not_run")
        self.assertIn("retry-after", answer.headers)


class EntryCutOffTest(CutOffCase):
    # Guards against callers of a cut-off entry VM that wait until their
    # deadline, while other entry VMs could serve them.
    def test_callers_do_not_wait(self):
        self.cut()
        end = time.monotonic() + NOTICE_S
        while time.monotonic() < end:
            self.chat(self.entry)
        start = time.monotonic()
        answer = self.chat(self.entry)
        self.assertLess(time.monotonic() - start, ANSWER_MAX_S, answer.body)
        if answer.status != 200:
            self.assertEqual(answer.json()["error"]["work"], "not_run")
            self.assertIn("retry-after", answer.headers)
        self.assertEqual(self.chat(self.other).status, 200)

    def assert_served_again(self, kind, idle_s):
        self.cut(kind)
        end = time.monotonic() + NOTICE_S
        while time.monotonic() < end:
            self.chat(self.entry)
        time.sleep(idle_s)
        answer = self.chat(self.entry)
        self.assert_refused(answer)
        self.group.heal()
        time.sleep(int(answer.headers["retry-after"]))
        start = time.monotonic()
        answer = self.chat(self.entry)
        self.assertEqual(answer.status, 200, answer.body)
        self.assertLess(time.monotonic() - start, ANSWER_MAX_S)

    # Guards against a node that finds out later than its Retry-After says that
    # the engines are back, whatever a cut does to connections.
    def test_serves_when_engines_are_back(self):
        for kind in "", SILENT, RESET:
            with self.subTest(kind=kind):
                self.assert_served_again(kind, 0)

    # Guards against a node that never finds out, as it has refused all requests
    # and polls only engines that have some.
    def test_serves_after_time_without_requests(self):
        before = b.metric(self.entry, POLLS)
        self.assert_served_again("", POLLS_END_S + 2)
        self.assertGreater(b.metric(self.entry, POLLS) - before, POLLS_END_S)

    # Guards against refusals because of a short silence.
    def test_short_silence_refuses_nothing(self):
        with ThreadPoolExecutor(len(self.engines)) as pool:
            self.cut()
            for _ in self.engines:
                pool.submit(self.chat, self.entry)
            time.sleep(PAUSE_S)
            self.group.heal()
            time.sleep(2 * PAUSE_S)
        self.assertEqual(b.metric(self.entry, REFUSED), 0)
        self.assertEqual(self.chat(self.entry).status, 200)


class ManyEnginesTest(CutOffCase):
    domains = [DOMAIN, "thu-bon"] * 6
    PERIOD_S = 0.5

    # Guards against callers that find out one by one which engines are silent,
    # those of their own domain first.
    def test_callers_do_not_wait_for_each_engine(self):
        self.cut(SILENT)
        calls = int(NOTICE_S / self.PERIOD_S)
        with ThreadPoolExecutor(calls) as pool:
            for _ in range(calls):
                pool.submit(self.chat, self.entry)
                time.sleep(self.PERIOD_S)
            start = time.monotonic()
            answer = self.chat(self.entry)
            self.assertLess(time.monotonic() - start, ANSWER_MAX_S)
        self.assert_refused(answer)
        self.assertGreater(b.metric(self.entry, REFUSED), 0)


class QueueTest(CutOffCase):
    SLOTS = 1
    REQUESTS = 12
    DEADLINE_MS = 10000
    engine_options = ("--slots", str(SLOTS))
    # What waits expires with its deadline, not before.
    entry_options = ("--queue-ms", str(DEADLINE_MS))

    # Guards against requests that wait in the queue until their deadline, as
    # the slots of silent engines do not become free.
    def test_queue_is_refused(self):
        # Nothing is queued before the number of slots is known.
        f.wait_for(lambda: b.metric(self.entry, REPORTS) >=
                   2 * len(self.engines), "load reports")
        self.cut()
        start = time.monotonic()
        with ThreadPoolExecutor(self.REQUESTS) as pool:
            answers = list(pool.map(
                lambda _: (self.chat(self.entry, self.DEADLINE_MS),
                           time.monotonic() - start), range(self.REQUESTS)))
        refused = [(a, s) for a, s in answers if a.status == 503]
        self.assertGreaterEqual(
            len(refused), self.REQUESTS - len(self.engines) * self.SLOTS)
        for answer, after_s in refused:
            self.assert_refused(answer)
            self.assertLess(after_s, NOTICE_S)
        self.assertEqual(b.metric(self.entry, REFUSED), len(refused))


if __name__ == "__main__":
    unittest.main()
