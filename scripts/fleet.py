"""Starts wasabilink processes on loopback for the demo and the process tests.

Every process is ended by its process id, also when the program is interrupted.
"""
import atexit
import hashlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARY = os.environ.get("WASABILINK_BIN", os.path.join(ROOT, "wasabilink"))
START_TIMEOUT_S = 20


# Below the ranges from which kernels choose ports of outgoing connections.
FIRST_PORT, LAST_PORT = 10000, 15999
BLOCK_PORTS = 50


def can_bind(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


class PortBlock:
    """Ports that this program alone gives out.

    A port that the kernel chose is free only until the probe closes it: any
    process may get it before the daemon binds it. Here a program holds the
    first port of a block as long as it runs, and uses the others."""
    guards = []
    ports = []

    @classmethod
    def take(cls):
        for first in range(FIRST_PORT, LAST_PORT, BLOCK_PORTS):
            guard = socket.socket()
            try:
                guard.bind(("127.0.0.1", first))
            except OSError:
                guard.close()
                continue
            cls.guards.append(guard)
            cls.ports = list(range(first + 1, first + BLOCK_PORTS))
            return
        raise OSError("no block of ports is free")

    @classmethod
    def next(cls):
        while True:
            if not cls.ports:
                cls.take()
            port = cls.ports.pop(0)
            if can_bind(port):
                return port


def free_ports(count):
    return [PortBlock.next() for _ in range(count)]


def sha256_hex(text):
    return hashlib.sha256(text.encode()).hexdigest()


def wait_for(condition, what, timeout_s=START_TIMEOUT_S):
    """Polls until the condition is true; raises with what was awaited."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise TimeoutError(f"timed out waiting for {what}")


@dataclass
class Response:
    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)


def request(port, method, path, body=None, headers=None, timeout_s=30):
    """One HTTP request; raises http.client or socket errors when it is cut."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        data = response.read()
        headers = {k.lower(): v for k, v in response.getheaders()}
        return Response(response.status, headers, data)
    finally:
        connection.close()


def reachable(port, path="/healthz"):
    try:
        return request(port, "GET", path, timeout_s=2).status == 200
    except (OSError, http.client.HTTPException):
        return False


@dataclass
class Process:
    name: str
    popen: subprocess.Popen
    port: int
    operator_port: int = 0
    peer_port: int = 0
    info: dict = field(default_factory=dict)

    @property
    def pid(self):
        return self.popen.pid

    def alive(self):
        return self.popen.poll() is None

    def send(self, sig):
        if self.alive():
            os.kill(self.pid, sig)

    def kill(self):
        self.send(signal.SIGKILL)
        self.popen.wait()

    def stop(self, timeout_s=30):
        self.send(signal.SIGTERM)
        return self.popen.wait(timeout_s)


class Fleet:
    """A platform stand-in, engines, services and entry processes."""

    def __init__(self, log_dir=None):
        self.log_dir = log_dir or tempfile.mkdtemp(prefix="wasabilink-")
        self.processes = []
        self.vms = []
        self.platform = None
        atexit.register(self.close)

    def spawn(self, name, args, port, **more):
        log = open(os.path.join(self.log_dir, name + ".log"), "ab")
        popen = subprocess.Popen([BINARY] + args, stdout=log, stderr=log,
                                 stdin=subprocess.DEVNULL)
        log.close()
        process = Process(name, popen, port, **more)
        self.processes.append(process)
        return process

    def start_platform(self, *args, domains=()):
        """Gives each of the domains a port, for fault(block=[port])."""
        port, *more = free_ports(1 + len(domains))
        if more:
            args = (*args, "--more-ports", ",".join(map(str, more)))
        self.platform = self.spawn(
            "platform", ["platform", "--port", str(port), *args], port,
            info=dict(zip(domains, more)))
        self.wait_started(self.platform, port, "/stats")
        return self.platform

    def start_engine(self, name, partner, deployment, domain, *args):
        port = free_ports(1)[0]
        engine = self.spawn(name, ["engine", "--port", str(port), *args], port)
        self.wait_started(engine, port, "/healthz")
        self.vms.append({"address": f"127.0.0.1:{port}", "role": "runner",
                         "domain": domain, "partner": partner,
                         "deployment": deployment, "state": "live"})
        return engine

    def start_service(self, name, partner, service, domain, *args):
        port = free_ports(1)[0]
        process = self.spawn(name, ["service", "--port", str(port), *args],
                             port)
        self.wait_started(process, port, "/healthz")
        self.vms.append({"address": f"127.0.0.1:{port}", "role": "service",
                         "domain": domain, "partner": partner,
                         "deployment": service, "state": "live"})
        return process

    def start_entry(self, name, domain, *args, wait=True):
        port, operator_port, peer_port = free_ports(3)
        entry = self.spawn(
            name,
            ["entry", "--node-id", name, "--domain", domain,
             "--port", str(port), "--operator-port", str(operator_port),
             "--peer-port", str(peer_port),
             "--platform", f"127.0.0.1:{self.platform_port(domain)}", *args],
            port, operator_port=operator_port, peer_port=peer_port)
        entry.info["domain"] = domain
        self.vms.append({"address": f"127.0.0.1:{peer_port}", "role": "entry",
                         "domain": domain, "partner": "", "deployment": "",
                         "state": "live"})
        if wait:
            self.wait_ready(entry)
        return entry

    def platform_port(self, domain):
        return self.platform.info.get(domain, self.platform.port)

    def wait_started(self, process, port, path):
        """Names the exit status and the last log lines on failure."""
        try:
            wait_for(lambda: reachable(port, path) or not process.alive(),
                     process.name + " to start")
        except TimeoutError as error:
            raise TimeoutError(f"{error}\n{self.log_end(process)}") from None
        if not process.alive():
            raise RuntimeError(
                f"{process.name} ended with status {process.popen.poll()}\n"
                f"{self.log_end(process)}")

    def log_end(self, process):
        return "".join(self.log(process.name).splitlines(True)[-20:])

    def wait_ready(self, entry):
        self.wait_started(entry, entry.operator_port, "/readyz")

    def publish_vms(self):
        return request(self.platform.port, "PUT", "/vms", {"vms": self.vms})

    def fault(self, process, **faults):
        return request(process.port, "POST", "/fault", faults)

    def put_object(self, key, text, if_version=0):
        return request(self.platform.port, "PUT", "/v1/objects/" + key, text,
                       {"If-Match": str(if_version),
                        "X-Object-Writer": "fleet"})

    def log(self, name):
        with open(os.path.join(self.log_dir, name + ".log"),
                  encoding="utf-8", errors="replace") as f:
            return f.read()

    def close(self):
        """Ends the entry processes first: while they drain, they need the
        platform and the engines."""
        entries = [p for p in self.processes if p.operator_port]
        self.end_processes(entries)
        self.end_processes([p for p in self.processes if p not in entries])

    @staticmethod
    def end_processes(processes):
        for process in processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        end = time.monotonic() + 5
        for process in processes:
            try:
                process.popen.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()


def interrupt_closes():
    """Turns SIGTERM and SIGINT into a normal exit, so that atexit ends the
    processes. A shell starts background commands with SIGINT ignored, and
    Python keeps that unless a handler is set."""
    for sig in (signal.SIGTERM, signal.SIGINT):
        signal.signal(sig, lambda number, _: sys.exit(128 + number))


def sample_document():
    """Both partners' deployments, with the keys 'guild-key' and so on."""
    def partner(name, deployment, model, workspace, services):
        return {
            "operators": [{"name": "lead",
                           "key_sha256": sha256_hex(name + "-operator-key")}],
            "workspaces": {workspace: {"weight": 1}},
            "callers": [{"name": "counter-1",
                         "key_sha256": sha256_hex(name + "-key"),
                         "workspace": workspace}],
            "deployments": {deployment: {
                "model": model, "adapter": "", "version": "1",
                "fencing": name == "guild", "min_serving": 1}},
            "services": services,
        }
    glaze = {"glaze": {"routes": [
        {"path": "/mix", "repeatable": False},
        {"path": "/look", "repeatable": True}]}}
    return {"partners": {
        "guild": partner("guild", "lantern-muse", "muse", "workshop-1", glaze),
        "shannonside": partner("shannonside", "permit-assist", "permit",
                               "ennis", {}),
    }}


def chat(entry, key, model, text, stream=False, headers=None, **more):
    """One chat completion through an entry process."""
    body = {"model": model, "stream": stream,
            "messages": [{"role": "user", "content": text}], **more}
    return request(entry.port, "POST", "/v1/chat/completions", body,
                   {"Authorization": "Bearer " + key,
                    "Content-Type": "application/json", **(headers or {})})


def stream_text(body):
    """Joins a stream's content; returns (text, whether it was complete)."""
    text, complete = "", False
    for line in body.decode().split("\n"):
        if line == "data: [DONE]":
            complete = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            for choice in event.get("choices", []):
                text += choice.get("delta", {}).get("content") or ""
    return text, complete
