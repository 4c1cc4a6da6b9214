"""A proxy is drained while it passes on a long answer; the connection of that answer rests afterwards."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_2"))
import stand
from stand import BROKEN, HELD, TROUBLE

WHOLE = 200 * 1024   # bytes of the long answer, with a stated length
ANSWER_TIME = 3.0    # seconds that its server takes to write it: "peers take seconds to read or write"
DRAIN_AFTER = 0.5    # seconds after the request
HELD_AT = 4.0        # seconds after the drain; every time limit is 50 ms longer
SLACK = 0.05
CLIENTS = 10


async def serve(server, request, writer):
    body = b"x" * WHOLE
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % WHOLE)
    pieces = 30
    for i in range(pieces):
        writer.write(body[WHOLE * i // pieces:WHOLE * (i + 1) // pieces])
        await writer.drain()
        await asyncio.sleep(ANSWER_TIME / pieces)


async def console(run, proxy, method, path):
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.console)
    writer.write(("%s %s HTTP/1.1\r\nHost: console\r\n\r\n" % (method, path)).encode())
    line, _ = await asyncio.wait_for(stand.read_head(reader), 1)
    writer.close()
    run.record.say("console: %s %s: %s" % (method, path, line))
    return " 200 " in line


async def client(run, proxy, number):
    await asyncio.sleep(0.02 * number)
    request_id = stand.new_id()
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    writer.write(stand.request_bytes("limit-check", request_id, 2000, 20000))
    run.record.say("client %d sends %s" % (number, request_id))
    line, headers = await asyncio.wait_for(stand.read_head(reader), 5)
    body = await asyncio.wait_for(stand.read_body(reader, headers), 10)
    whole_at = time.time()
    run.record.say("client %d: %s, %d bytes, Connection: %s" % (number, line, len(body), headers.get("connection")))
    if " 200 " not in line:
        writer.close()
        return None
    if headers.get("connection", "").lower() == "close":
        writer.close()
        return False
    try:  # a client keeps its connection, and here it rests
        await asyncio.wait_for(reader.read(1), 6)
    except asyncio.TimeoutError:
        pass
    ended_at = time.time()
    writer.close()
    run.record.say("client %d: connection ended %.2f s after the answer" % (number, ended_at - whole_at))
    if not TROUBLE:
        return False
    run.record.say("client %d: ended %.2f s after the drain" % (number, ended_at - run.drained_at))
    return whole_at < run.drained_at + HELD_AT and ended_at > run.drained_at + HELD_AT + SLACK


async def body(run):
    servers = [stand.PlanServer("s-%d" % i, serve, run.record) for i in range(12)]
    for server in servers:
        await server.start()
    run.discovery = stand.Discovery(servers, run.record)
    await run.discovery.start()
    proxy = stand.Proxy(run)
    run.proxies.append(proxy)
    proxy.console = stand.free_port()
    proxy.start({"BALANCER_CONSOLE": "127.0.0.1:%d" % proxy.console})
    await proxy.wait_ready()
    tasks = [asyncio.create_task(client(run, proxy, i)) for i in range(CLIENTS)]
    await asyncio.sleep(DRAIN_AFTER)
    if TROUBLE:
        if not await console(run, proxy, "PUT", "/_lameduck/on"):
            raise stand.CannotRun("the proxy can't be drained")
        run.drained_at = time.time()
    results = await asyncio.gather(*tasks)
    run.record.both("connections held idle 4 s after the drain: %d of %d" % (results.count(True), CLIENTS))
    if results.count(None) > CLIENTS / 2:
        raise stand.CannotRun("too few answers")
    return BROKEN if True in results else HELD


stand.main(__file__, body)
