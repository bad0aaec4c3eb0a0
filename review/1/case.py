"""Batch jobs that are complete are sent again while answers of the store are
lost. Their results must stay as they were read."""
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import standin as s  # noqa: E402

RECORD = os.path.join(HERE, "record.txt")

JOBS = 24
LOST_SHARE = 0.35  # of the answers to writes: the site's largest dose
LOST_S = 4.5
FINISH_S = 18  # after the last client call


def read_until_complete(job, fleet, breaks, limit_s):
    """Reads twice a second, at the nodes in turn, from the next position."""
    end = time.monotonic() + limit_s
    number = random.randrange(3)
    while not job.is_read() and time.monotonic() < end:
        node = fleet.gateways[number % len(fleet.gateways)]
        after = len(job.results)
        _, _, results = job.read(node, after)
        job.note(after, results, breaks, node.name)
        number += 1
        if not job.is_read():
            time.sleep(0.5)


def in_threads(function, arguments):
    threads = [threading.Thread(target=function, args=a) for a in arguments]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def main():
    fleet = s.Fleet(RECORD, [s.batch_route()])
    fleet.wait_ready()
    time.sleep(4)  # the nodes are in touch, and know each other
    breaks = []
    jobs = [s.Job(fleet.record, n) for n in range(JOBS)]
    in_threads(lambda job, n: job.submit(fleet.gateways[n % 3]),
               [(job, n) for n, job in enumerate(jobs)])
    in_threads(read_until_complete,
               [(job, fleet, breaks, 30) for job in jobs])
    accepted = [job for job in jobs if job.accepted_at and job.is_read()]
    if len(accepted) < JOBS:
        fleet.record.write("unable", complete=len(accepted), of=JOBS)
        fleet.close()
        os._exit(s.UNABLE)
    seed = int(os.environ.get("SEED", time.time_ns() % 1000000))
    draw = random.Random(seed)
    lock = threading.Lock()
    counts = {"writes": 0, "lost": 0}
    window_end = time.monotonic() + LOST_S

    def loses(handler, parts, status):
        with lock:
            if handler.command == "GET" or time.monotonic() > window_end:
                return False
            counts["writes"] += 1
            lost = draw.random() < LOST_SHARE
            counts["lost"] += lost
        fleet.record.write("store_write", call=handler.command,
                           kind=parts[0], status=status, lost=int(lost))
        return lost

    fleet.record.write("window", trouble=int(s.TROUBLE), seed=seed,
                       oldest_202_s=round(time.monotonic() - min(
                           job.accepted_at for job in jobs), 1))
    if s.TROUBLE:
        fleet.store.loses = loses

    # Other clients send batch jobs again whose 202 is only seconds old, at
    # nodes of any zone.
    def resend(job, order):
        for number in order:
            job.submit(fleet.gateways[number])
            time.sleep(0.1)
    in_threads(resend, [(job, draw.sample(range(3), 3)) for job in jobs])
    fleet.store.loses = None
    fleet.record.write("window_end", **counts)
    time.sleep(FINISH_S)
    # At the end of the day each batch job is read from the start; again after
    # each failure.
    for job in jobs:
        for node in fleet.gateways:
            position, tries = 0, 0
            while position < len(job.items) and tries < 4:
                status, total, results = job.read(node, position)
                if status != 200 or not results:
                    tries += 1
                    time.sleep(0.3)
                    continue
                job.note(position, results, breaks, node.name)
                position += len(results)
            if position < len(job.items):
                breaks.append(f"LOST: job {job.id} has only {position} of "
                              f"{len(job.items)} results at {node.name}, all "
                              "of which had been read")
    restarts = sum(line.count("results=0 ") for g in fleet.gateways
                   for line in g.events("job_adopted")) - JOBS
    fleet.record.write("summary", jobs=JOBS, jobs_started_again=restarts,
                       **counts)
    fleet.end(breaks)


s.play(main)
