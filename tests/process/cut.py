"""Network partitions between groups of processes, for the process tests.

The processes run with a preloaded library that cuts their traffic to listed
ports (cut_traffic.c). So the daemon needs no fault setting of its own, and all
its traffic is cut alike: membership, internal calls, runners and platform.
"""
import contextlib
import os
import socket

LIBRARY = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                       "build", "tests", "cut_traffic.so")
SILENT, REFUSED, RESET = KINDS = "silent", "refused", "reset"


class Hole:
    """A port to which connects hang, as its backlog is full."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.port = self.listener.getsockname()[1]
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))


class Group:
    """Processes started within started(), or with environment(), share one list
    of cut ports."""
    hole = None

    def __init__(self, log_dir, name):
        self.path = os.path.join(log_dir, name + ".cut")

    def environment(self, source=None):
        """source: the address that connections come from."""
        # The loader only warns when a library to preload is missing.
        if not os.path.exists(LIBRARY):
            raise FileNotFoundError(f"{LIBRARY}: build it by 'make tests'")
        # A sanitizer's runtime wants to be the first library.
        options = os.environ.get("ASAN_OPTIONS", "")
        return {**os.environ, "LD_PRELOAD": os.path.abspath(LIBRARY),
                "CUT_TRAFFIC": self.path,
                **({"CUT_SOURCE": source} if source else {}),
                "ASAN_OPTIONS": options + ":verify_asan_link_order=0"}

    @contextlib.contextmanager
    def started(self):
        before = dict(os.environ)
        os.environ.update(self.environment())
        try:
            yield
        finally:
            os.environ.clear()
            os.environ.update(before)

    def cut(self, ports, kind=""):
        """Without a kind, what is sent is swallowed."""
        if not Group.hole:
            Group.hole = Hole()
        end = f" {kind} {self.hole.port}" if kind else ""
        with open(self.path + ".new", "w", encoding="ascii") as file:
            file.writelines(f"{port}{end}\n" for port in ports)
        os.replace(self.path + ".new", self.path)

    def heal(self):
        os.unlink(self.path)
