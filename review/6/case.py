"""Bad clients send hundreds of requests at once; the process passes its limit on memory and is killed."""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_2"))
import stand
from stand import BROKEN, HELD, TROUBLE

MEMORY_MB = 32           # "32 to 192 MB"
SOCKETS = 1024           # "256 to 1,024 descriptors"
BAD = 315 if TROUBLE else 0   # connections; with the usual ones at most a third of the descriptors
AT_ONCE = 500            # requests that each of them sends at once: "hundreds"
BEFORE, SECONDS, RATE = 3, 75, 15
ANSWER = 60000           # bytes of an answer; "A body holds 64 KiB at most"
TIMEOUT_MS = 1500


async def serve(server, request, writer):
    await asyncio.sleep(random.uniform(0.3, 0.7))
    writer.write(stand.answer(200, b"x" * ANSWER))


async def bad_client(run, proxy, end):
    """Sends all of its requests at once, reads the first answer's head, goes within a second, and comes again."""
    while time.time() < end and not run.killed_at:
        data = b"".join(stand.request_bytes("limit-check", stand.new_id(), TIMEOUT_MS) for _ in range(AT_ONCE))
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
            writer.write(data)
            await asyncio.wait_for(stand.read_head(reader), 4)
            await asyncio.sleep(random.uniform(0, 1))
            writer.transport.abort()
        except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.05)


async def usual(run, proxy):
    request_id = stand.new_id()
    run.open.add(request_id)
    result = "none"
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        writer.write(stand.request_bytes("limit-check", request_id, TIMEOUT_MS, 80000))
        line, _ = await asyncio.wait_for(stand.read_head(reader), TIMEOUT_MS / 1000 + 0.55)
        result = line.split(" ")[1]
        writer.close()
    except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.TimeoutError) as e:
        run.record.say("no answer to %s: %s" % (request_id, type(e).__name__))
    run.open.discard(request_id)
    run.results[result] = run.results.get(result, 0) + 1


async def platform(run, proxy):
    """Kills the proxy when its own memory (without the pages of the program and its libraries) is over its limit."""
    while True:
        with open("/proc/%d/status" % proxy.process.pid, encoding="utf-8") as f:
            kb = sum(int(line.split()[1]) for line in f if line.startswith(("RssAnon:", "RssShmem:")))
        run.peak = max(run.peak, kb)
        if kb > MEMORY_MB * 1024:
            run.killed_at = time.time()
            run.killed_with = len(run.open)
            proxy.process.kill()
            run.record.both("the proxy holds %d kB of %d: killed, with %d usual requests open" % (
                kb, MEMORY_MB * 1024, run.killed_with))
            return
        await asyncio.sleep(0.02)


async def body(run):
    run.results, run.open, run.peak, run.killed_at = {}, set(), 0, 0
    servers = [stand.PlanServer("s-%d" % i, serve, run.record) for i in range(9)]
    for server in servers:
        server.record = type("Quiet", (), {"say": staticmethod(lambda text: None)})
        await server.start()
    run.discovery = stand.Discovery(servers, run.record)
    await run.discovery.start()
    proxy = stand.Proxy(run, sockets=SOCKETS, memory_mb=MEMORY_MB)
    run.proxies.append(proxy)
    proxy.start()
    await proxy.wait_ready()
    begun = time.time()
    watch = asyncio.create_task(platform(run, proxy))
    tasks = []
    bad = []
    while time.time() < begun + SECONDS and not run.killed_at:
        if not bad and time.time() > begun + BEFORE:
            run.record.say("%d bad clients begin" % BAD)
            bad = [asyncio.create_task(bad_client(run, proxy, begun + SECONDS)) for _ in range(BAD)] or [None]
        tasks.append(asyncio.create_task(usual(run, proxy)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    watch.cancel()
    if not run.killed_at and proxy.process.poll() is not None:
        run.record.both("the proxy ended by itself: %s" % proxy.process.poll())
        return BROKEN
    run.record.both("own memory at most %d of %d kB; usual requests: %s" % (run.peak, MEMORY_MB * 1024, run.results))
    return BROKEN if run.killed_at else HELD


stand.main(__file__, body)
