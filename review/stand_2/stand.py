"""Stand-ins of the second review: discovery, plan servers, clients and the platform, from the protocol pages.

Only the standard library is used. Every address is a loopback address, ports are free ones, files of a run lie
in a temporary folder. The proxy is started with the command `run` of deploy/balancer.toml, by /bin/sh -c from
the root of the repository.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    pass


class Record:
    """Lines of record.txt: seconds since the start, then what happened."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.time()
        self.say("started %s, TROUBLE=%d" % (time.strftime("%Y-%m-%d %H:%M:%S"), TROUBLE))

    def say(self, text):
        self.file.write("%9.4f %s\n" % (time.time() - self.start, text))

    def both(self, text):
        self.say(text)
        self.file.flush()
        print(text, flush=True)


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def deploy_command(name):
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as f:
        found = re.search(r'^%s\s*=\s*"(.*)"\s*(#.*)?$' % name, f.read(), re.M)
    if not found:
        raise CannotRun("deploy/balancer.toml has no " + name)
    return found.group(1)


# The three classes of nairobi-main, with the figures of WIRE's example; times in microseconds.
CLASSES = [
    {"name": "limit-check", "effect": "free", "aim": 1200000, "giveUp": 2500000, "group": "all",
     "window": 5000000, "lateWorth": 0.3, "worth": 3.0, "stream": False},
    {"name": "plan-open", "effect": "guarded", "aim": 1500000, "giveUp": 4000000, "group": "cell",
     "window": 4000000, "lateWorth": 0.5, "worth": 5.0, "stream": False},
    {"name": "instalment-pay", "effect": "single_shot", "aim": 1500000, "giveUp": 3000000, "group": "all",
     "window": 5000000, "lateWorth": 0.5, "worth": 8.0, "stream": False},
]


def settings(classes=None, balancers=1, zone=0, me=0):
    return {
        "balancers": balancers,
        "callers": {"marksRetry": True},
        "classes": classes if classes is not None else CLASSES,
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
        "me": me, "overShareWorth": 0.1, "registryMode": "ask", "report": {"columns": [], "source": "off"},
        "tenants": [], "tick": 5000, "weights": "rough", "zone": zone, "zones": ["westlands", "upper-hill"],
    }


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status, body=b"", headers=""):
    reason = {200: "OK", 500: "Internal Server Error", 503: "Service Unavailable"}.get(status, "Status")
    return ("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n" % (status, reason, len(body), headers)).encode() + body


class Request:
    def __init__(self, line, headers, body):
        self.method, self.target, _ = line.split(" ", 2)
        self.headers, self.body = headers, body
        self.id = headers.get("request-id", "")
        self.at = time.time()


