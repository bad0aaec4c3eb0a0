"""A batch client hands in an item whose path holds the bytes of another
request."""
import base64
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import standins as s  # noqa: E402

INNER = ("/lots/x HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {item}\r\n"
         "Content-Length: 0\r\n\r\n"
         "POST /glaze/second-coat HTTP/1.1\r\nHost: {host}\r\n"
         "Request-Id: smuggled\r\nContent-Length: 0\r\n\r\n"
         "POST /lots/x")
JOBS = 3


class NotingRunner(s.Runner):
    seen = []  # (method, path, id) of all that began to run

    def answer(self, handler, request, after, body):
        self.seen.append((handler.command, handler.path, request))
        return super().answer(handler, request, after, body)


def main():
    record = s.Record(os.path.join(HERE, "record.txt"))
    store = s.Store()
    s.write_config(store, record, 5, [
        s.route("glaze-note", "/glaze/", "unsafe"), s.batch_route()])
    for i in range(3):
        NotingRunner(store, record, i, events=5)
    gateways = s.start(store)
    sent = set()
    for number in range(JOBS):
        job = f"job{number}"
        sent |= {f"{job}-0", job}
        item = f"{job}-0"
        path = (INNER.format(host=s.HOST, item=item) if s.TROUBLE else
                "/lots/x")
        items = [{"id": item, "path": path,
                  "headers": {"Model": "m", "Token-Usage": "100,5"},
                  "body": base64.b64encode(b"sheet").decode(),
                  "tokens": 105}]
        if not s.submit(gateways[number:] + gateways[:number], record, job,
                        items) and not s.TROUBLE:
            s.not_run(record, "the job was not accepted")
    time.sleep(5)
    faults = [f"UNASKED: a runner ran {method} {path} with id {request}, "
              f"which no client sent as a request or an item"
              for method, path, request in NotingRunner.seen
              if request not in sent]
    if not s.TROUBLE and len(NotingRunner.seen) < JOBS:
        s.not_run(record, "the items have not run")
    s.finish(record, faults)


main()
