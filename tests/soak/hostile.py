"""A store that misbehaves as the users' pages permit, and series of faults of
the store and of the gateways that write to it. Drawn apart from other faults,
so that the schedules of earlier seeds stay as they are."""
import json
import random
import signal
import threading
import time

import gateway_standin as s
import proxy as p

SERIES_S = 10  # no fault of a series begins later
LATE_S = 1, 6  # until a write is executed whose caller got no answer
# Longer than the lease of a job.
FROZEN_S = 4.2, 6
SILENCE_S = 1.2
REFUSED_MAX = 4


class Store(s.Store):
    def __init__(self, seed):
        self.random = random.Random(f"store {seed}")
        self.lost_share = 0.0  # of the answers to writes
        self.late_share = 0.0  # of the writes, which are executed late
        self.stale_s = 0.0  # age of what calls see that permit it
        self.page = 0  # objects of a list, if not all
        self.forgotten = 0  # the history up to this revision is gone
        self.refused = {}  # address -> status of its calls
        self.revisions = []  # (monotonic time, revision)
        super().__init__()

    def add_event(self, kind, obj, tombstone=False):
        self.revisions.append((time.monotonic(), self.rev))
        super().add_event(kind, obj, tombstone)

    def state(self, kind, query):
        """The objects that a read may see, and their revision."""
        limit_s = time.monotonic() - (
            self.stale_s if "allow_stale" in query else 0)
        with self.lock:
            rev = max((r for at, r in self.revisions if at <= limit_s),
                      default=1)
            objects = {}
            for changed, k, obj, tombstone in self.events:
                if k == kind and changed <= rev:
                    objects[obj["metadata"]["name"]] = (
                        None if tombstone else obj)
        return {n: o for n, o in sorted(objects.items()) if o}, rev

    def read(self, parts, query):
        objects, rev = self.state(parts[0], query)
        if len(parts) > 1:
            found = objects.get(parts[1])
            return (200, found) if found else (404, {})
        items = [o for n, o in objects.items() if n > query.get("after", "")]
        page = self.page or len(items)
        return 200, {"items": items[:page], "has_more": len(items) > page,
                     "as_of": rev}

    def write(self, handler, parts, query, body):
        """Executes a write whose answer is lost, now or later."""
        draw = self.random.random()
        if draw >= self.late_share + self.lost_share:
            return False
        call = (handler.command, parts, query, json.loads(body or b"{}"))
        if draw < self.late_share:
            timer = threading.Timer(self.random.uniform(*LATE_S), self.change,
                                    call)
            timer.daemon = True
            timer.start()
        else:
            self.change(*call)
        handler.close_connection = True
        handler.connection.close()
        return True

    def intercepts(self, handler, parts, query, body):
        status = self.refused.get(handler.client_address[0])
        if status:
            handler.answer(status, {})
        elif handler.command != "GET":
            return self.write(handler, parts, query, body)
        elif "watch" not in query:
            handler.answer(*self.read(parts, query))
        elif int(query["watch"]) < self.forgotten:
            handler.answer(410, {})
        else:
            return False
        return True


def answers_lost(world, seconds):
    world.store.lost_share = world.hostile_random.uniform(0.2, 0.5)
    yield seconds
    world.store.lost_share = 0.0


def writes_late(world, seconds):
    world.store.late_share = world.hostile_random.uniform(0.1, 0.4)
    yield seconds
    world.store.late_share = 0.0
    yield LATE_S[1]


def calls_cut(world, seconds):
    """All calls of all gateways end at one moment, a few times."""
    for _ in range(3):
        for gateway in world.gateways:
            gateway.proxy.reset_all()
        yield seconds / 3


def reads_stale(world, seconds):
    world.store.stale_s = world.hostile_random.uniform(0.5, 4)
    yield seconds
    world.store.stale_s = 0.0


def lists_paged(world, seconds):
    world.store.page = world.hostile_random.randint(2, 8)
    yield seconds
    world.store.page = 0


def history_dropped(world, seconds):
    for _ in range(4):
        world.store.forgotten = world.store.rev
        yield seconds / 4


def gateways_refused(world, seconds):
    count = world.hostile_random.randint(1, len(world.gateways) - 1)
    status = world.hostile_random.choice([429, 503])
    world.store.refused = {
        gateway.source: status for gateway in world.hostile_random.sample(
            world.gateways, min(count, REFUSED_MAX))}
    yield seconds
    world.store.refused = {}


def gateway_frozen(world, seconds):
    gateway = world.hostile_random.choice(world.gateways)
    with gateway.lock:
        gateway.process.send_signal(signal.SIGSTOP)
        yield world.hostile_random.uniform(*FROZEN_S)
        gateway.process.send_signal(signal.SIGCONT)


def gateway_ended(world, seconds):
    gateway = world.hostile_random.choice(world.gateways)
    with gateway.lock:
        world.check_alive(gateway)
        gateway.process.kill()
        gateway.process.wait()
        yield world.hostile_random.uniform(0, seconds)
        gateway.run()


def gateway_succeeded(world, seconds):
    """Another process of the same name starts beside one that still runs."""
    gateway = world.hostile_random.choice(world.gateways)
    with gateway.lock:
        world.check_alive(gateway)
        former = gateway.succeed()
        try:
            yield seconds
            former.send_signal(world.hostile_random.choice(
                [signal.SIGTERM, signal.SIGKILL]))
            yield world.grace_s
        finally:
            former.kill()
            former.wait()


def runners_hushed(world, seconds):
    runners = world.hostile_random.sample(
        world.runners, world.hostile_random.randint(1, len(world.runners)))
    for runner in runners:
        runner.proxy.mode = p.HOLD
    yield SILENCE_S
    for runner in runners:
        runner.proxy.mode = p.PASS


STORE_FAULTS = [answers_lost, answers_lost, writes_late, calls_cut,
                reads_stale, lists_paged, history_dropped, gateways_refused]
PROCESS_FAULTS = [gateway_frozen, gateway_ended, gateway_succeeded,
                  runners_hushed]


def play_series(world, faults, begin_s, play_fault, names):
    """Plays (fault, seconds, pause) one after the other."""
    time.sleep(begin_s)
    for fault, seconds, pause_s in faults:
        if time.monotonic() > world.started_at + SERIES_S:
            return
        play_fault(world, fault, pause_s, seconds, names)


def series(world, play_fault, names):
    """Threads of two series of store faults and two of process faults."""
    draw = world.hostile_random
    return [threading.Thread(target=play_series, args=(
        world, [(draw.choice(faults), draw.uniform(1, 4), draw.uniform(0, 1))
                for _ in range(5)], draw.uniform(0, 3), play_fault, names))
            for faults in 2 * [STORE_FAULTS] + 2 * [PROCESS_FAULTS]]
