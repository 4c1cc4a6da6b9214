#!/usr/bin/env python3
"""A soak of the real program over loopback: clients on connections that they keep, signals in series, faults.

Each seed draws a run of some seconds with three proxies: restarts by SIGTERM (SIGKILL follows at the earliest
time that the platform allows), by SIGKILL alone, reloads with a class that comes, changes and goes, servers in
trouble, drains, bad clients, sometimes a
crowd of idle clients, system calls that fail (tests/fault_injection/syscall_faults.cpp) and a stepped clock.
The verdict comes from what clients and servers saw. Exit code 1 if a rule was broken.

usage: soak.py --program PROGRAM --faults SHARED_OBJECT [--seeds 1-6] [--seconds 8] [--parallel 3] [--keep DIR]
"""
import argparse
import asyncio
import ctypes
import json
import os
import random
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time

LONGEST_DEADLINE = 2.0  # seconds; of all classes
KILL_AFTER_TERM = LONGEST_DEADLINE + 0.7
ACCEPT_AFTER_TERM = 0.3  # new clients keep arriving for so long
ANSWER_SLACK = 0.5  # a later answer counts as none
DEADLINE_SLACK = 0.15  # a server may be told so much more than the client has left
GONE_SLACK = 0.1  # no attempt may begin so long after its client has closed
DRAIN_GRACE = 0.2  # nor so long after discovery tells that the server drains
CROSSING = 0.03  # a request that is sent this long before its connection ends has arrived
SHORTAGE = 0.8  # calls fail for less than this at a time
PR_SET_PDEATHSIG = 1  # prctl(2)
LAG_TICK = 0.01
MEMORY_MB = 48
DESCRIPTORS = 544
PROXIES = 3
SERVERS = 6
CLIENTS_PER_PROXY = 10
CLASSES = {"check": ("GET", 1.0), "pay": ("POST", 2.0), "open": ("POST", 2.0), "list": ("POST", 1.5)}
NAMED_AFTER_RELOAD = 1.2  # seconds; clients name a class of a new configuration from then on
LIST_ERRORS = 0.2  # of the requests of the class that reloads bring: they may have run
RULE_SLACK = 0.05  # every time limit of a class is so much longer
PROXY_PORT = 8081  # of the first proxy

FAULT_RULES = [
    "accept4:ECONNABORTED:chance=20,every=2000,for=400",
    "accept4:ENFILE:chance=50,every=2000,for=300",
    "accept4:ENOBUFS:chance=50,every=2500,for=300",
    "accept4:EHOSTUNREACH:chance=20,every=2000,for=400",
    "socket:ENFILE:chance=70,every=1900,for=250",
    "socket:ENOBUFS:chance=50,every=2300,for=250",
    "connect:EADDRNOTAVAIL:chance=70,every=1700,for=250",
    "connect:ENETUNREACH:chance=70,every=2100,for=250",
    "connect:EINTR:chance=20",
    "epoll_ctl:ENOMEM:chance=40,every=1800,for=250",
    "epoll_create1:ENFILE:every=9000,for=150",
    "signalfd:ENFILE:every=9000,for=150",
    "bind:EADDRINUSE:count=2",
    "epoll_wait:EINTR:chance=20",
    "poll:EINTR:chance=20",
    "recv:short:chance=30",
    "recv:EINTR:chance=10",
    "recv:ENOMEM:chance=3",
    "sendmsg:short:chance=30",
    "sendmsg:EINTR:chance=10",
    "sendmsg:ENOBUFS:chance=3",
    "recv:ETIMEDOUT:upstream=1,chance=1",
    "recv:EHOSTUNREACH:upstream=1,chance=1",
    "open:ENFILE:path=config.json,every=3000,for=200",
    "read:EIO:every=3000,for=150",
]


def now():
    return time.monotonic()


class Request:
    """What is known of one request: its times at the client, and its attempts at servers."""

    def __init__(self, ident, name, timeout):
        self.ident, self.name, self.timeout = ident, name, timeout
        self.sent_at = now()
        self.gone_at = None  # when the client closed its connection
        self.executed = 0
        self.rules = None  # those of its class, if they are judged
        self.attempts = []


