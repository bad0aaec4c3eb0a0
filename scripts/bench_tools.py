"""What the experiments of scripts/bench share."""
import os
import re
import subprocess

import fleet as f

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# One engine takes slots / service time requests a second at full speed.
ENGINE_SLOTS = 8
FIRST_TOKEN_MS = 20
TOKEN_MS = 2
TOKENS = 16
SERVICE_MS = FIRST_TOKEN_MS + TOKEN_MS * (TOKENS - 1)
ENGINE_PER_S = ENGINE_SLOTS * 1000 / SERVICE_MS


class LoadFailed(Exception):
    """A load run crashed, or an answer was not its own request's."""


def load(targets, seconds, **settings):
    """Runs the load tool and returns its figures as a dictionary."""
    process = start_load(targets, seconds, **settings)
    return finish_load(process)


def start_load(targets, seconds, **settings):
    settings.setdefault("expect_run", "true")
    settings.setdefault("key", "guild-key")
    settings.setdefault("duration_ms", int(seconds * 1000))
    args = [f"--{name.replace('_', '-')}={value}"
            for name, value in settings.items()]
    urls = [f"http://127.0.0.1:{t.port}" for t in targets]
    return subprocess.Popen([f.BINARY, "load", *args, *urls],
                            stdout=subprocess.PIPE, text=True)


def finish_load(process):
    out, _ = process.communicate()
    if process.returncode != 0:
        raise LoadFailed(f"load ended with {process.returncode}: {out}")
    return {name: float(value) for name, value in
            (line.split("=") for line in out.split())}


def cpu_s(process):
    """User and system time of a process so far."""
    with open(f"/proc/{process.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0


def start_fleet(engines, entries, engine_args=(), entry_args=()):
    """Engines of one deployment and entry processes that know them all."""
    fleet = f.Fleet()
    fleet.start_platform()
    runners = [fleet.start_engine(f"engine-{i}", "guild", "lantern-muse",
                                  "old-town", "--seed", str(i + 1),
                                  *engine_args) for i in range(engines)]
    fleet.put_object("config/production", f.json.dumps(f.sample_document()))
    fleet.publish_vms()
    nodes = [fleet.start_entry(f"entry-{i}", "old-town", *entry_args)
             for i in range(entries)]
    # Entry processes that do not know each other would both dispatch batch
    # to every engine.
    fleet.publish_vms()
    for node in nodes:
        f.wait_for(lambda node=node: members(node) == entries,
                   "the entry processes to know each other", 30)
        f.wait_for(lambda node=node: f.chat(
            node, "guild-key", "lantern-muse", "x", max_tokens=1).status == 200,
            "a first answer")
    return fleet, runners, nodes


def members(node):
    text = f.request(node.operator_port, "GET", "/metrics").body.decode()
    found = re.search(r"^wasabilink_membership_alive_members\S* (\d+)$", text,
                      re.M)
    return int(found.group(1)) if found else 0


def timed_engine_args():
    return ("--slots", str(ENGINE_SLOTS), "--first-token-us",
            str(FIRST_TOKEN_MS * 1000), "--token-us", str(TOKEN_MS * 1000),
            "--prefill-us", "0")


def fast_engine_args():
    """An engine that costs no time, to measure what stands before it."""
    return ("--slots", "100000", "--max-running", "100000", "--token-us", "0",
            "--first-token-us", "0", "--prefill-us", "0",
            "--count-runs=false")


def runs_started(runners):
    return sum(sum(f.request(r.port, "GET", "/engine/runs").json().values())
               for r in runners)


def median(values):
    values = sorted(values)
    return values[len(values) // 2]
