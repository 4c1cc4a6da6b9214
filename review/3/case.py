"""After SIGHUP has dropped the class with the longest deadline, a planned restart loses requests."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins as s  # noqa: E402

ZONES = ["westlands", "upper-hill"]
KEPT = [s.request_class("limit-check", "free", 600, 1200, 3.0),
        s.request_class("instalment-pay", "single_shot", 800, 1500, 8.0)]
DROPPED = s.request_class("plan-report", "free", 1500, 4000, 1.0)
LONGEST = 1.5  # seconds: the longest deadline of the classes that are kept
KILL_AFTER = LONGEST + 0.7  # SIGTERM
EXCUSED = 0.7  # after SIGTERM: what came by then may be found unanswered by SIGKILL
RATE = 20  # requests a second in each class
SLOW_CLIENTS = 40
SLOW_HEAD = 1.6  # seconds for a head; the page allows 2


class SlowClient:
    """Writes the head of one request in pieces."""

    def __init__(self, record, port, number):
        self.record, self.port = record, port
        self.ident = f"{number:016x}"
        self.sent_at = self.answer = self.ended_at = None

    async def run(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        message = (f"GET /api?k={self.ident} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {self.ident}\r\n"
                   "Request-Class: limit-check\r\nRequest-Timeout: 1200m\r\nWork-Hint: 30000\r\n\r\n").encode()
        pieces = [message[i:i + 10] for i in range(0, len(message), 10)]
        try:
            for piece in pieces[:-1]:
                writer.write(piece)
                await asyncio.sleep(SLOW_HEAD / (len(pieces) - 1))
            writer.write(pieces[-1])
            self.sent_at = s.now()
            self.record(f"slow client: the last byte of {self.ident} is written")
            _, line, headers = await asyncio.wait_for(s.read_head(reader), 2)
            await s.read_body(reader, headers)
            self.answer = int(line.split(" ")[1])
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            self.answer = type(error).__name__
        self.ended_at = s.now()
        self.record(f"slow client: {self.ident} ended with {self.answer}")
        writer.close()


async def play(record, platform):
    rng = s.random.Random(5)
    servers = [s.PlanServer(record, f"s-{i}", ZONES[0], i // 5) for i in range(10)]
    for server in servers:
        await server.start()
    discovery = s.Discovery(record, servers)
    await discovery.start()
    port = s.free_port()
    whole = s.config("n0", port, discovery, KEPT + [DROPPED] if s.TROUBLE else KEPT, ZONES)
    proxy = platform.start("n0", platform.write("config.json", whole), platform.folder)
    if not await s.until_yes(port, "/up", 30):
        raise RuntimeError("the proxy was not ready")
    clients = s.Clients(record, port, 7)
    leaving = False

    async def traffic(name, method, timeout_ms):
        while not leaving:
            clients.issue(name, method, timeout_ms)
            await asyncio.sleep(rng.expovariate(RATE))

    calls = [asyncio.create_task(traffic("limit-check", "GET", 1200)),
             asyncio.create_task(traffic("instalment-pay", "POST", 1500))]
    await asyncio.sleep(2)
    if s.TROUBLE:
        whole["settings"]["classes"] = KEPT
        platform.write("config.json", whole)
        platform.signal(proxy, signal.SIGHUP)
    await asyncio.sleep(3)
    slow = [SlowClient(record, port, i) for i in range(1, SLOW_CLIENTS + 1)]
    slow_tasks = [asyncio.create_task(client.run()) for client in slow]
    await asyncio.sleep(0.4)
    for server in servers[:2]:  # a fifth of them, through the whole of the shutdown
        server.hangs = lambda at: True
    record("two of ten plan servers hang from now on")
    leaving = True
    await asyncio.gather(*calls)
    term_at = s.now()
    platform.signal(proxy, signal.SIGTERM)
    while proxy.poll() is None and s.now() < term_at + KILL_AFTER:
        await asyncio.sleep(0.01)
    kill_at = s.now()
    killed = proxy.poll() is None
    if killed:
        platform.signal(proxy, signal.SIGKILL)
    record(f"platform: the proxy has ended with {proxy.wait()}, {s.now() - term_at:.3f} s after SIGTERM")
    await asyncio.gather(*slow_tasks)
    await clients.finish()

    taken = [c for c in slow if c.sent_at is not None and term_at + EXCUSED + 0.05 < c.sent_at < kill_at - 0.05]
    lost = [c for c in taken if not isinstance(c.answer, int)]
    for client in lost:
        where = [a.server.uid for x in servers for a in x.attempts if a.ident == client.ident]
        record(f"BROKEN: {client.ident} came {client.sent_at - term_at:.3f} s after SIGTERM, went to {where} and "
               f"was never answered: {client.answer} {client.ended_at - term_at:.3f} s after SIGTERM")
    if not taken:
        raise RuntimeError("no slow client's request came in time")
    return len(lost) > 0, [
        f"the proxy ended by itself: {not killed}",
        f"requests that came 0.75 s after SIGTERM or later: {len(taken)}; never answered: {len(lost)}"]


s.run_case(FOLDER, play)
