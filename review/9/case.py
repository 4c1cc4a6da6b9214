"""A long answer with no length, whose server pauses after its first piece."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_2"))
import stand
from stand import BROKEN, HELD, TROUBLE

FIRST = 8 * 1024          # bytes of the first piece
WHOLE = 200 * 1024        # bytes of the answer: over 64 KiB, far under 32 MB
PAUSE = 2.0 if TROUBLE else 0.0  # seconds: "peers take seconds to read or write"
TIMEOUT_MS = 1250         # of limit-check's 2.5 s; clients give a try up after 50 to 80%
REQUESTS = 12


def body_of(request_id):
    return (request_id.encode() * (WHOLE // len(request_id) + 1))[:WHOLE]


def chunk(part):
    return b"%x\r\n" % len(part) + part + b"\r\n"


async def serve(server, request, writer):
    body = body_of(request.id)
    await asyncio.sleep(0.05)
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body[:FIRST]))
    await writer.drain()
    await asyncio.sleep(PAUSE)
    if writer.is_closing():
        server.record.say("%s: the connection of %s is gone" % (server.uid, request.id))
    at = FIRST
    while at < WHOLE:
        piece = body[at:at + 16 * 1024]
        writer.write(chunk(piece))
        await writer.drain()
        at += len(piece)
        await asyncio.sleep(0.01)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    server.record.say("%s has given all of %s" % (server.uid, request.id))


async def client(run, proxy, number):
    await asyncio.sleep(0.2 * number)
    request_id = stand.new_id()
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    sent = time.time()
    writer.write(stand.request_bytes("limit-check", request_id, TIMEOUT_MS, 60000))
    run.record.say("client sends %s" % request_id)
    got, result = b"", "not whole"
    try:
        line, headers = await asyncio.wait_for(stand.read_head(reader), TIMEOUT_MS / 1000 + 0.5)
        run.record.say("%s: head after %.3f s: %s %s" % (request_id, time.time() - sent, line, headers))
        if " 200 " not in line:
            return line.split(" ")[1]
        if "content-length" in headers:
            got = await reader.readexactly(int(headers["content-length"]))
        else:
            while True:
                size = int((await asyncio.wait_for(reader.readuntil(b"\r\n"), 20)).strip(), 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    break
                got += part[:-2]
        result = "whole" if got == body_of(request_id) else "foreign"
    except (asyncio.IncompleteReadError, ConnectionError) as e:
        run.record.say("%s: %s" % (request_id, type(e).__name__))
    except asyncio.TimeoutError:
        result = "no answer in time"
    run.record.say("%s: %s after %.3f s, %d of %d bytes" % (request_id, result, time.time() - sent, len(got), WHOLE))
    writer.close()
    return result


async def body(run):
    servers = [stand.PlanServer("s-%d" % i, serve, run.record) for i in range(4)]
    for server in servers:
        await server.start()
    run.discovery = stand.Discovery(servers, run.record)
    await run.discovery.start()
    proxy = stand.Proxy(run)
    run.proxies.append(proxy)
    proxy.start()
    await proxy.wait_ready()
    results = await asyncio.gather(*(client(run, proxy, i) for i in range(REQUESTS)))
    run.record.both("answers: %s" % {r: results.count(r) for r in sorted(set(results))})
    if "whole" not in results and "not whole" not in results:
        raise stand.CannotRun("no answer was begun")
    # An answer that was begun, and that its server gave on, is cut: not one server ended or broke a connection.
    return BROKEN if "not whole" in results or "foreign" in results else HELD


stand.main(__file__, body)