class Attempt:
    """One sending of a request to a server."""

    def __init__(self, server, began):
        self.server, self.began = server, began
        self.may_have_run = True


class ListRules:
    """The rules of the keyed class that reloads bring, change and drop."""

    def __init__(self, rng):
        self.group = rng.choice(["cell", "zone"])
        self.window = rng.choice([0.3, 0.8, 1.5])
        self.max_attempts = rng.choice([2, 3, 4])

    def settings(self):
        return {"name": "list", "aim": 400000, "giveUp": 1500000, "effect": "guarded", "group": self.group,
                "window": int(self.window * 1e6)}

    def joins(self, first, server):
        return first.server.zone == server.zone and (self.group == "zone" or first.server.cell == server.cell)


class Server:
    """An upstream server: answers, and misbehaves as the run draws it."""

    def __init__(self, run, number):
        self.run, self.number = run, number
        self.uid = f"s-{number}"
        self.zone = "ab"[number % 2]
        self.cell = number % 2 + 2 * (number // 4)  # of one or two servers in a zone
        self.draining = False
        self.drained_at = 0
        self.boot = 0
        self.hung_until = 0

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.run.host, 0, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]

    def entry(self):
        return {"uid": self.uid, "endpoint": f"{self.run.host}:{self.port}", "az": self.zone, "model": "m",
                "pod_group": self.cell, "state": "draining" if self.draining else "up", "boot_ms": self.boot, "capacity_hint": 4.0}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                began = now()
                headers = parse_headers(head)
                await reader.readexactly(int(headers.get("content-length", 0)))
                if not await self.answer(headers, began, writer):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, headers, began, writer):
        rng, run = self.run.rng, self.run
        ident = headers.get("request-id", "")
        request = run.requests.get(ident)
        if request is None:
            run.broken(f"a server got a request with an unknown id: {ident!r}")
            return False
        run.check_attempt(self, request, headers, began)
        attempt = Attempt(self, began)
        request.attempts.append(attempt)
        draw = rng.random()
        if draw < 0.02:
            attempt.may_have_run = False
            writer.write(b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        request.executed += 1
        if request.executed > 1 and request.name == "pay":
            run.broken(f"{ident}: ran {request.executed} times, though it must not be repeated")
        if now() < self.hung_until:
            await asyncio.sleep(self.hung_until - now())
        if draw < 0.04 or (request.name == "list" and rng.random() < LIST_ERRORS):
            writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
            return True
        if draw < 0.05:
            writer.transport.abort()
            return False
        await asyncio.sleep(rng.expovariate(1 / 0.008))
        text = f"answer to {ident}".encode() + b"." * (rng.choice([0, 0, 0, 9000, 60000]))
        answer = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(text) + text
        if rng.random() < 0.1:  # a slow one
            writer.write(answer[:-20])
            await asyncio.sleep(rng.uniform(0, 0.5))
            answer = answer[-20:]
        writer.write(answer)
        await writer.drain()
        return rng.random() > 0.03


class Discovery:
    """Lists the servers, and notes when each proxy was notified of a drain."""

    def __init__(self, run):
        self.run, self.version = run, 1
        self.changed = asyncio.Event()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.run.host, 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def change(self):
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self):
        return {"rev": self.version, "all": True, "targets": [s.entry() for s in self.run.servers]}

    async def serve(self, reader, writer):
        try:
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
                query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
                if int(query.get("after", -1)) == self.version:
                    try:
                        await asyncio.wait_for(self.changed.wait(), int(query["wait_ms"]) / 1000)
                    except asyncio.TimeoutError:
                        pass
                text = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


def parse_headers(head):
    lines = head.decode("latin-1").split("\r\n")[1:]
    return {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines if line)}


class Life:
    """One process of a proxy, from its start to its end. A request is judged by the life that it was sent to."""

    def __init__(self, process):
        self.process = process
        self.term_at = None
        self.killed_at = None  # by SIGKILL alone
        self.end_judged = False

    def running(self):
        return self.process.poll() is None

    def told_to_end(self):
        return self.term_at is not None or self.killed_at is not None


