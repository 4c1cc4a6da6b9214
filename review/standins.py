"""Stand-ins for the cases of this review: plan servers, discovery, clients and the platform, on loopback.

They follow the protocol page. Everything that is sent, answered and run is written to `record.txt` of the case.
Needs Python 3.9 or later and its standard library.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic()


def deploy_command(key):
    """The command `key` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            name, _, value = line.partition("=")
            if name.strip() == key:
                return value.strip().strip('"')
    raise RuntimeError(f"the deploy file has no {key}")


def listening_socket():
    """The clients' listening socket, where the platform holds it. Its number is not 3 here."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(512)
    return listener


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """record.txt: what happened, with times since the start of the case."""

    def __init__(self, folder):
        self.began = now()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.closed = False

    def __call__(self, text):
        if not self.closed:
            self.file.write(f"{now() - self.began:9.4f} {text}\n")

    def close(self):
        self.closed = True
        self.file.close()


async def read_head(reader):
    """(time of the first byte, start line, headers) of a message."""
    first = await reader.readexactly(1)
    at = now()
    head = first + await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return at, lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Attempt:
    """One request that arrived whole at a plan server."""

    def __init__(self, server, ident, key, first_byte, last_byte):
        self.server, self.ident, self.key = server, ident, key
        self.first_byte, self.last_byte = first_byte, last_byte
        self.outcome = "none"
        self.may_have_run = True


class PlanServer:
    """Runs what arrives, for `work` seconds, and answers. `fails(now)`: whether it answers a request that it has
    run with 500; `hangs(now)`: whether it takes requests and answers none."""

    def __init__(self, record, uid, zone, cell, work=0.03):
        self.record, self.uid, self.zone, self.cell, self.work = record, uid, zone, cell, work
        self.state, self.boot_ms = "up", 0
        self.fails = lambda at: False
        self.hangs = lambda at: False
        self.attempts = []  # all that arrived, in order
        self.partial = 0

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]

    def entry(self):
        return {"uid": self.uid, "endpoint": f"127.0.0.1:{self.port}", "az": self.zone, "model": "standard",
                "pod_group": self.cell, "state": self.state, "capacity_hint": 4.0, "boot_ms": self.boot_ms}

    async def serve(self, reader, writer):
        try:
            while True:
                first, line, headers = await read_head(reader)
                await read_body(reader, headers)
                if not await self.answer(Attempt(self, headers.get("request-id", ""),
                                                 headers.get("idempotency-key"), first, now()), writer):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, attempt, writer):
        self.attempts.append(attempt)
        self.record(f"server {self.uid}: request {attempt.ident} arrived")
        if self.hangs(now()):
            attempt.outcome = "hung"
            await asyncio.sleep(30)
            return False
        await asyncio.sleep(self.work)
        if self.fails(now()):
            attempt.outcome = "500"
            body, status = b"failed", "500 Error"
        else:
            attempt.outcome = "200"
            body, status = f"{attempt.ident} by {self.uid}".encode(), "200 OK"
        self.record(f"server {self.uid}: request {attempt.ident} has run, answers {attempt.outcome}")
        writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return True


class Discovery:
    """The list of plan servers: whole, or a watch on its changes."""

    def __init__(self, record, servers):
        self.record, self.servers = record, servers
        self.rev = 41
        self.changed_at = {}  # uid: revision of its last change
        self.news = asyncio.Event()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]

    def list(self, after=None):
        entries = [s.entry() for s in self.servers if after is None or self.changed_at.get(s.uid, 0) > after]
        return {"rev": self.rev, "all": after is None, "targets": entries}

    def changed(self, server):
        self.rev += 1
        self.changed_at[server.uid] = self.rev
        self.record(f"discovery: revision {self.rev}: {server.uid} is {server.state}")
        self.news.set()
        self.news = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                _, line, headers = await read_head(reader)
                target = line.split(" ")[1]
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if "=" in pair)
                after = int(query["after"]) if "after" in query else None
                if after is not None and after >= self.rev:
                    try:
                        await asyncio.wait_for(self.news.wait(), int(query.get("wait_ms", 0)) / 1000)
                    except asyncio.TimeoutError:
                        pass
                body = json.dumps(self.list(after)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Request:
    """One request of a client."""

    def __init__(self, ident, name):
        self.ident, self.name = ident, name
        self.sent_at = None   # its last byte was written
        self.status = None    # of its answer
        self.body = b""
        self.answered_at = None
        self.lost = None      # why it got no answer

    def attempts(self, servers):
        found = [a for s in servers for a in s.attempts if a.ident == self.ident]
        return sorted(found, key=lambda a: a.last_byte)


class Clients:
    """Open-loop clients of one address, on connections that they keep, one request at a time on each."""

    def __init__(self, record, port, seed):
        self.record, self.port = record, port
        self.rng = random.Random(seed)
        self.idle = []
        self.requests = []
        self.tasks = set()
        self.count = 0

    def issue(self, name, method, timeout_ms, keyed=False, hint_us=30000):
        self.count += 1
        request = Request(f"{self.rng.getrandbits(64):016x}", name)
        self.requests.append(request)
        task = asyncio.create_task(self.run(request, method, timeout_ms, keyed, hint_us))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return request

    async def run(self, request, method, timeout_ms, keyed, hint_us):
        body = b"" if method == "GET" else b"x" * 100
        head = (f"{method} /api?k={self.rng.getrandbits(64):016x} HTTP/1.1\r\nHost: origin.svc\r\n"
                f"Request-Id: {request.ident}\r\nRequest-Class: {request.name}\r\n"
                f"Request-Timeout: {timeout_ms}m\r\nWork-Hint: {hint_us}\r\n")
        if keyed:
            head += f"Idempotency-Key: {self.rng.getrandbits(128):032x}\r\n"
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        message = head.encode() + b"\r\n" + body
        for again in (False, True):  # a closed connection that crosses the request: once more on a new one
            reader = writer = None
            try:
                while self.idle and not again:
                    reader, writer = self.idle.pop()
                    if not reader.at_eof():
                        break
                    writer.close()
                    reader = writer = None
                reused = reader is not None
                if not reused:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                request.sent_at = now()
                writer.write(message)
                self.record(f"client: sends {request.ident} ({request.name})")
                await asyncio.wait_for(self.receive(request, reader, writer), timeout_ms / 1000 + 0.6)
                return
            except asyncio.TimeoutError:
                request.lost = "no answer in time"
                self.record(f"client: {request.ident}: no answer in time")
                writer.close()
                return
            except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
                if writer is not None:
                    writer.close()
                if again or not reused:
                    request.lost = f"connection ended: {type(error).__name__}"
                    self.record(f"client: {request.ident}: {request.lost}")
                    return

    async def receive(self, request, reader, writer):
        _, line, headers = await read_head(reader)
        request.body = await read_body(reader, headers)
        request.answered_at = now()
        request.status = int(line.split(" ")[1])
        self.record(f"client: {request.ident} answered {request.status}")
        if headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))

    async def finish(self):
        while self.tasks:
            await asyncio.wait(set(self.tasks))
        for _, writer in self.idle:
            writer.close()


class Platform:
    """Starts, signals and ends proxies."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []

    def write(self, name, config):
        path = os.path.join(self.folder, name)
        with open(path + ".new", "w") as file:
            json.dump(config, file)
        os.replace(path + ".new", path)
        return path

    def start(self, label, config_path, tmpdir, extra=None, clients_socket=None):
        """With `clients_socket`, that is handed over as descriptor 3."""
        environment = dict(os.environ, BALANCER_CONFIG=config_path, TMPDIR=tmpdir)
        environment.update(extra or {})
        hand_over = None
        if clients_socket is not None:
            environment["BALANCER_SOCKET_FD"] = "3"

            def hand_over():
                os.dup2(clients_socket.fileno(), 3)
        log = open(os.path.join(self.folder, f"{label}.log"), "wb")
        process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=environment,
                                   stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=hand_over,
                                   pass_fds=() if clients_socket is None else (3,))
        log.close()
        process.label = label
        self.processes.append(process)
        self.record(f"platform: starts {label}, process {process.pid}")
        return process

    def signal(self, process, number):
        self.record(f"platform: sends {signal.Signals(number).name} to {process.label}")
        if process.poll() is None:
            process.send_signal(number)

    def log_of(self, label):
        with open(os.path.join(self.folder, f"{label}.log"), errors="replace") as file:
            return file.read()

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for process in self.processes:
            self.record(f"log of {process.label}, which ended with {process.returncode}:")
            for line in self.log_of(process.label).splitlines():
                self.record(f"    {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


async def ask(port, method, target, patience=1.0):
    """Status of one call on a connection of its own; 0: no answer."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), patience)
        try:
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            _, line, _ = await asyncio.wait_for(read_head(reader), patience)
            return int(line.split(" ")[1])
        finally:
            writer.close()
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return 0


async def until_yes(port, target, limit):
    end = now() + limit
    while now() < end:
        if 200 <= await ask(port, "GET", target) < 300:
            return True
        await asyncio.sleep(0.05)
    return False


def settings(zones, classes, **changes):
    """The settings as one instance gets them, with the figures of the wire page."""
    base = {
        "balancers": 2, "callers": {"marksRetry": True}, "classes": classes,
        "costs": {"connection": 0.0, "crossZone": 0.02, "handshake": 0.08, "lateFail": 0.041, "moves": 0.0,
                  "origin": 0.0, "peer": 0.0, "probe": 0.01, "registryMode": 0.0, "waste": 0.2},
        "countedBy": "work", "family": "proxy", "familyInfo": {"warmKeys": True},
        "goal": {"whole": 0.8, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.1},
        "invariants": {"askEvery": 10000000, "cold": 22000000, "fall": 2000000, "graceToAnswer": 20000,
                       "startCapacity": 0.13, "stopSendingWithin": 3000000, "tipMultiple": 2.5},
        "kinds": ["fast", "standard", "small"], "layer": 0, "layers": ["plan-servers"],
        "limits": {"connIdle": 15000000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 1200000, "dialTimeout": 250000,
                   "maxAttempts": 5, "maxRetryAfter": 2000000, "mayCancel": True, "mostHeld": 30000,
                   "peers": False, "probing": True, "retryAfter": True, "secondCopies": True,
                   "streamsPerConn": 1},
        "me": 0, "overShareWorth": 0.1, "registryMode": "ask", "report": {"columns": [], "source": "off"},
        "tenants": [], "tick": 5000, "weights": "rough", "zone": 0, "zones": zones}
    base.update(changes)
    return base


def request_class(name, effect, aim_ms, give_up_ms, worth, group="all", window_ms=5000):
    return {"name": name, "aim": aim_ms * 1000, "effect": effect, "giveUp": give_up_ms * 1000, "group": group,
            "lateWorth": 0.5, "stream": False, "window": window_ms * 1000, "worth": worth}


def config(name, port, discovery, classes, zones, console=None, **changes):
    whole = {"name": name, "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}",
             "seed": f"{random.getrandbits(64):016x}",
             "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
             "known": discovery.list(), "settings": settings(zones, classes, **changes)}
    if console is not None:
        whole["console"] = f"127.0.0.1:{console}"
    return whole


def run_case(folder, play):
    """Runs a case; its exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run."""
    record = Record(folder)
    platform = Platform(record)
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        record(f"the case runs {'with' if TROUBLE else 'without'} its disruption")
        broken, summary = asyncio.run(asyncio.wait_for(play(record, platform), 110))
        code = 1 if broken else 0
        for line in summary + ["the rule was broken" if broken else "the rule held"]:
            record(line)
            print(line)
    except Exception as error:  # any failure of the case itself
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
    finally:
        platform.end()
        record.close()
    sys.exit(code)
