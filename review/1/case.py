"""A class that SIGHUP adds is repeated outside its group."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins as s  # noqa: E402

ZONES = ["sali-a", "sali-b"]
OLD = [s.request_class("tallenna-haku", "guarded", 600, 1200, 3.0, "zone", 6000),
       s.request_class("uudelleenindeksointi", "single_shot", 800, 2500, 9.0)]
ADDED = s.request_class("tallenna-lista", "guarded", 600, 1200, 3.0, "cell", 4000)
TIME_LIMIT_SLACK = 0.05
SECONDS = 24  # of traffic in the added class
BAD_FOR = 22  # seconds for which two plan servers of twelve fail
BAD_SHARE = 0.6  # of their requests
RATE = 45  # requests a second in each class


async def play(record, platform):
    rng = s.random.Random(5)
    # Pods of three: three of them in the proxy's data hall, one in the other.
    places = [("sali-a", 1)] * 3 + [("sali-a", 2)] * 3 + [("sali-a", 3)] * 3 + [("sali-b", 4)] * 3
    servers = [s.PlanServer(record, f"s-{i}", zone, cell) for i, (zone, cell) in enumerate(places)]
    for server in servers:
        await server.start()
    discovery = s.Discovery(record, servers)
    await discovery.start()
    port = s.free_port()
    classes = OLD if s.TROUBLE else OLD + [ADDED]
    whole = s.config("n0", port, discovery, classes, ZONES)
    path = platform.write("config.json", whole)
    proxy = platform.start("n0", path, platform.folder)
    if not await s.until_yes(port, "/up", 30):
        raise RuntimeError("the proxy was not ready")
    clients = s.Clients(record, port, 7)
    start = s.now()

    async def traffic(name, method, timeout_ms, keyed, seconds):
        end = s.now() + seconds
        while s.now() < end:
            clients.issue(name, method, timeout_ms, keyed)
            await asyncio.sleep(rng.expovariate(RATE))

    await asyncio.gather(traffic("tallenna-haku", "POST", 1200, True, 2),
                         traffic("uudelleenindeksointi", "POST", 2500, False, 2))
    if s.TROUBLE:
        whole["settings"]["classes"] = OLD + [ADDED]
        platform.write("config.json", whole)
        platform.signal(proxy, signal.SIGHUP)
    await asyncio.sleep(1.5)  # clients name the new class 1.2 s after SIGHUP
    bad_until = s.now() + BAD_FOR
    for server in (servers[1], servers[4]):  # 17% of the plan servers
        server.fails = lambda at: at < bad_until and rng.random() < BAD_SHARE
    await asyncio.gather(traffic("tallenna-lista", "POST", 1200, True, SECONDS),
                         traffic("uudelleenindeksointi", "POST", 2500, False, SECONDS))
    await clients.finish()
    if proxy.poll() is not None:
        raise RuntimeError("the proxy has ended")

    broken = repeated = inside = 0
    added = [r for r in clients.requests if r.name == "tallenna-lista"]
    for request in added:
        attempts = request.attempts(servers)
        repeated += len(attempts) > 1
        first = next((a for a in attempts if a.may_have_run), None)
        for attempt in attempts:
            if first is None or attempt is first or attempt.last_byte < first.last_byte:
                continue
            if attempt.server.cell == first.server.cell and \
                    attempt.first_byte <= first.last_byte + 4.0 + TIME_LIMIT_SLACK:
                inside += 1
                continue
            broken += 1
            record(f"BROKEN: {request.ident} has run at {first.server.uid} of pod {first.server.cell} "
                   f"({first.outcome}) and was sent to {attempt.server.uid} of pod {attempt.server.cell} "
                   f"({attempt.outcome})")
    outcomes = {}
    for request in added:
        outcomes[request.status] = outcomes.get(request.status, 0) + 1
    return broken > 0, [
        f"requests of the added class: {len(added)}, by status {outcomes}; repeated: {repeated}",
        f"sent again inside the group and window: {inside}; outside, after it has run: {broken}"]


s.run_case(FOLDER, play)
