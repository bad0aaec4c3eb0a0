"""A client names the transfer coding of its body in capitals."""
import os
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import standins as s  # noqa: E402

CODING = b"CHUNKED" if s.TROUBLE else b"chunked"
PARTS = (b"first coat, ", b"second coat")
ROUNDS = 3


class NotingRunner(s.Runner):
    """Answers with a length and notes the bodies."""
    bodies = {}

    def answer(self, handler, request, after, body):
        self.bodies[request] = (handler.command, handler.path, body)
        text = b"done"
        handler.head(200, ("Request-Id", request),
                     ("Response-Stamp", f"{self.id}.{self.total}"),
                     ("Content-Type", "text/plain"),
                     ("Content-Length", str(len(text))))
        handler.wfile.write(text)


def exchange(gateway, request, path):
    """Sends a request with its body in chunks; all that comes back."""
    with socket.create_connection((gateway.ip, gateway.front), 5) as c:
        c.sendall(b"POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
                  b"Deadline-Ms: 4000\r\nTransfer-Encoding: %s\r\n\r\n" % (
                      path.encode(), s.HOST.encode(), request.encode(),
                      CODING))
        for part in PARTS:
            c.sendall(b"%x\r\n%s\r\n" % (len(part), part))
        c.sendall(b"0\r\n\r\n")
        c.settimeout(2)
        answer = b""
        try:
            while True:
                got = c.recv(65536)
                if not got:
                    break
                answer += got
        except TimeoutError:
            pass
    return answer


def main():
    record = s.Record(os.path.join(HERE, "record.txt"))
    store = s.Store()
    routes = [s.route("glaze-note", "/glaze/", "unsafe", max_attempts=2,
                      timeout_ms=5000),
              s.route("motif", "/motif/", "safe", timeout_ms=5000)]
    s.write_config(store, record, 5, routes)
    for i in range(3):
        NotingRunner(store, record, i)
    gateways = s.start(store)
    faults = []
    sent = b"".join(PARTS)
    for number in range(ROUNDS):
        for name, prefix in (("unsafe", "/glaze/"), ("safe", "/motif/")):
            gateway = gateways[number % len(gateways)]
            request = f"{name}{number}{int(time.time() * 1000) & 0xffff:x}"
            answer = exchange(gateway, request, prefix + "a")
            line = answer.split(b"\r\n")[0].decode("latin-1")
            ran = NotingRunner.bodies.get(request)
            record(f"{request} sent to {gateway.name} with "
                   f"'Transfer-Encoding: {CODING.decode()}' and a body of "
                   f"{len(sent)} bytes: '{line}', {answer.count(b'HTTP/1.')} "
                   f"answers; a runner has run it with "
                   f"{'nothing' if not ran else f'{len(ran[2])} bytes'}")
            if ran and ran[2] != sent:
                faults.append(
                    f"UNASKED: a runner ran {request} ({name}) with a body "
                    f"of {len(ran[2])} bytes instead of {len(sent)}; the "
                    f"client got '{line}'")
            elif not ran and not s.TROUBLE:
                s.not_run(record, f"{request} has not run: {line}")
    s.finish(record, faults)


main()
