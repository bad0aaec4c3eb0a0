"""An engine in the test's own process that fails as the test says."""
import json
import socket
import threading
import time

FLOOD_BYTES = 64 * 1024 * 1024
# Bounds of the mode endless, whose callers are to leave before.
ENDLESS_PART_S = 0.05
ENDLESS_S = 6
HELD_S = 20  # longest wait of the mode held
# Modes whose streams have neither length nor chunks.
UNTIL_CLOSE = ("until_close", "until_close_cut")
TOKENS = ["red ", "koi ", "pond "]


class ScriptedEngine:
    """Answers chat completions by `mode`; `first_only` fails first tries only.

    runs counts, by prompt, the calls that were started on the model; calls
    counts all that came in; closed holds the prompts whose caller went away;
    sent counts the bytes of the mode flood; connections those that were
    accepted.
    """

    def __init__(self):
        self.mode = "whole"
        self.raw = b""  # answer of the mode raw, with %(id)s
        self.released = threading.Event()  # ends the waits of the mode held
        self.head = b""  # that of the mode endless, with %(id)s
        self.first_only = False
        self.until_close = False
        self.runs = {}
        self.calls = {}
        self.closed = set()
        self.sent = {}
        self.connections = 0
        self.headers = {}
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        self.stopped = False
        threading.Thread(target=self.accept, daemon=True).start()

    def vm(self, partner, deployment, domain, role="runner"):
        return {"address": f"127.0.0.1:{self.port}", "role": role,
                "domain": domain, "partner": partner,
                "deployment": deployment, "state": "live"}

    def close(self):
        self.stopped = True
        self.listener.close()

    def accept(self):
        while not self.stopped:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while self.serve_one(connection, stream):
                pass
        except OSError:
            pass
        finally:
            stream.close()
            connection.close()

    def serve_one(self, connection, stream):
        line = stream.readline()
        if not line:
            return False
        headers = {}
        while True:
            header = stream.readline().strip()
            if not header:
                break
            name, _, value = header.decode().partition(":")
            headers[name.lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", 0)))
        path = line.split()[1].decode()
        if path == "/engine/load":
            self.reply(connection, 200, {"running": 0, "queued": 0,
                                         "slots": 100}, {})
            return True
        if self.mode == "raw":
            connection.sendall(self.raw.replace(
                b"%(id)s", headers.get("x-request-id", "").encode()))
            return False
        if path != "/v1/chat/completions":
            self.reply(connection, 404, {}, {})
            return True
        return self.chat(connection, headers, json.loads(body))

    def reply(self, connection, status, body, headers):
        text = json.dumps(body).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(text)}\r\n"
        for name, value in headers.items():
            head += f"{name}: {value}\r\n"
        connection.sendall(head.encode() + b"\r\n" + text)

    def chat(self, connection, headers, request):
        prompt = request["messages"][0]["content"]
        self.calls[prompt] = self.calls.get(prompt, 0) + 1
        self.headers[prompt] = headers
        mode = self.mode
        if self.first_only and self.calls[prompt] > 1:
            mode = "whole"
        echo = {"X-Request-Id": headers["x-request-id"]}
        refusals = {"busy": 503, "version": 409, "limited": 429}
        if mode in refusals:
            self.reply(connection, refusals[mode], {}, echo)
            return True
        if mode == "error_before":
            self.reply(connection, 500, {}, echo)
            return True
        if mode == "error_not_run":
            self.reply(connection, 500, {}, {**echo, "X-Not-Run": "1"})
            return True
        self.runs[prompt] = self.runs.get(prompt, 0) + 1
        if mode == "endless":
            self.endless(connection, echo, prompt)
            return False
        if mode == "error_after":
            self.reply(connection, 500, {}, echo)
            return True
        if mode == "die":
            return False
        if mode == "mismatch":
            echo = {"X-Request-Id": "another"}
        if mode == "hang":
            self.wait_for_close(connection, prompt)
            return False
        if mode == "held":
            self.released.wait(HELD_S)
        if not request.get("stream"):
            return self.whole(connection, mode, echo)
        return self.stream(connection, mode, echo, prompt)

    def whole(self, connection, mode, echo):
        answer = {"choices": [{"index": 0, "finish_reason": "stop",
                               "message": {"role": "assistant",
                                           "content": "".join(TOKENS)}}]}
        if mode == "cut":
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n"
                               b"X-Request-Id: " +
                               echo["X-Request-Id"].encode() +
                               b"\r\n\r\n{\"choices\":")
            return False
        self.reply(connection, 200, answer, echo)
        return True

    def stream(self, connection, mode, echo, prompt):
        framing = ("Connection: close" if mode in UNTIL_CLOSE else
                   "Transfer-Encoding: chunked")
        self.until_close = mode in UNTIL_CLOSE
        head = (f"HTTP/1.1 200 OK\r\n{framing}\r\n"
                f"X-Request-Id: {echo['X-Request-Id']}\r\n\r\n")
        connection.sendall(head.encode())
        if mode == "flood":
            self.flood(connection, prompt)
            return False
        for token in TOKENS:
            self.event(connection, {"choices": [
                {"index": 0, "delta": {"content": token},
                 "finish_reason": None}]})
            if mode == "cut":
                return False
            if mode == "stall":
                self.wait_for_close(connection, prompt)
                return False
            if mode == "slow":
                time.sleep(0.05)
        if mode != "no_finish":
            self.event(connection, {"choices": [
                {"index": 0, "delta": {}, "finish_reason": "stop"}]})
        if mode == "until_close_cut":
            self.chunk(connection, b"data: [DO")
        elif mode != "no_done":
            self.chunk(connection, b"data: [DONE]\n\n")
        if self.until_close:
            return False
        connection.sendall(b"0\r\n\r\n")
        return True

    def flood(self, connection, prompt):
        """Sends until the caller goes away or FLOOD_BYTES have gone out."""
        event = {"choices": [{"index": 0, "delta": {"content": "x" * 4000},
                              "finish_reason": None}]}
        self.sent[prompt] = 0
        try:
            while self.sent[prompt] < FLOOD_BYTES:
                self.event(connection, event)
                self.sent[prompt] += 4000
        except OSError:
            self.closed.add(prompt)

    def endless(self, connection, echo, prompt):
        """Sends a body that does not end after `head`; in chunks if the head
        says so."""
        self.until_close = b"chunked" not in self.head
        connection.sendall(self.head.replace(b"%(id)s",
                                             echo["X-Request-Id"].encode()))
        end = time.monotonic() + ENDLESS_S
        try:
            while time.monotonic() < end:
                self.chunk(connection, b"no ")
                time.sleep(ENDLESS_PART_S)
        except OSError:
            self.closed.add(prompt)

    def event(self, connection, event):
        self.chunk(connection, b"data: " + json.dumps(event).encode() +
                   b"\n\n")

    def chunk(self, connection, data):
        connection.sendall(data if self.until_close else
                           b"%x\r\n%s\r\n" % (len(data), data))

    def wait_for_close(self, connection, prompt):
        connection.settimeout(20)
        try:
            if not connection.recv(1):
                self.closed.add(prompt)
        except OSError:
            self.closed.add(prompt)
