"""Answers that come slowly take the process over its memory limit."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins as s  # noqa: E402

ZONES = ["westlands", "upper-hill"]
CLASSES = [s.request_class("limit-check", "free", 1200, 2500, 3.0),
           s.request_class("plan-open", "guarded", 1500, 4000, 5.0, "cell", 4000),
           s.request_class("instalment-pay", "single_shot", 1500, 3000, 8.0)]
MEMORY_MB = 32
SOCKETS = 1024
CLIENTS = SOCKETS // 3  # "clients hold at most a third of the descriptors"
LONGEST_BODY = 64 * 1024
OTHER_BODY = 15_000
WORK = 0.01
SLOW = 2.0  # seconds that a plan server takes to write an answer
JUMP_RATE = 2000  # requests a second while traffic jumps, until all clients are busy
WARM_UP = 3  # seconds of light traffic before
WARM_RATE = 900  # requests a second, the usual traffic before the jump
WARM_CLIENTS = 30


class SlowServer(s.PlanServer):
    """Answers with `size` bytes; once `slow`, it writes most of an answer at once and the rest after two seconds."""
    slow = False
    size = 500

    async def answer(self, attempt, writer):
        self.attempts.append(attempt)
        self.record(f"server {self.uid}: request {attempt.ident} arrived")
        await asyncio.sleep(self.work)
        attempt.outcome = "200"
        body = attempt.ident.encode().ljust(self.size, b".")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body[:-100])
        if self.slow:
            await asyncio.sleep(SLOW)
        writer.write(body[-100:])
        await writer.drain()
        self.record(f"server {self.uid}: request {attempt.ident} answered whole")
        return True


def private_memory(process):
    """Megabytes of the process that are its own: pages of the program and its libraries don't count."""
    try:
        with open(f"/proc/{process.pid}/status") as file:
            for line in file:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class Client:
    """One kept connection; one request at a time."""

    def __init__(self, record, port, number):
        self.record, self.port, self.number, self.count = record, port, number, 0
        self.outcomes = []

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    async def call(self, body_size, timeout_ms=3000):
        self.count += 1
        ident = f"{self.number:08x}{self.count:08x}"
        self.writer.write((f"POST /api?k={ident} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {ident}\r\n"
                           f"Request-Class: instalment-pay\r\nRequest-Timeout: {timeout_ms}m\r\n"
                           f"Work-Hint: {int(WORK * 1e6)}\r\nContent-Length: {body_size}\r\n\r\n").encode()
                          + b"x" * body_size)
        self.record(f"client: sends {ident}, a body of {body_size} bytes")
        try:
            _, line, headers = await asyncio.wait_for(s.read_head(self.reader), timeout_ms / 1000 + 0.6)
            await asyncio.wait_for(s.read_body(self.reader, headers), timeout_ms / 1000 + 0.6)
            outcome = int(line.split(" ")[1])
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            outcome = type(error).__name__
        self.record(f"client: {ident} ended with {outcome}")
        self.outcomes.append(outcome)
        return outcome


async def play(record, platform):
    servers = [SlowServer(record, f"s-{i}", ZONES[0], i // 6, WORK) for i in range(12)]
    for server in servers:
        await server.start()
    discovery = s.Discovery(record, servers)
    await discovery.start()
    port = s.free_port()
    whole = s.config("n0", port, discovery, CLASSES, ZONES)
    whole["limits"].update(memory_mb=MEMORY_MB, sockets=SOCKETS)
    proxy = platform.start("n0", platform.write("config.json", whole), platform.folder)
    if not await s.until_yes(port, "/up", 30):
        raise RuntimeError("the proxy was not ready")
    peak, killed = 0.0, False

    async def watch_memory():
        """The platform: over the limit the proxy is killed."""
        nonlocal peak, killed
        while proxy.poll() is None:
            used = private_memory(proxy)
            peak = max(peak, used)
            if used > MEMORY_MB:
                record(f"platform: the process holds {used:.1f} MB of its own, {MEMORY_MB} MB are allowed")
                platform.signal(proxy, signal.SIGKILL)
                killed = True
                return
            await asyncio.sleep(0.005)

    watch = asyncio.create_task(watch_memory())
    warm = [Client(record, port, 10_000 + i) for i in range(WARM_CLIENTS)]
    usual_from = s.now()

    async def usual(client):
        await client.connect()
        while s.now() < usual_from + WARM_UP:
            began = s.now()
            if await client.call(500) != 200:
                await client.connect()
            await asyncio.sleep(max(0, began + WARM_CLIENTS / WARM_RATE - s.now()))

    await asyncio.gather(*[usual(client) for client in warm])
    usual_rate = sum(client.count for client in warm) / WARM_UP
    clients = [Client(record, port, i) for i in range(CLIENTS - len(warm))]
    for client in clients:
        await client.connect()
    for server in servers:
        server.slow = s.TROUBLE
        server.size = LONGEST_BODY
    before = peak
    record(f"{len(clients)} clients send one request each, {JUMP_RATE} a second; until now at most {before:.1f} MB")
    # Half of the bodies have the longest size that the protocol page allows.
    calls = []
    begun = s.now()
    for i, client in enumerate(clients):
        while s.now() < begun + i / JUMP_RATE:
            await asyncio.sleep(0.001)
        calls.append(asyncio.create_task(client.call(LONGEST_BODY if client.number % 2 else OTHER_BODY)))
    record(f"all of them were sent within {s.now() - begun:.3f} s")
    await asyncio.gather(*calls)
    await asyncio.sleep(0.3)
    if proxy.poll() is not None and not killed:
        raise RuntimeError("the proxy has ended")
    watch.cancel()
    outcomes = {}
    for client in clients:
        for outcome in client.outcomes:
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
    return killed, [
        f"usual traffic {usual_rate:.0f} requests a second, then {JUMP_RATE}: {JUMP_RATE / usual_rate:.1f} times",
        f"memory of the process: at most {before:.1f} MB before, {peak:.1f} MB after, {MEMORY_MB} MB allowed",
        f"{len(clients)} requests ended with {outcomes}"]


s.run_case(FOLDER, play)
