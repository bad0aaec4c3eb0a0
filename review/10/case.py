"""Machines are replaced one after the other; then clients take streams up."""
import os
import signal
import socket
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import standins as s  # noqa: E402

NODES = 3
REPLACED = 24 if s.TROUBLE else 0
RUNNERS = 4  # two of each software version
EVENTS = 30
GAP_S = 0.05
STREAMS = 60
BROKEN_AFTER = 4  # events
# Until processes that were told to stop have ended (grace_s), and the machines
# have been there for contact_ms and catch_up_s.
SETTLED_S = 14


class VersionRunner(s.Runner):
    def text(self, request, number):
        return f"piece {number}"


def replace(store, record, gateways, number):
    """The new machine comes first, at another address; then the old one is
    removed with SIGTERM."""
    new = s.Gateway(store, number)
    if not s.wait_until(new.is_ready, 10):
        s.not_run(record, f"{new.name} did not become ready")
    index = number % NODES
    old, gateways[index] = gateways[index], new
    old.process.send_signal(signal.SIGTERM)
    threading.Thread(target=old.process.wait, daemon=True).start()
    record(f"{old.name} ({old.ip}) is replaced by {new.name} ({new.ip})")


class Stream:
    """A client's stream: (status, events) of an attempt."""

    def __init__(self, gateway, request, headers, stop_after=None):
        self.status, self.ids = 0, []
        with socket.create_connection((gateway.ip, gateway.front), 5) as c:
            c.settimeout(5)
            head = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
            c.sendall((f"POST /note/a HTTP/1.1\r\nHost: {s.HOST}\r\n"
                       f"Request-Id: {request}\r\nDeadline-Ms: 5000\r\n"
                       f"Model: m\r\nToken-Usage: 100,30\r\n{head}"
                       f"Content-Length: 4\r\n\r\nnote").encode())
            answer = b""
            try:
                while b"\r\n0\r\n\r\n" not in answer:
                    got = c.recv(4096)
                    if not got:
                        break
                    answer += got
                    if b"\r\n\r\n" in answer and b" 503 " in answer[:20]:
                        break
                    if stop_after and answer.count(b"id: ") >= stop_after + 1:
                        # The connection is reset on the way.
                        c.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                     struct.pack("ii", 1, 0))
                        break
            except OSError:
                pass
        if answer:
            self.status = int(answer.split()[1])
        self.ids = [int(line[4:]) for line in answer.split(b"\n")
                    if line.startswith(b"id: ") and line[4:].strip().isdigit()]
        if stop_after:
            self.ids = self.ids[:stop_after]


def main():
    record = s.Record(os.path.join(HERE, "record.txt"))
    store = s.Store()
    s.write_config(store, record, 5, [
        s.route("glaze-note", "/note/", "streaming", resumable=True,
                max_attempts=2, timeout_ms=5000)])
    for i in range(RUNNERS):
        runner = VersionRunner(store, record, i, events=EVENTS, gap_s=GAP_S)
        spec = store.get("servers", runner.id)["spec"]
        store.write("servers", runner.id,
                    {**spec, "version": f"v{1 + i % 2}"})
    gateways = s.start(store, NODES)
    for number in range(NODES, NODES + REPLACED):
        replace(store, record, gateways, number)
    time.sleep(SETTLED_S)
    begun = goes_on = 0
    lock = threading.Lock()

    def client(number):
        nonlocal begun, goes_on
        request = f"s{number}"
        first = Stream(gateways[number % NODES], request + ".0", {},
                       BROKEN_AFTER)
        record(f"{request}.0 sent to {gateways[number % NODES].name}: "
               f"{first.status}, events {first.ids}, then a reset")
        if not first.ids:
            return
        with lock:
            begun += 1
        # The client takes it up at another node, once more after a refusal.
        for attempt in (1, 2):
            gateway = gateways[(number + attempt) % NODES]
            again = Stream(gateway, f"{request}.{attempt}", {
                "Resumes": request + ".0",
                "Last-Event-Id": str(first.ids[-1])})
            record(f"{request}.{attempt} takes it up at {gateway.name}: "
                   f"{again.status}, {len(again.ids)} events from "
                   f"{again.ids[:1]}")
            if again.ids == list(range(first.ids[-1] + 1, EVENTS + 1)):
                with lock:
                    goes_on += 1
                return
            time.sleep(0.3)

    for start in range(0, STREAMS, 6):
        threads = [threading.Thread(target=client, args=(n,))
                   for n in range(start, start + 6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    record(f"{begun} of {STREAMS} new streams began; of these, which all were "
           f"taken up, {goes_on} went on")
    if begun < 12:
        s.not_run(record, "too few streams began")
    faults = []
    if goes_on / begun < 0.5 * begun / STREAMS:
        faults.append(
            f"LOST: of {begun} streams that clients took up, {goes_on} went "
            f"on (share {goes_on / begun:.2f}), under half of the share of "
            f"new streams that began ({begun / STREAMS:.2f})")
    s.finish(record, faults)


main()