class Proxy:
    """One process of the program, started again under the same name and address."""

    def __init__(self, run, number):
        self.run, self.number = run, number
        self.folder = os.path.join(run.folder, f"p{number}")
        os.mkdir(self.folder)
        self.port = PROXY_PORT + number
        self.life = None
        self.peak = 0
        self.list_rules = None  # of the class "list" in the configuration, if it is there
        self.list_named_from = None  # clients name the class from then on
        self.max_attempts = 3

    def change_configuration(self):
        """Brings, changes or drops the class "list"; clients name it some time after SIGHUP."""
        rng = self.run.rng
        self.list_rules = ListRules(rng) if rng.random() < 0.8 else None
        self.max_attempts = self.list_rules.max_attempts if self.list_rules else 3
        self.write_configuration()

    def write_configuration(self):
        """Atomically, as the platform does."""
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w") as file:
            json.dump(self.configuration(), file)
        os.replace(path + ".new", path)

    def configuration(self):
        run = self.run
        added = [self.list_rules.settings()] if self.list_rules else []
        return {
            "name": f"p{self.number}", "listen": f"{run.host}:{self.port}", "discovery": f"{run.host}:{run.discovery.port}",
            "seed": f"{run.rng.getrandbits(60):x}", "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
            "known": run.discovery.whole(),
            "settings": {
                "balancers": PROXIES, "zones": ["a", "b"], "kinds": ["m"], "zone": self.number % 2, "registryMode": "push",
                "tick": 1000,
                "classes": [{"name": "check", "aim": 400000, "giveUp": 1000000, "effect": "free"},
                            {"name": "pay", "aim": 800000, "giveUp": 2000000, "effect": "single_shot"},
                            {"name": "open", "aim": 800000, "giveUp": 2000000, "effect": "guarded", "group": "all",
                             "window": 2000000}] + added,
                "invariants": {"startCapacity": 0.2, "cold": 3000000, "tipMultiple": 2, "fall": 1000000,
                               "graceToAnswer": 50000, "askEvery": 2000000},
                "limits": {"maxAttempts": self.max_attempts, "mayCancel": True, "retryAfter": True, "maxRetryAfter": 1000000,
                           "dialTimeout": 250000, "connIdle": 2000000}}}

    def start(self):
        run = self.run
        self.write_configuration()
        environment = dict(os.environ, BALANCER_CONFIG=os.path.join(self.folder, "config.json"), TMPDIR=self.folder)
        if run.faults:
            environment.update(LD_PRELOAD=run.options.faults, DAPPLETILLER_FAULTS=";".join(run.faults),
                               DAPPLETILLER_FAULT_SEED=str(run.rng.getrandbits(32)),
                               ASAN_OPTIONS="verify_asan_link_order=0")
        self.log = open(os.path.join(self.folder, "log"), "a")
        self.life = Life(subprocess.Popen([run.options.program], env=environment, stderr=self.log,
                                          preexec_fn=prepare_proxy))

    def signal(self, number):
        if self.life.running():
            self.life.process.send_signal(number)

    def kill(self):
        self.life.killed_at = now()
        self.life.process.kill()
        self.life.process.wait()

    def look(self):
        life = self.life
        code = life.process.poll()
        if code is not None:
            if not life.end_judged and (not life.told_to_end() or code not in (0, -signal.SIGKILL)):
                self.run.broken(f"p{self.number} ended by itself with {code}")
            life.end_judged = True
            return
        try:
            with open(f"/proc/{life.process.pid}/status") as status:
                peaks = [int(line.split()[1]) for line in status if line.startswith("VmHWM")]
        except OSError:
            return
        self.peak = max([self.peak] + peaks)
        if self.run.options.memory and not life.end_judged and max(peaks, default=0) > MEMORY_MB * 1024:
            self.run.broken(f"p{self.number} passed its memory limit: {self.peak} kB")
            life.end_judged = True

    def accepts(self):
        if not self.life.told_to_end():
            return self.life.running()
        return self.life.term_at is not None and now() < self.life.term_at + ACCEPT_AFTER_TERM


