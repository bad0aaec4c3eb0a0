"""Runners send a comment between two events of a stream, as servers do to keep
a connection alive (server-sent events, `: text`)."""
import base64
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import standins as s  # noqa: E402

ITEMS = 6
FINISH_S = 18
COMMENT_BEFORE = 5  # event


class CommentingRunner(s.Runner):
    def answer(self, handler, request, after, body):
        self.begin(handler, request)
        for number in range(after + 1, self.events + 1):
            time.sleep(self.gap_s)
            if s.TROUBLE and number == COMMENT_BEFORE:
                self.send(handler, b": keep-alive\n\n")
            self.send(handler, self.event(request, number))
        self.end(handler)


def main():
    record = s.Record(os.path.join(HERE, "record.txt"))
    store = s.Store()
    s.write_config(store, record, 5, [
        s.batch_route(), s.route("motif", "/motif/", "streaming")])
    for i in range(3):
        CommentingRunner(store, record, i, events=10)
    gateways = s.start(store)
    items = [{"id": f"item-{i}", "path": "/lots/x", "headers": {"Model": "m"},
              "body": base64.b64encode(b"sheet").decode(), "tokens": 10}
             for i in range(ITEMS)]
    if not s.submit(gateways, record, "job1", items):
        s.not_run(record, "the job was not accepted")
    status, _, _ = s.try_call(gateways[0], "POST", "/motif/a",
                              {"Request-Id": "online", "Deadline-Ms": "5000"},
                              b"motif")
    record(f"online stream: {status or 'no complete answer'}")
    time.sleep(FINISH_S + 2)
    results, _ = s.read(gateways[0], "job1")
    missing = ITEMS - len(results or [])
    faults = []
    if missing:
        faults.append(f"LOST: {missing} of {ITEMS} items are not listed "
                      f"{FINISH_S + 2} s after the traffic")
    s.finish(record, faults)


main()
