"""A caller sends a body in chunks that ends with a trailer field, as HTTP/1.1
allows. The gateway must not end."""
import os
import random
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import standin as s  # noqa: E402

RECORD = os.path.join(HERE, "record.txt")

TRAILER = b"Checksum: 352441c2\r\n" if s.TROUBLE else b""


def call(gateway, record):
    request = f"{random.getrandbits(64):016x}"
    head = (f"POST /lohu930/{request[:4]} HTTP/1.1\r\nHost: {s.HOST}\r\n"
            f"Request-Id: {request}\r\nDeadline-Ms: 5000\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode()
    answer = b""
    with socket.create_connection((gateway.address, gateway.front),
                                  timeout=5.5) as connection:
        connection.sendall(head + b"5\r\ncheck\r\n0\r\n" + TRAILER + b"\r\n")
        try:
            answer = connection.recv(65536)
        except OSError:
            pass
    record.write("answer", node=gateway.name, request=request,
                 trailer=bool(TRAILER), head=answer.split(b"\r\n")[0])


def main():
    fleet = s.Fleet(RECORD, [s.route("r-plain", "/lohu930/", "unsafe")])
    fleet.wait_ready()
    time.sleep(4)
    breaks = []
    ends = {gateway.name: 0 for gateway in fleet.gateways}
    for _ in range(3):
        for gateway in fleet.gateways:
            call(gateway, fleet.record)
            time.sleep(0.5)
            code = gateway.process.poll()
            if code is not None:
                ends[gateway.name] += 1
                fleet.record.write("process_ended", node=gateway.name,
                                   code=code)
                gateway.start()
        time.sleep(1)
    machines = [name for name, count in ends.items() if count >= 3]
    if len(machines) >= 2:
        breaks.append(f"Fault: processes of {len(machines)} of {len(ends)} "
                      f"machines ended by themselves: {ends}")
    fleet.end(breaks)


s.play(main)