class PlanServer:
    """Begins each request once its last byte has come. `serve(server, request, writer)` writes the answer."""

    def __init__(self, uid, serve, record, pod=0, zone="westlands", capacity=4.0):
        self.uid, self.serve, self.record = uid, serve, record
        self.pod, self.zone, self.capacity = pod, zone, capacity
        self.state, self.boot_ms, self.begun = "up", 0, []
        self.server, self.port, self.endpoint, self.writers = None, 0, "", set()

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        self.endpoint = "127.0.0.1:%d" % self.port

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                request = Request(line, headers, await read_body(reader, headers))
                request.reader = reader
                if request.target.split("?")[0] in ("/alive", "/metrics/load"):
                    writer.write(answer(200))
                    continue
                self.begun.append(request)
                self.record.say("%s begins %s" % (self.uid, request.id))
                await self.serve(self, request, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def entry(self):
        return {"uid": self.uid, "endpoint": self.endpoint, "az": self.zone, "model": "fast",
                "pod_group": self.pod, "state": self.state, "capacity_hint": self.capacity,
                "boot_ms": self.boot_ms}


class Discovery:
    """The whole list, and watches on it. A watch is answered when there is something newer, or when its wait ends."""

    def __init__(self, servers, record):
        self.servers, self.record = servers, record
        self.rev, self.changed = 41, asyncio.Event()
        self.last = {}
        self.server, self.address = None, ""

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def list(self):
        return {"rev": self.rev, "all": True, "targets": [s.entry() for s in self.servers]}

    def change(self):
        self.rev += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def on_connection(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                target = line.split(" ")[1]
                after, wait = (re.search(r"%s=(\d+)" % n, target) for n in ("after", "wait_ms"))
                reply = self.list()
                if after:
                    if int(after.group(1)) >= self.rev and wait:
                        try:
                            await asyncio.wait_for(self.changed.wait(), int(wait.group(1)) / 1000)
                        except asyncio.TimeoutError:
                            pass
                    reply = self.list()
                    if int(after.group(1)) >= self.rev:
                        reply = {"rev": self.rev, "all": False, "targets": []}
                writer.write(answer(200, json.dumps(reply).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Proxy:
    """One real proxy, started and stopped as the platform does."""

    def __init__(self, run, name="n0", sockets=1024, memory_mb=192, **setting_options):
        self.run, self.name, self.port = run, name, free_port()
        self.listen = "127.0.0.1:%d" % self.port
        self.folder = os.path.join(run.folder, name)
        self.tmp = os.path.join(self.folder, "tmp")
        os.makedirs(self.tmp)
        self.config = {
            "name": name, "listen": self.listen, "discovery": run.discovery.address,
            "seed": "%016x" % random.getrandbits(64),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": run.discovery.list(), "settings": settings(**setting_options)}
        self.log_path = os.path.join(self.folder, "log.txt")
        self.process = None

    def write_config(self):
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as f:
            json.dump(self.config, f)
        os.replace(path + ".new", path)
        return path

    def start(self, extra_env=None, pass_fds=()):
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": self.tmp, "HOME": self.tmp,
               "BALANCER_NAME": self.name, "BALANCER_LISTEN": self.listen,
               "BALANCER_DISCOVERY": self.run.discovery.address, "BALANCER_CONFIG": self.write_config()}
        env.update(extra_env or {})
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=env,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log, pass_fds=pass_fds)
        self.run.processes.append(self.process)
        self.run.record.say("proxy %s started as process %d" % (self.name, self.process.pid))

    async def wait_ready(self, seconds=30):
        end = time.time() + seconds
        while time.time() < end:
            if self.process.poll() is not None:
                raise CannotRun("proxy %s ended at its start: %s" % (self.name, self.log_tail()))
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                line, _ = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if " 200 " in line:
                    return
            except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("proxy %s isn't ready after %d s" % (self.name, seconds))

    def log_tail(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as f:
            return " | ".join(f.read().splitlines()[-4:])

    def signal(self, number):
        self.run.record.say("signal %s to proxy %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def copy_log(self):
        self.run.record.say("---- log of proxy %s" % self.name)
        with open(self.log_path, encoding="utf-8", errors="replace") as f:
            self.run.record.file.write(f.read()[-20000:])


class Run:
    """What a case starts; ends all of it."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes, self.proxies, self.discovery = [], [], None

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for proxy in self.proxies:
            if os.path.exists(proxy.log_path):
                proxy.copy_log()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.file.close()


def new_id():
    return "%016x" % random.getrandbits(64)


def request_bytes(class_name, request_id, timeout_ms, hint_us=None, key=None, body=b"", subject=None, extra=""):
    effect = next(c["effect"] for c in CLASSES if c["name"] == class_name)
    method = "GET" if effect == "free" else "POST"
    head = "%s /api%s HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n" % (
        method, "?k=" + subject if subject else "", request_id, class_name)
    head += "Request-Timeout: %dm\r\n" % timeout_ms
    if hint_us:
        head += "Work-Hint: %d\r\n" % hint_us
    if effect == "guarded":
        head += "Idempotency-Key: %s\r\n" % (key or new_id() + new_id())
    if method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    return (head + extra + "\r\n").encode() + body


def main(case_file, body):
    """Runs `body(run)`, a coroutine that returns HELD or BROKEN."""
    run = Run(os.path.dirname(os.path.abspath(case_file)))

    async def limited():
        return await asyncio.wait_for(body(run), 112)

    result = CANNOT_RUN
    try:
        result = asyncio.run(limited())
    except CannotRun as e:
        run.record.both("cannot run: %s" % e)
    except Exception as e:  # a fault of the script says nothing about the rule
        run.record.both("cannot run: %s: %s" % (type(e).__name__, e))
        import traceback
        run.record.say(traceback.format_exc())
    run.record.both("exit code %d: %s" % (result, {HELD: "the rule held", BROKEN: "the rule was broken",
                                                   CANNOT_RUN: "the case could not run"}[result]))
    run.end()
    sys.stdout.flush()
    os._exit(result)  # open streams are left to the system
