"""The only runner of a service is lost for good while batch jobs of two
services are open. The jobs of the other service must be done."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import standin as s  # noqa: E402

RECORD = os.path.join(HERE, "record.txt")

OTHER = "svc-b"
OTHER_PREFIX = "/kemo118/"
FINISH_S = 18
CALM_S = 5
ITEMS = 6
# Until the entries of lost runners are removed and no longer used: three
# heartbeats of 1.2 s, and drain_ms.
ENTRIES_GONE_S = 6


def read_all(job, fleet):
    """Reads a job from the start; again after each failure."""
    position = 0
    for number in range(6):
        _, _, results = job.read(fleet.gateways[number % 3], position)
        job.note(position, results, [], "-")
        position += len(results)
        if job.is_read():
            break
        time.sleep(0.3)


def main():
    fleet = s.Fleet(RECORD, [
        s.batch_route(),
        s.batch_route("r-batch-b", OTHER_PREFIX, service=OTHER,
                      completion_target_ms=60000, retention_s=300)],
        events=80)  # about 2 s an item
    other = s.Runner(fleet.store, fleet.record, "j-0", fleet.zones[0],
                     events=80, service=OTHER)
    fleet.runners.append(other)
    fleet.wait_ready()
    time.sleep(4)
    other_jobs = [s.Job(fleet.record, n, ITEMS, prefix=OTHER_PREFIX)
                  for n in range(3)]
    for job, gateway in zip(other_jobs, fleet.gateways):
        job.submit(gateway)
    time.sleep(0.5)
    if s.TROUBLE:
        other.crash()
    time.sleep(ENTRIES_GONE_S)
    jobs = [s.Job(fleet.record, n, ITEMS) for n in range(6)]
    for n, job in enumerate(jobs):
        job.submit(fleet.gateways[n % 3])
    if any(not job.accepted_at for job in jobs + other_jobs):
        fleet.close()
        os._exit(s.UNABLE)
    fleet.record.write("traffic_ends")
    time.sleep(FINISH_S)
    fleet.record.write("finish_s_over")
    for job in jobs + other_jobs:
        read_all(job, fleet)
    ran = {item for item, at in fleet.record.started.items()
           if time.monotonic() - at < CALM_S + 3}
    full = max(r.requests for r in fleet.runners if r.service == s.SERVICE)
    breaks = []
    for job in jobs:
        listed = {result[0] for result in job.results.values()}
        open_items = [i for i in job.items if i not in listed]
        if open_items and not ran.intersection(job.items) and not full:
            breaks.append(
                f"LOST: {len(open_items)} of {len(job.items)} items of job "
                f"{job.id} are not listed {FINISH_S} s after the end of "
                "traffic; no runner had one of them, and the runners of their "
                "service were empty")
    fleet.record.write("summary", jobs=len(jobs), jobs_done=sum(
        job.is_read() for job in jobs), other_jobs_done=sum(
            job.is_read() for job in other_jobs))
    fleet.end(breaks)


s.play(main)
