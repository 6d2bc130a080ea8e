"""What the connections of a crowd send.

A connection sends `first`, then `block` again and again, if there is one, at most
once each `pause_s`; it reads at most `reads` bytes each time that something comes.
"""

import dataclasses
import functools
import random
import socket
import struct
import threading
import time

FIELDS = b"Host: soak.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 60000\r\n"
POST = b"POST %s HTTP/1.1\r\n" + FIELDS
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
# A connection of the crowd that the process closes is opened again so often.
REOPENED = 2
# Connections that are opened before what has come is looked at again.
OPENED_AT_ONCE = 50


@dataclasses.dataclass(frozen=True)
class Script:
    first: bytes
    block: bytes = b""
    reads: int = 0
    pause_s: float = 0.0
    # The connection ends after this time and comes again, as often as it likes.
    stays_s: float = float("inf")


def length_stops_short(path):
    return Script(POST % path + b"Content-Length: 1000000\r\n\r\n" +
                  bytes(980_000))


def chunk_stops_short(path):
    return Script(CHUNKED % path + b"%x\r\n" % 900_000 + bytes(850_000))


def chunks_without_end(path):
    return Script(CHUNKED % path, b"10000\r\n" + bytes(0x10000) + b"\r\n")


def bytes_without_end(path):
    return Script(CHUNKED % path, b"1\r\nx\r\n" * 2000)


def bytes_stop_short(path):
    return Script(CHUNKED % path + b"1\r\nx\r\n" * 15_000)


def length_far_over(path):
    return Script(POST % path + b"Content-Length: 900000000\r\n\r\n",
                  bytes(0x10000))


def trailers_without_end(path):
    return Script(CHUNKED % path + b"3\r\nabc\r\n0\r\n", b"X-T: a\r\n" * 500)


def chunk_size_without_end(path):
    return Script(CHUNKED % path + b"5;x=", b"y" * 4096)


def many_fields(path):
    return Script(POST % path + b"a:\r\n" * 3500 +
                  b"Content-Length: 1000\r\n\r\nb")


def many_fields_answered(path):
    return Script(b"", b"GET %s HTTP/1.1\r\n" % path + FIELDS +
                  b"a:\r\n" * 3500 + b"\r\n")


def answers_unread(path):
    return Script(b"", (b"GET %s HTTP/1.1\r\n" % path + FIELDS + b"\r\n") * 50)


def flood_behind_a_request(path):
    return Script(POST % path + b"Content-Length: 3\r\n\r\nabc", bytes(0x4000))


def read_by_bytes(path):
    return dataclasses.replace(answers_unread(path), reads=1)


def silent(_):
    return Script(b"")


def trickles(path):
    return Script(POST % path + b"Content-Length: 1000000\r\n\r\n", b"t",
                  pause_s=0.1)


def comes_and_goes(path):
    return dataclasses.replace(length_stops_short(path), stays_s=0.3)


def frames_stop_short(_):
    """ZMTP 3.0: greeting, READY of a sender, a part of a frame of 16 MB."""
    greeting = (b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") +
                bytes(32))
    ready = b"\x05READY\x0bSocket-Type\0\0\0\x04PUSH"
    return Script(greeting + b"\x04" + bytes([len(ready)]) + ready +
                  b"\x02" + struct.pack(">Q", 16_000_000) + bytes(1_000_000))


# Of the ports between processes.
PEER_KINDS = {"frames-stop-short": frames_stop_short}
KINDS = {function.__name__.replace("_", "-"): function for function in (
    length_stops_short, chunk_stops_short, chunks_without_end,
    bytes_without_end, bytes_stop_short, length_far_over, trailers_without_end,
    chunk_size_without_end, many_fields, many_fields_answered, answers_unread,
    flood_behind_a_request, read_by_bytes, silent, trickles, comes_and_goes)}


# These ask for what the process answers by itself: a crowd of requests that are
# proper and run at upstreams is not what these plays are about.
ANSWERED = {"many-fields-answered", "answers-unread", "read-by-bytes"}


class Connection:
    def __init__(self, port, script):
        self.port, self.script = port, script
        self.opened = 0
        self.open()

    def open(self):
        self.opened += 1
        self.opened_at = time.monotonic()
        self.next_send = 0.0
        self.left = memoryview(self.script.first)
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.connect_ex(("127.0.0.1", self.port))

    def wants_to_send(self, now):
        if not self.left and self.script.block and now >= self.next_send:
            self.left = memoryview(self.script.block)
            self.next_send = now + self.script.pause_s
        return bool(self.left)

    def send(self):
        try:
            self.left = self.left[self.socket.send(self.left):]
        except BlockingIOError:
            pass

    def is_over(self, now):
        return now - self.opened_at >= self.script.stays_s

    def ended(self):
        """Whether the process has closed it; reads what the script reads."""
        try:
            if self.script.reads:
                return not self.socket.recv(self.script.reads)
            return not self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False

    def close(self):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                               struct.pack("ii", 1, 0))
        self.socket.close()


class Crowd(threading.Thread):
    """Connections that go on until Stop; the caller's loop runs beside them."""

    def __init__(self, port, scripts):
        super().__init__(daemon=True)
        self.port = port
        self.to_open = list(scripts)[::-1]
        self.size = len(self.to_open)
        self.open = set()
        self.closed = 0
        self.stopping = threading.Event()
        self.all_sent = threading.Event()

    def run(self):
        while not self.stopping.is_set():
            for _ in range(min(OPENED_AT_ONCE, len(self.to_open))):
                self.open.add(Connection(self.port, self.to_open.pop()))
            waiting = self.step(time.monotonic())
            if not self.to_open and not waiting:
                self.all_sent.set()
            time.sleep(0.001)
        for connection in self.open:
            connection.close()

    def step(self, now):
        """Returns how many have a part of their beginning to send."""
        waiting = 0
        for connection in list(self.open):
            try:
                waiting += bool(connection.left)
                if connection.wants_to_send(now):
                    connection.send()
                gone = connection.ended()
            except OSError:
                gone = True
            if connection.is_over(now):
                connection.close()
                connection.open()
            elif gone:
                self.reopen(connection)
        return waiting

    def reopen(self, connection):
        self.closed += 1
        connection.close()
        if connection.opened <= REOPENED:
            connection.open()
        else:
            self.open.discard(connection)

    def stop(self):
        self.stopping.set()
        self.join()


def of_kind(kind, target, count, seed):
    """Scripts of one kind; `mixed` draws them from all, by the seed."""
    draw = random.Random(seed)
    made = functools.cache(lambda name: {**KINDS, **PEER_KINDS}[name](
        target.answered_path if name in ANSWERED else target.path))
    return [made(draw.choice(sorted(KINDS)) if kind == "mixed" else kind)
            for _ in range(count)]
