"""A plan server that an operator has detached during an upgrade gets requests from the new process."""
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
RATE = 25  # requests a second in each class
DRAIN = 3.0  # invariants.stopSendingWithin
TIME_LIMIT_SLACK = 0.05  # every time limit on sockets is so much longer
READY_INTERVAL = 0.25  # at which the platform asks the new process whether it is ready
DETACH_AFTER = 0.15  # the start of the new process
AFTER_DETACH = 9  # seconds of traffic


async def play(record, platform):
    rng = s.random.Random(5)
    servers = [s.PlanServer(record, f"s-{i}", ZONES[i % 2], i // 5) for i in range(10)]
    for server in servers:
        await server.start()
    discovery = s.Discovery(record, servers)
    await discovery.start()
    # The platform holds the clients' listening socket as descriptor 3.
    clients_socket = s.listening_socket()
    port = clients_socket.getsockname()[1]
    shared = os.path.join(platform.folder, "tmp")
    os.mkdir(shared)

    def start(label):
        console = s.free_port()
        path = platform.write(f"{label}.json", s.config("n0", port, discovery, CLASSES, ZONES, console))
        process = platform.start(label, path, shared, clients_socket=clients_socket)
        process.console = console
        return process

    old = start("old")
    if not await s.until_yes(old.console, "/_ready", 30):
        raise RuntimeError("the proxy was not ready")
    clients = s.Clients(record, port, 7)
    over = False

    async def traffic(name, method, timeout_ms, keyed):
        while not over:
            clients.issue(name, method, timeout_ms, keyed)
            await asyncio.sleep(rng.expovariate(RATE))

    calls = [asyncio.create_task(traffic("limit-check", "GET", 2500, False)),
             asyncio.create_task(traffic("plan-open", "POST", 4000, True)),
             asyncio.create_task(traffic("instalment-pay", "POST", 3000, False))]
    await asyncio.sleep(2)

    async def detach():
        if s.TROUBLE:
            await asyncio.sleep(DETACH_AFTER)
        status = await s.ask(old.console, "PUT", "/_plan-servers/detach?who=s-0")
        record(f"operator: detach of s-0 at the old process, the only one that has said it is ready: {status}")
        return status, s.now()

    async def upgrade():
        new = start("new")
        while True:
            await asyncio.sleep(READY_INTERVAL)
            if await s.ask(new.console, "GET", "/_ready") == 200:
                break
        record("platform: the new process says yes")
        ready_at = s.now()
        platform.signal(old, signal.SIGTERM)
        await asyncio.sleep(0.3)
        status = await s.ask(old.console, "PUT", "/_plan-servers/detach?who=s-2")
        record(f"operator: not judged: detach of s-2 at the old process 0.3 s after SIGTERM: {status}")
        while old.poll() is None and s.now() < ready_at + 3.7:
            await asyncio.sleep(0.02)
        if old.poll() is None:
            platform.signal(old, signal.SIGKILL)
        record(f"platform: the old process has ended with {old.wait()}")
        return new, ready_at

    detached = asyncio.create_task(detach())
    ready_at = None
    new = old
    if s.TROUBLE:
        new, ready_at = await upgrade()
    status, detached_at = await detached
    await asyncio.sleep(max(0, detached_at + AFTER_DETACH - s.now()))
    over = True
    await asyncio.gather(*calls)
    await clients.finish()
    if status != 200:
        raise RuntimeError(f"the detach was answered {status}")
    if ready_at is not None and detached_at > ready_at:
        raise RuntimeError("the new process was ready before the detach")
    if new.poll() is not None:
        raise RuntimeError("the proxy has ended")
    limit = detached_at + DRAIN + TIME_LIMIT_SLACK
    late = [a for a in servers[0].attempts if a.first_byte > limit]
    others = sum(1 for x in servers[1:] for a in x.attempts if a.first_byte > limit)
    for attempt in late[:5]:
        record(f"BROKEN: {attempt.ident} was sent to s-0 {attempt.first_byte - detached_at:.3f} s after the yes")
    return len(late) > 0, [
        f"not judged: requests to s-2 from 3.5 s after its detach on: "
        f"{sum(1 for a in servers[2].attempts if a.first_byte > detached_at + 4)}" if s.TROUBLE else "no upgrade",
        f"requests: {len(clients.requests)}, lost: {sum(1 for r in clients.requests if r.lost)}",
        f"later than {DRAIN + TIME_LIMIT_SLACK} s after the yes to the detach: {len(late)} requests to s-0, "
        f"{others} to the nine others"]


s.run_case(FOLDER, play)
