"""Callers of a plain service send DELETE requests with a body, and PATCH
requests. Its runner must get each request as it was sent, and no other."""
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import standin as s  # noqa: E402

RECORD = os.path.join(HERE, "record.txt")

REQUESTS = 10  # of each kind


class PlainHandler(s.RunnerHandler):
    """A runner of a plain service: answers have a length."""

    def handle_request(self):
        runner = self.owner
        body = self.body()
        request = self.headers.get("Request-Id", "-")
        if self.headers.get("Expect-Instance", runner.id) != runner.id:
            self.refuse(421, ("Instance-Id", runner.id))
            return
        runner.ran.append((request, self.command, self.path, body))
        runner.record.write("run", runner=runner.id, request=request,
                            method=self.command, path=self.path,
                            body_bytes=len(body),
                            expects=self.headers.get("Expect-Instance"))
        text = f"done {request}".encode()
        self.send_response(200)
        self.send_header("Request-Id", request)
        self.send_header("Response-Stamp", f"stamp.{runner.id}.{request}")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)
        self.wfile.flush()

    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = handle_request


class Plain(s.Runner):
    def listen(self, address, port):
        self.kind = type("Handler", (PlainHandler,), {"owner": self})
        self.ran = []
        super().listen(address, port)


def main():
    fleet = s.Fleet(RECORD, [s.route("r-plain", "/lohu930/", "unsafe"),
                           s.batch_route()], kind=Plain)
    fleet.wait_ready()
    time.sleep(4)
    sent = {}

    def call(gateway, method, body):
        request = f"{random.getrandbits(64):016x}"
        path = f"/lohu930/{request[:4]}"
        sent[request] = (method, path, body)
        status, _, answer = gateway.request(
            method, path, body, {"Request-Id": request, "Deadline-Ms": "5000"})
        fleet.record.write("answer", node=gateway.name, request=request,
                           method=method, path=path, sent_bytes=len(body),
                           status=status, bytes=len(answer))

    def inner():
        """A body that is a request itself, as of a caller who tries to have one
        smuggled past the gateway."""
        return (f"POST /lohu930/inner HTTP/1.1\r\nHost: {s.HOST}\r\n"
                f"Request-Id: inner-{random.getrandbits(32):08x}\r\n"
                "Content-Length: 0\r\n\r\n").encode()

    for number in range(REQUESTS):
        gateway = fleet.gateways[number % 3]
        call(gateway, "DELETE" if s.TROUBLE else "POST", inner())
        call(gateway, "PATCH" if s.TROUBLE else "PUT", b"change")
    time.sleep(1)
    breaks = []
    for runner in fleet.runners:
        for request, method, path, body in runner.ran:
            if request not in sent:
                breaks.append(f"UNASKED: {runner.id} ran {method} {path} with "
                              f"the id {request}, which no client sent")
            elif (method, path, body) != sent[request]:
                was = sent[request]
                breaks.append(
                    f"UNASKED: {request} was sent as {was[0]} with "
                    f"{len(was[2])} bytes, and {runner.id} ran it as {method} "
                    f"with {len(body)}")
    fleet.end(breaks)


s.play(main)
