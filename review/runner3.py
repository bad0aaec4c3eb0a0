"""A sound model runner as a process of its own, by the users' pages: it listens,
registers itself in the platform's store under its id, writes there each
heartbeat, and answers requests with streams of events that it resumes after
Last-Event-Id. It appends to a file, one JSON object a line, what it runs."""
import json
import os
import socket
import sys
import threading
import time

SETTINGS = json.loads(sys.argv[1])
LOCK = threading.Lock()
BORN = int(time.time() * 1000)
OUT = open(SETTINGS["log"], "a", encoding="utf-8")


def note(what, request, **more):
    with LOCK:
        OUT.write(json.dumps({"at": time.monotonic(), "runner": SETTINGS["id"],
                              "version": SETTINGS["version"], "what": what,
                              "request": request, **more}) + "\n")
        OUT.flush()


def read_until(link, data, end):
    while end not in data:
        part = link.recv(65536)
        if not part:
            return None
        data += part
    return data


def store_call(method, path, value):
    body = json.dumps(value).encode()
    host, port = SETTINGS["store"].split(":")
    with socket.create_connection((host, int(port)), 5) as link:
        link.sendall(b"%s %s HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
                     b"Content-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n%s" % (
                         method.encode(), path.encode(), len(body), body))
        answer = read_until(link, b"", b"\r\n")
        while link.recv(65536):
            pass
    return int(answer.split(b" ")[1]) if answer else 0


def register(sequence):
    name = SETTINGS["id"]
    value = {"metadata": {"name": name}, "spec": {
        "service": SETTINGS["service"], "address": SETTINGS["address"],
        "zone": SETTINGS["zone"], "version": SETTINGS["version"],
        "slots": 8, "state": "ready", "cold_left_ms": 0,
        "sequence": sequence, "born": BORN}}
    if store_call("PUT", f"/api/objects/servers/{name}", value) == 404:
        store_call("POST", "/api/objects/servers", value)


def beat():
    sequence = 1
    while True:
        time.sleep(SETTINGS.get("heartbeat_ms", 1200) / 1000)
        sequence += 1
        try:
            register(sequence)
        except OSError:
            pass


def head_of(data):
    lines = data.split(b"\r\n\r\n", 1)[0].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0].split(" "), fields


def text_of(request, number):
    """The data of an event; a longer one is filled up."""
    text = f"{SETTINGS['version']} {request} e{number} "
    return text.ljust(SETTINGS.get("event_bytes", 0), "x").strip()


def answer(link, request, fields):
    after = int(fields.get("last-event-id") or 0)
    link.sendall(("HTTP/1.1 200 OK\r\n"
                  f"Request-Id: {request}\r\n"
                  f"Response-Stamp: 3e1b.{SETTINGS['id']}.{BORN}\r\n"
                  "Server-Load: 1,0,8,100\r\n"
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(after + 1, SETTINGS["events"] + 1):
        time.sleep(SETTINGS["gap_s"])
        event = (f"id: {number}\ndata: {text_of(request, number)}\n\n"
                 ).encode()
        link.sendall(b"%x\r\n%s\r\n" % (len(event), event))
    link.sendall(b"0\r\n\r\n")
    note("done", request)


def handle(link):
    data = b""
    try:
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while True:
            data = read_until(link, data, b"\r\n\r\n")
            if data is None:
                return
            (_, path, _), fields = head_of(data)
            data = data.split(b"\r\n\r\n", 1)[1]
            length = int(fields.get("content-length") or 0)
            while len(data) < length:
                part = link.recv(65536)
                if not part:
                    return
                data += part
            data = data[length:]
            request = fields.get("request-id", "")
            if fields.get("expect-instance") != SETTINGS["id"]:
                link.sendall(b"HTTP/1.1 421 Misdirected Request\r\n"
                             b"Content-Length: 0\r\n\r\n")
                continue
            note("runs", request, path=path,
                 after=int(fields.get("last-event-id") or 0))
            answer(link, request, fields)
    except OSError:
        pass
    finally:
        link.close()


def main():
    host, port = SETTINGS["address"].split(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(360)
    threading.Thread(target=beat, daemon=True).start()
    threading.Thread(target=register, args=(1,), daemon=True).start()
    while True:
        link, _ = listener.accept()
        threading.Thread(target=handle, args=(link,), daemon=True).start()


if __name__ == "__main__":
    # Ends with the process that started it.
    threading.Thread(target=lambda: (os.read(0, 1), os._exit(0)),
                     daemon=True).start()
    main()
