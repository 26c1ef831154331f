"""A connection to a backend comes up late while a hedged request is under way: do backends get what clients sent?"""

import asyncio
import itertools
import os
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import *  # noqa: E402,F403

LEFT_MS = 8000
PIECE = 4096
# Clients send bodies of these sizes at these rates, in bytes and bytes per second.
FAST, SLOW = (100 * 1024, None), (192 * 1024, 64_000)
UPLOADS = [SLOW, FAST, FAST, FAST] * 4


class LateBackend(Backend):
    """A backend to which new connections can come up late: while its queue of new connections is full, the kernel
    ignores a connection request, and the gateway's kernel repeats it after 1 s. Requests that no client sent in the
    form in which they come get 400, as the page PROTOCOL says."""

    sent_by_clients = {}

    def __init__(self, ip, name, record, altered):
        super().__init__(ip, name, record, work=0.2, backlog=0)
        self.altered, self.accepting, self.filler = altered, True, None

    async def start(self):
        self.acceptor = asyncio.create_task(self.accept())

    async def accept(self):
        while True:
            try:
                sock = self.sock.accept()[0] if self.accepting else None
            except BlockingIOError:
                sock = None
            if sock is None:
                await asyncio.sleep(0.001)
                continue
            sock.setblocking(False)
            self.record(f"{self.name} accepts a connection")
            reader, writer = await asyncio.open_connection(sock=sock, limit=1 << 20)
            self.connections.add(asyncio.create_task(self._connection(reader, writer)))

    def hold_up(self):
        self.accepting = False
        self.filler = socket.socket()
        self.filler.setblocking(False)
        self.filler.connect_ex(self.sock.getsockname())

    def let_in(self):
        self.accepting = True
        self.filler.close()

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            request, fields = head
            correlation_id = fields.get("x-correlation-id")
            if request.split()[1] in ("/healthz", "/load"):
                writer.write(answer(b"ok"))
                continue
            body = await read_body(reader, fields)
            if body is None:
                self.record(f"{self.name}: {correlation_id} broke off before its last byte")
                return
            if correlation_id.startswith("search"):
                writer.write(answer(await self.run(request, fields, body)))
                await writer.drain()
                continue
            framing = {k: v for k, v in fields.items() if k in ("content-length", "transfer-encoding")}
            self.record(f"{self.name}: {request} {correlation_id} has come whole: {framing}, {len(body)} bytes")
            if body != self.sent_by_clients.get(correlation_id):
                sent = len(self.sent_by_clients.get(correlation_id, b""))
                self.record(f"{self.name}: {correlation_id} IS NOT WHAT ITS CLIENT SENT ({sent} bytes)")
                self.altered.append(f"{correlation_id} at {self.name}: {len(body)} of {sent} bytes")
                writer.write(answer(b"no client sent this", "400 Bad Request"))
            else:
                writer.write(answer(await self.run(request, fields, body)))
            await writer.drain()


async def upload(client, number, size, rate, record):
    """Sends a booking whose body comes in chunks, and returns its answer."""
    correlation_id = f"book-{number}"
    body = bytes((number + i // PIECE) % 251 for i in range(size))
    LateBackend.sent_by_clients[correlation_id] = body
    fields = dict(request_fields(correlation_id, left_ms=LEFT_MS),
                  **{"Idempotency-Key": f"key-{number}", "Transfer-Encoding": "chunked"})
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    record(f"{correlation_id} is sent, {size} bytes in chunks, {rate or 'any number of'} bytes per second")
    client.writer.write(f"POST /book/0000000000000009 HTTP/1.1\r\nHost: backend.local\r\n{lines}\r\n".encode())
    for at in range(0, size, PIECE):
        piece = body[at:at + PIECE]
        client.writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        await client.writer.drain()
        if rate:
            await asyncio.sleep(PIECE / rate)
    client.writer.write(b"0\r\n\r\n")
    reply = await client.read_answer(LEFT_MS / 1000 + 2)
    record(f"{correlation_id} is answered: {reply and (reply[0], reply[2])}")


async def search(platform, record):
    """Sends searches, one after another."""
    client = await Client(platform).open()
    for number in itertools.count():
        correlation_id = f"search-{number}"
        reply = await client.request("GET", "/search/0000000000000007", request_fields(correlation_id))
        if reply is None or reply[0] != 200:
            record(f"{correlation_id} is answered: {reply and reply[0]}")
        if reply is None or "close" in reply[1].get("connection", ""):
            client = await Client(platform).open()


async def case(record):
    # `book` may be repeated with a key, and a connection that comes up within 1.5 s counts. The rest of `book`, its
    # aim and its deadline too, is as at the site.
    settings = small_deployment()
    settings["classes"][1].update(effect="token", group="all", window_us=5000000)
    settings["policy_limits"]["connect_timeout_us"] = 1500000
    platform, altered = Platform(HERE, record, settings), []
    try:
        await platform.start_services()
        backends = [LateBackend(platform.ip, f"s-{i}", record, altered) for i in range(3)]
        for backend in backends:
            await backend.start()
            platform.discovery.put(backend.name, backend.address)
        process = platform.start_process()
        await platform.wait_ready(process)
        searches = asyncio.create_task(search(platform, record))
        await asyncio.sleep(4)
        late = backends[0]
        for number, (size, rate) in enumerate(UPLOADS):
            # One backend of three: the connections that the gateway begins to open in the first 0.5 s come up 1 s
            # after that. For a slow client, the gateway begins after the first 64 KiB of the body.
            wait = 65536 / rate - 0.2 if rate else 0

            async def trouble():
                await asyncio.sleep(wait)
                late.hold_up()
                await asyncio.sleep(0.7 if rate else 0.5)
                late.let_in()

            troubled = asyncio.create_task(trouble()) if TROUBLE else None
            await asyncio.sleep(0.01)
            client = await Client(platform).open()
            await upload(client, number, size, rate, record)
            if troubled:
                await troubled
            client.close()
            await asyncio.sleep(0.6)
        if searches.done():
            raise CannotRun(f"the searches have ended: {searches.exception()}")
        return bool(altered), f"{len(altered)} requests came whole to a backend in a form that no client sent: {altered}"
    finally:
        platform.end()


run_case(HERE, case)
