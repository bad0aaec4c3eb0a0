"""Network partitions between groups of processes, for the process tests.

The processes run with a preloaded library that drops what they send to listed
ports (cut_traffic.c). So the daemon needs no fault setting of its own, and all
its traffic is cut alike: membership, internal calls, runners and platform.
"""
import contextlib
import os

LIBRARY = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                       "build", "tests", "cut_traffic.so")


class Group:
    """Processes started within started() share one list of cut ports."""

    def __init__(self, fleet, name):
        self.path = os.path.join(fleet.log_dir, name + ".cut")

    @contextlib.contextmanager
    def started(self):
        # The loader only warns when a library to preload is missing.
        if not os.path.exists(LIBRARY):
            raise FileNotFoundError(f"{LIBRARY}: build it by 'make tests'")
        before = dict(os.environ)
        # A sanitizer's runtime wants to be the first library.
        options = before.get("ASAN_OPTIONS", "")
        os.environ.update(LD_PRELOAD=os.path.abspath(LIBRARY),
                          CUT_TRAFFIC=self.path,
                          ASAN_OPTIONS=options + ":verify_asan_link_order=0")
        try:
            yield
        finally:
            os.environ.clear()
            os.environ.update(before)

    def cut(self, ports):
        with open(self.path + ".new", "w", encoding="ascii") as file:
            file.writelines(f"{port}\n" for port in ports)
        os.replace(self.path + ".new", self.path)

    def heal(self):
        os.unlink(self.path)
