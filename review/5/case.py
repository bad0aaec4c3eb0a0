"""One runner of a plain service sends bodies without end. The gateways must not
keep them: a process that uses more than memory_mb is killed."""
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import standin as s  # noqa: E402

RECORD = os.path.join(HERE, "record.txt")

MEMORY_MB = 110  # of the edge machines of sgp-wasabilink
SICK_S = 30.0
LOAD_S = 36.0
CLIENTS = 8  # at each gateway, one request at a time
PAUSE_S = 0.2
RESTART_S = 0.5  # "restarted after a short delay"
# All bodies of the runner together, in MB a second; below the 1,000 Mbit/s of a
# machine's link.
RATE_MB = 90
PART = b"x" * 65536
ENDS_EACH = 3
MACHINES = 2


class Plain(s.Runner):
    """A runner of a plain service: answers have a length."""
    sick = False
    sent = 0
    sick_since = 0.0

    def run(self, handler, request, after):
        handler.send_response(200)
        handler.send_header("Request-Id", request)
        handler.send_header("Response-Stamp", f"stamp.{self.id}.{request}")
        if self.sick:
            return self.flood(handler)
        time.sleep(0.02 * self.random.uniform(0.6, 1.6))
        body = f"answer to {request}".encode()
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)
        handler.wfile.flush()
        return "complete"

    def flood(self, handler):
        """Neither a length nor chunks: until the caller closes."""
        handler.send_header("Connection", "close")
        handler.close_connection = True
        handler.end_headers()
        sent = 0
        while self.sick:
            with self.lock:
                self.sent += len(PART)
                due = self.sick_since + self.sent / (RATE_MB * 1e6)
            time.sleep(max(due - time.monotonic(), 0))
            try:
                handler.wfile.write(PART)
                handler.wfile.flush()
            except OSError:
                return f"caller_closed_after_{sent >> 20}_MB"
            sent += len(PART)
        return f"broken_off_after_{sent >> 20}_MB"


def rss_mb(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGESIZE") / 2**20


def main():
    fleet = s.Fleet(RECORD, [s.route("r-plain", "/lohu930/", "safe"),
                           s.batch_route()],
                    runners=6, memory_mb=MEMORY_MB, kind=Plain)
    fleet.wait_ready()
    time.sleep(4)
    stop = threading.Event()
    ends = {gateway.name: 0 for gateway in fleet.gateways}
    peak = {gateway.name: 0.0 for gateway in fleet.gateways}
    statuses = {}
    lock = threading.Lock()

    def platform(gateway):
        """Ends a process above its memory, and starts it again."""
        while not stop.wait(0.005):
            try:
                used = rss_mb(gateway.process.pid)
            except OSError:
                used = 0
            peak[gateway.name] = max(peak[gateway.name], used)
            if used <= MEMORY_MB and gateway.process.poll() is None:
                continue
            fleet.record.write("memory_over_limit" if used > MEMORY_MB else
                               "process_ended", node=gateway.name,
                               used_mb=round(used), limit_mb=MEMORY_MB)
            ends[gateway.name] += 1
            gateway.kill()
            if stop.wait(RESTART_S):
                return
            gateway.start()

    def client(gateway):
        while time.monotonic() < load_end:
            request = f"{random.getrandbits(64):016x}"
            status, _, body = gateway.request(
                "POST", f"/lohu930/{request[:4]}", b"check",
                {"Request-Id": request, "Deadline-Ms": "5000"}, 5.5)
            fleet.record.write("answer", node=gateway.name, request=request,
                               status=status, bytes=len(body))
            with lock:
                statuses[status] = statuses.get(status, 0) + 1
            time.sleep(PAUSE_S * random.uniform(0.5, 1.5))

    sick = fleet.runners[0]
    if s.TROUBLE:
        fleet.record.write("runner_in_trouble", runner=sick.id)
        sick.sick_since = time.monotonic()
        sick.sick = True
    load_end = time.monotonic() + LOAD_S
    threads = [threading.Thread(target=platform, args=(g,), daemon=True)
               for g in fleet.gateways]
    clients = [threading.Thread(target=client, args=(g,), daemon=True)
               for g in fleet.gateways for _ in range(CLIENTS)]
    for thread in threads + clients:
        thread.start()
    time.sleep(SICK_S)
    sick.sick = False
    for thread in clients:
        thread.join()
    stop.set()
    for thread in threads:
        thread.join()
    fleet.record.write("summary", ends=ends, statuses=statuses, peak_mb={
        name: round(mb) for name, mb in peak.items()})
    machines = [name for name, count in ends.items() if count >= ENDS_EACH]
    breaks = []
    if len(machines) >= MACHINES:
        breaks.append(f"Fault: {len(machines)} of {len(ends)} machines had "
                      f"{ENDS_EACH} or more ends: {ends}")
    fleet.end(breaks)


s.play(main)
