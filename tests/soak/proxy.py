"""A loopback TCP proxy whose connections can be delayed, reset, cut in one
direction, silenced or held back."""
import socket
import struct
import threading
import time

PASS, DELAY, CUT_UP, CUT_DOWN, SILENT, HOLD = range(6)
CHUNK_BYTES = 65536
HOLD_STEP_S = 0.01


def reset(connection):
    """Closes with RST, as a peer does that has lost its state."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass


class Proxy:
    def __init__(self, port):
        """Listens on the port; connect() tells where to."""
        self.mode = PASS
        self.delay_s = 0.0
        self.target = None
        self.pairs = set()
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(128)
        self.port = port
        threading.Thread(target=self.accept, daemon=True).start()

    def connect(self, target):
        self.target = target

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(caller,),
                             daemon=True).start()

    def serve(self, caller):
        try:
            # The target sees the address of the caller.
            target = socket.create_connection(
                ("127.0.0.1", self.target), 5, (caller.getpeername()[0], 0))
        except OSError:
            reset(caller)
            return
        target.settimeout(None)
        pair = (caller, target)
        with self.lock:
            self.pairs.add(pair)
        down = threading.Thread(target=self.pump, args=(pair, 1, 0, CUT_DOWN),
                                daemon=True)
        down.start()
        self.pump(pair, 0, 1, CUT_UP)
        down.join()
        with self.lock:
            self.pairs.discard(pair)
        for connection in pair:
            connection.close()

    def pump(self, pair, source, sink, cut):
        while True:
            try:
                data = pair[source].recv(CHUNK_BYTES)
                if self.mode == DELAY:
                    time.sleep(self.delay_s)
                while self.mode == HOLD:
                    time.sleep(HOLD_STEP_S)
                # What a cut has swallowed never arrives, nor does the end.
                if self.mode in (SILENT, cut):
                    if not data:
                        return
                    continue
                if not data:
                    pair[sink].shutdown(socket.SHUT_WR)
                    return
                pair[sink].sendall(data)
            except OSError:
                for connection in pair:
                    reset(connection)
                return

    def reset_all(self):
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            for connection in pair:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                reset(connection)

    def close(self):
        self.listener.close()
        self.reset_all()