def die_with_parent():
    """Nothing outlives a soak that is interrupted."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def prepare_proxy():
    die_with_parent()
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def own_host():
    """A loopback address that no other running soak uses, so that fixed ports on it are free: it follows from
    the process's number, and no connection begins at it."""
    number = os.getpid()
    return f"127.{100 + (number >> 16) % 100}.{number >> 8 & 255}.{number & 255}"


class Run:
    def __init__(self, seed, options):
        self.seed, self.options = seed, options
        self.rng = random.Random(seed)
        self.host = own_host()
        self.folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        self.requests, self.outcomes, self.violations = {}, {}, []
        self.next_id = 0
        self.over = False
        self.recent_lags = [0.0]
        self.ticked_at = now()
        self.crowd = self.rng.random() < 0.3
        self.faults = self.rng.sample(FAULT_RULES, self.rng.randint(4, 10)) if self.rng.random() < 0.7 else []
        if self.faults and self.rng.random() < 0.5:
            hour = self.rng.choice([-3_600_000, 3_600_000, -5_000, 5_000])
            self.faults.append(f"clock_gettime:step:at={self.rng.randint(500, 4000)},by={hour}")

    def broken(self, text):
        if len(self.violations) < 20:
            self.violations.append(f"{now() - self.began:.3f} s: {text}")

    def check_attempt(self, server, request, headers, began):
        left = request.sent_at + request.timeout - began
        told = parse_timeout(headers.get("request-timeout", ""))
        if told is not None and told > max(left, 0) + DEADLINE_SLACK + self.lag:
            self.broken(f"{request.ident}: a server was told {told:.3f} s, the client has {left:.3f} s left")
        if request.gone_at is not None and began > request.gone_at + GONE_SLACK + self.lag:
            self.broken(f"{request.ident}: attempt {began - request.gone_at:.3f} s after its client closed")
        if request.rules is not None:
            self.check_rules(request, server, began)
        slow_watch = SHORTAGE if self.faults else 0  # a watch may have to be opened anew
        if server.draining and began > server.drained_at + DRAIN_GRACE + slow_watch + self.lag:
            self.broken(f"{request.ident}: sent to {server.uid}, {began - server.drained_at:.3f} s after its drain")

    def check_rules(self, request, server, began):
        rules = request.rules
        if len(request.attempts) >= rules.max_attempts:
            self.broken(f"{request.ident}: attempt {len(request.attempts) + 1}, {rules.max_attempts} are allowed")
        first = next((a for a in request.attempts if a.may_have_run), None)
        if first is None:
            return
        if not rules.joins(first, server):
            self.broken(f"{request.ident}: sent to {server.uid} after {first.server.uid}, outside its {rules.group}")
        if began > first.began + rules.window + RULE_SLACK + self.lag:
            self.broken(f"{request.ident}: sent again {began - first.began:.3f} s after the first attempt, its "
                        f"window is {rules.window} s")

    async def play(self):
        self.began = now()
        self.discovery = Discovery(self)
        self.servers = [Server(self, i) for i in range(SERVERS)]
        await self.discovery.start()
        for server in self.servers:
            await server.start()
        self.proxies = [Proxy(self, i) for i in range(PROXIES)]
        try:
            for proxy in self.proxies:
                proxy.start()
            for proxy in self.proxies:
                await self.until_ready(proxy)
            await self.serve_and_disturb()
        finally:
            for proxy in self.proxies:
                if proxy.life is not None and proxy.life.running():
                    proxy.kill()

    async def until_ready(self, proxy):
        limit = now() + 10
        while now() < limit and proxy.life.running():
            try:
                reader, writer = await asyncio.open_connection(self.host, proxy.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        proxy.look()
        self.broken(f"p{proxy.number} was not ready within 10 s of its start")
        return False

    async def serve_and_disturb(self):
        tasks = [asyncio.create_task(task) for task in
                 [self.client(proxy) for proxy in self.proxies for _ in range(CLIENTS_PER_PROXY)]
                 + [self.look(), self.measure_lag(), self.trouble_servers(), self.bad_clients()]
                 + ([self.crowd_of_idle()] if self.crowd else [])]
        disturbances = [asyncio.create_task(self.restarts(proxy)) for proxy in self.proxies]
        await asyncio.gather(*disturbances)
        self.over = True
        for task in tasks:
            try:
                await asyncio.wait_for(task, LONGEST_DEADLINE + 2)
            except asyncio.TimeoutError:
                self.broken("a task of the soak did not end")

    @property
    def lag(self):
        """The longest delay of this process's own event loop in the last second, in seconds."""
        return max(self.recent_lags + [now() - self.ticked_at - LAG_TICK])

    async def measure_lag(self):
        while not self.over:
            self.ticked_at = now()
            await asyncio.sleep(LAG_TICK)
            self.recent_lags = (self.recent_lags + [now() - self.ticked_at - LAG_TICK])[-100:]

    async def look(self):
        while not self.over:
            for proxy in self.proxies:
                proxy.look()
            await asyncio.sleep(0.05)

    # ---- Clients ----

    async def client(self, proxy):
        while not self.over:
            if not proxy.accepts():
                await asyncio.sleep(0.05)
                continue
            life = proxy.life
            try:
                reader, writer = await asyncio.open_connection(self.host, proxy.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                if proxy.life is life:  # otherwise the connection may be to its successor
                    await self.use(proxy, life, reader, writer)
            except (ConnectionError, OSError):
                pass
            finally:
                writer.close()

    async def use(self, proxy, life, reader, writer):
        """Requests on one connection, until it ends or this client closes it."""
        answered = 0
        while not self.over:
            request = self.new_request(proxy)
            leaves = self.rng.random() < 0.05
            writer.write(self.bytes_of(request))
            patience = self.rng.uniform(0, 0.03) if leaves else request.timeout + ANSWER_SLACK
            result = await self.read_answer(reader, patience + self.lag)
            if leaves and result == "nothing":
                writer.close()
                request.gone_at = now()
                return
            if result not in ("answered", "last"):
                self.judge_unanswered(proxy, life, request, result, answered)
                return
            answered += 1
            if result == "last":
                return
            await asyncio.sleep(self.rng.expovariate(1 / 0.05))

    def judge_unanswered(self, proxy, life, request, result, answered):
        if result == "wrong":
            self.broken(f"{request.ident}: the answer is not its own")
            return
        if life.killed_at is not None:
            return  # SIGKILL without notice frees what was open
        if request.executed == 0 and self.may_be_unread(request, result, answered):
            return  # the client sends it again on a new connection
        self.broken(f"{request.ident} ({request.name}) at p{proxy.number}: no answer, {result} after "
                    f"{now() - request.sent_at:.3f} s; {answered} answers before on the connection, "
                    f"{request.executed} times run, SIGTERM "
                    + ("never" if life.term_at is None else f"{now() - life.term_at:.3f} s ago")
                    + f", process {'running' if life.running() else 'ended'}")

    def may_be_unread(self, request, result, answered):
        """Whether the request crossed the end of its connection, so that the proxy cannot have read it."""
        if answered == 0:
            return self.crowd and result == "reset"  # a new connection may be shut unread if descriptors are short
        return result in ("reset", "closed") and now() - request.sent_at < CROSSING + self.lag

    def new_request(self, proxy=None):
        self.next_id += 1
        names = ["check", "pay", "open"]
        list_is_named = proxy is not None and proxy.list_named_from is not None and now() > proxy.list_named_from
        if list_is_named:
            names += ["list", "list"]
        name = self.rng.choice(names)
        timeout = self.rng.uniform(0.3, 1) * CLASSES[name][1]
        request = Request(f"r{self.seed}-{self.next_id}", name, timeout)
        request.rules = proxy.list_rules if name == "list" else None
        self.requests[request.ident] = request
        return request

    def bytes_of(self, request):
        method = CLASSES[request.name][0]
        body = b"" if method == "GET" else b"b" * self.rng.choice([0, 200, 200, 40000])
        head = (f"{method} /api?k=1 HTTP/1.1\r\nHost: x\r\nRequest-Id: {request.ident}\r\nRequest-Class: {request.name}\r\n"
                f"Request-Timeout: {int(request.timeout * 1e6)}u\r\nWork-Hint: {self.rng.randint(2000, 20000)}\r\n")
        if request.name in ("open", "list"):
            head += f"Idempotency-Key: k{request.ident}\r\n"
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        return head.encode() + b"\r\n" + body

    async def read_answer(self, reader, patience):
        try:
            return await asyncio.wait_for(self.read_whole(reader), patience)
        except asyncio.TimeoutError:
            return "nothing"
        except asyncio.IncompleteReadError as error:
            return "cut" if error.partial else "closed"
        except (ConnectionError, OSError):
            return "reset"

    async def read_whole(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        headers = parse_headers(head)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if head.startswith(b"HTTP/1.1 200") and not body.startswith(b"answer to "):
            return "wrong"
        self.outcomes[head[9:12]] = self.outcomes.get(head[9:12], 0) + 1
        return "last" if headers.get("connection", "").lower() == "close" else "answered"

    # ---- Disturbances ----

    async def restarts(self, proxy):
        end = now() + self.options.seconds
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        while now() < end:
            draw = self.rng.random()
            if draw < 0.4:
                await self.terminate(proxy)
            elif draw < 0.65:
                proxy.kill()
            else:
                await self.reload(proxy)
                continue
            await asyncio.sleep(self.rng.uniform(0, 0.5))
            proxy.list_named_from = None
            proxy.start()
            if not await self.until_ready(proxy):
                return
            if proxy.list_rules is not None:
                proxy.list_named_from = now()
            await asyncio.sleep(self.rng.uniform(0.5, 2))
        await self.terminate(proxy)

    async def reload(self, proxy):
        """Up to five SIGHUP in a row, most often with a new configuration. What is under way is not judged by it."""
        changes = self.rng.random() < 0.8
        if changes:
            proxy.list_named_from = None
            await asyncio.sleep(0.1 + self.lag)
            proxy.change_configuration()
        for _ in range(self.rng.randint(1, 5)):
            proxy.signal(signal.SIGHUP)
            await asyncio.sleep(self.rng.uniform(0, 0.05))
        signalled_at = now()
        if proxy.list_rules is not None and proxy.list_named_from is None:
            proxy.list_named_from = signalled_at + NAMED_AFTER_RELOAD
        await asyncio.sleep(NAMED_AFTER_RELOAD + self.rng.uniform(0.5, 2) if changes else 0.5)

    async def terminate(self, proxy):
        """SIGTERM, with other signals round it, and SIGKILL at the earliest time."""
        life = proxy.life
        life.term_at = now()
        proxy.signal(signal.SIGTERM)
        for _ in range(self.rng.randint(0, 4)):
            await asyncio.sleep(self.rng.uniform(0, 0.2))
            proxy.signal(self.rng.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGINT]))
        while life.running() and now() < life.term_at + KILL_AFTER_TERM:
            await asyncio.sleep(0.01)
        if life.running():
            life.process.kill()
            life.process.wait()

    async def trouble_servers(self):
        while not self.over:
            await asyncio.sleep(self.rng.uniform(0.2, 1))
            server = self.rng.choice(self.servers)
            if self.rng.random() < 0.3:
                server.hung_until = now() + self.rng.uniform(0.2, 1)
            elif sum(s.draining for s in self.servers) < 2 and not server.draining:
                server.draining, server.drained_at = True, now()
                self.discovery.change()
                asyncio.get_running_loop().call_later(1.5, self.undrain, server)

    def undrain(self, server):
        server.draining = False
        server.boot = int(time.time() * 1000)
        self.discovery.change()

    async def bad_clients(self):
        half = b"POST /api HTTP/1.1\r\nRequest-Id: bad\r\nRequest-Class: pay\r\nContent-Length: 65536\r\n\r\n" + b"x" * 65000
        refused = b"GET / HTTP/1.1\r\nRequest-Id: none\r\nRequest-Class: check\r\nRequest-Timeout: 0m\r\n\r\n"
        kinds = [b"GET /up HTTP/1.1\r\n\r\n" * 4000, refused * 1000, refused * 3000, half, b"nonsense\r\n\r\n",
                 b"GET /api HTTP/1.1\r\nRequest-Class: nobody\r\n\r\n" * 50, b"GET / HT"]
        held = []
        while not self.over:
            proxy = self.rng.choice(self.proxies)
            kind = self.rng.choice(kinds)
            behind_another = self.rng.random() < 0.5
            for _ in range(self.rng.choice([1, 1, 5, 40])):
                first = self.bytes_of(self.new_request()) if behind_another else b""
                held.append(asyncio.create_task(self.bad_client(proxy, first + kind)))
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        await asyncio.gather(*held)

    async def bad_client(self, proxy, data):
        try:
            reader, writer = await asyncio.open_connection(self.host, proxy.port)
            writer.write(data)
            await asyncio.wait_for(reader.read(-1), 3)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass

    async def crowd_of_idle(self):
        held = []
        while not self.over:
            proxy = self.rng.choice(self.proxies)
            for _ in range(60):
                try:
                    held.append((await asyncio.open_connection(self.host, proxy.port))[1])
                except OSError:
                    break
            if len(held) > 1500:
                for writer in held[:500]:
                    writer.close()
                held = held[500:]
            await asyncio.sleep(0.1)
        for writer in held:
            writer.close()


def parse_timeout(text):
    units = {"m": 1e-3, "u": 1e-6}
    return int(text[:-1]) * units[text[-1]] if text and text[-1] in units else None


def play(seed, options):
    run = Run(seed, options)
    asyncio.run(run.play())
    traits = ("crowd " if run.crowd else "") + (f"{len(run.faults)} fault rules" if run.faults else "no failing calls")
    counts = " ".join(f"{status.decode()}:{count}" for status, count in sorted(run.outcomes.items()))
    peak = max(proxy.peak for proxy in run.proxies)
    print(f"seed {seed}: {'BROKEN' if run.violations else 'kept'}; {traits}; {len(run.requests)} requests, {counts}; "
          f"peak memory {peak} kB", flush=True)
    for violation in run.violations:
        print(f"  {violation}", flush=True)
    if options.keep:
        shutil.copytree(run.folder, os.path.join(options.keep, f"seed-{seed}"), dirs_exist_ok=True)
    shutil.rmtree(run.folder)
    return not run.violations


def seeds_of(text):
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--program", required=True)
    parser.add_argument("--faults", required=True)
    parser.add_argument("--seeds", type=seeds_of, default=seeds_of("1-6"))
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--parallel", type=int, default=3)
    parser.add_argument("--keep")
    parser.add_argument("--no-memory", dest="memory", action="store_false",
                        help="the program has sanitizers, whose memory is not its own")
    options = parser.parse_args()
    if len(options.seeds) == 1:
        return 0 if play(options.seeds[0], options) else 1
    return play_side_by_side(options)


def play_side_by_side(options):
    """Each seed in a process of its own, so that runs don't delay each other's event loops."""
    waiting, running, failed = list(options.seeds), {}, []
    own = sys.argv[1:]
    while waiting or running:
        while waiting and len(running) < options.parallel:
            seed = waiting.pop(0)
            running[seed] = subprocess.Popen([sys.executable, __file__] + own + ["--seeds", str(seed)],
                                             preexec_fn=die_with_parent)
        for seed, process in list(running.items()):
            if process.poll() is not None:
                del running[seed]
                if process.returncode != 0:
                    failed.append(seed)
        time.sleep(0.05)
    print(f"{len(options.seeds) - len(failed)} passed, {len(failed)} failed" + (f": seeds {failed}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
