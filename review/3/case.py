"""The machine of a backend vanishes while a client's long body passes through to it: is the request answered?"""

import asyncio
import fcntl
import itertools
import os
import socket
import struct
import sys
import termios
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import *  # noqa: E402,F403

BODY_BYTES = 300 * 1024
PIECE = 16 * 1024
RATE = 128_000  # bytes per second; a client may send a body at 64 kB/s
LEFT_MS = 4000  # a try of `book` is given up after 50 to 100% of 8 s
# The machine is silent for this long, then it is back with all old connections reset. The site: 13 to 27 s.
SILENT_S = 15
# Loopback connections have segments of 64 KiB and buffers to match, twenty times those of a network. These give the
# connections to backends and of the client the segments of an Ethernet, and a machine that has vanished takes little.
MSS, BACKEND_BUFFER = 1460, 4096
# A final answer may come half a second after the request's time (STANDING); every limit is 50 ms longer (PROTOCOL).
LATEST = LEFT_MS / 1000 + 0.5 + 0.05


class Machine(Backend):
    """A backend on a machine that can vanish: open connections stay open and silent, nothing is read from them, and
    new connections stay silent too; when it is back, they are reset."""

    def __init__(self, ip, name, record):
        super().__init__(ip, name, record, work=0.15, mss=MSS, receive_buffer=BACKEND_BUFFER)
        self.back, self.started, self.upload_began = asyncio.Event(), asyncio.Event(), None
        self.back.set()

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            request, fields = head
            await self.wait_while_vanished(writer)
            if request.split()[1] in ("/healthz", "/load"):
                writer.write(answer(b"ok"))
                await writer.drain()
                continue
            if request.startswith("POST") and self.upload_began:
                self.record(f"{self.name}: the head of {fields.get('x-correlation-id')} has come")
                await self.upload_began(self)
                await self.wait_while_vanished(writer)
            body = await read_body(reader, fields)
            if body is None:
                return
            await self.wait_while_vanished(writer)
            writer.write(answer(await self.run(request, fields, body)))
            await writer.drain()

    async def wait_while_vanished(self, writer):
        if not self.back.is_set():
            writer.transport.pause_reading()
            await self.back.wait()
            writer.transport.abort()
            raise ConnectionResetError


def unacknowledged(sock):
    """The bytes that the gateway's machine has not acknowledged."""
    return struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, b"\0" * 4))[0]


async def search(platform, record, served):
    """Sends searches of other customers, for the record."""
    client = await Client(platform).open()
    for number in itertools.count():
        customer = 100 + number % 20
        reply = await client.request("GET", f"/search/{customer:016x}", request_fields(f"search-{number}"), limit=4)
        served.append(reply is not None and reply[0] == 200)
        if reply is None or reply[0] != 200:
            record(f"search-{number} is answered: {reply and reply[0]}")
        if reply is None or "close" in reply[1].get("connection", ""):
            client.close()
            client = await Client(platform).open()
        await asyncio.sleep(0.05)


async def case(record):
    platform, served = Platform(HERE, record, small_deployment()), []
    await platform.start_services()
    machines = [Machine(platform.ip, f"s-{i}", record) for i in range(10)]
    for machine in machines:
        await machine.start()
        platform.discovery.put(machine.name, machine.address)
    process = platform.start_process()
    await platform.wait_ready(process)
    searches = asyncio.create_task(search(platform, record, served))
    await asyncio.sleep(4)

    async def vanish(machine):
        """One machine of ten: the one that got the head of the upload."""
        if not TROUBLE:
            return
        machine.back.clear()
        record(f"the machine of {machine.name} vanishes")
        loop = asyncio.get_running_loop()

        def come_back():
            record(f"the machine of {machine.name} is back")
            platform.discovery.put(machine.name, machine.address, since_ms=int(time.time() * 1000))
            machine.back.set()

        # Discovery notices after 10 s that the process does not run (the site: 4.6 to 14 s).
        loop.call_later(10, lambda: platform.discovery.put(machine.name, machine.address, status="DELETED"))
        loop.call_later(SILENT_S, come_back)

    for machine in machines:
        machine.upload_began = vanish
    loop, sock = asyncio.get_running_loop(), socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, MSS)
    sock.setblocking(False)
    host, port = platform.listen.split(":")
    await loop.sock_connect(sock, (host, int(port)))
    lines = "".join(f"{name}: {value}\r\n" for name, value in request_fields("book-1", left_ms=LEFT_MS).items())
    head = f"POST /book/0000000000000009 HTTP/1.1\r\nHost: backend.local\r\n{lines}Content-Length: {BODY_BYTES}\r\n\r\n"
    await asyncio.wait_for(loop.sock_sendall(sock, head.encode()), 5)
    record(f"book-1 is sent, {BODY_BYTES} bytes, X-Time-Left-Ms {LEFT_MS}")
    reader = asyncio.create_task(loop.sock_recv(sock, 4096))
    for at in range(0, BODY_BYTES, PIECE):
        await asyncio.wait_for(loop.sock_sendall(sock, b"x" * min(PIECE, BODY_BYTES - at)), 20)
        record(f"{min(at + PIECE, BODY_BYTES)} bytes of its body are written, {unacknowledged(sock)} unacknowledged")
        await asyncio.sleep(PIECE / RATE)
    if unacknowledged(sock):
        raise CannotRun("the gateway's machine has not acknowledged the whole request")
    last_byte = time.monotonic() - PIECE / RATE
    record("the whole request is written to the gateway's machine, and acknowledged")
    done, _ = await asyncio.wait([reader], timeout=SILENT_S + 5)
    waited = time.monotonic() - last_byte
    if searches.done():
        raise CannotRun(f"the searches have ended: {searches.exception()}")
    record(f"{sum(served)} of {len(served)} searches were served")
    if not done:
        return True, f"no answer to book-1 {waited:.2f} s after its last byte; the client waits {LEFT_MS / 1000} s"
    first = reader.result()[:24] if not reader.exception() else reader.exception()
    return waited > LATEST or reader.exception() is not None or not first, (
        f"book-1 is answered {waited:.2f} s after its last byte: {first!r}; the limit is {LATEST:.2f} s")


run_case(HERE, case)
