"""Stand-ins of the platform, backend servers and clients, for the scripts beside this folder.

They speak what PROTOCOL.md says: the platform's store (listings, watches, conditional
writes), backend servers with slots, a queue and their registration, and clients with
connections of their own. All run in one asyncio loop; the gateways are real processes.
"""
import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
GATEWAY = os.path.join(ROOT, "target", "release", "wisteria-gateway")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEGUN = time.monotonic()

# Figures of a small deployment (SYSTEM.md, DEPLOY.md).
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
BUDGET_RATIO, BUDGET_SLACK, BUDGET_WINDOW_S = 0.2, 88, 10.0
MEMORY_MB, DESCRIPTORS = 260, 4200
HEARTBEAT_S = 1.2
# A script ends by itself after this time.
LIMIT_S = 118.0


class CannotRun(Exception):
    """The case couldn't run; says nothing about the rule."""


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - BEGUN


class Record:
    """Lines of record.txt: time, what, details."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def line(self, text):
        self.file.write(f"{now():8.3f} {text}\n")


def free_port(host, taken=()):
    """A port that nobody uses at `host`, and none of those `taken`."""
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            port = probe.getsockname()[1]
        if port not in taken:
            return port


# HTTP ------------------------------------------------------------------------------------

async def read_head(reader):
    """First line and headers (lower-case names), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    size = int(head[1].get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return method, target, head[1], body


def encode(first, headers, body):
    lines = [first, f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_answer(reader):
    """Status, headers, body and whether it is complete; None if no head arrived."""
    head = await read_head(reader)
    if head is None:
        return None
    status, headers = int(head[0].split(" ")[1]), head[1]
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    return status, headers, body, True
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return status, headers, body, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return status, headers, body, False


# Store -----------------------------------------------------------------------------------

class Store:
    """The platform's store."""

    def __init__(self, record):
        self.record, self.revision, self.objects, self.history = record, 1, {}, []
        self.changed = asyncio.Condition()
        self.on_call = None

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, specification):
        """A write of the operator or a backend server. One that changes nothing but
        `sequence` is no change."""
        known = self.objects.get((kind, name))
        plain = lambda spec: {k: v for k, v in spec.items() if k != "sequence"}
        if known and plain(known["specification"]) == plain(specification):
            return self.revision
        async with self.changed:
            self._write(kind, name, specification)
            self.changed.notify_all()
            return self.revision

    async def delete(self, kind, name):
        async with self.changed:
            found = self.objects.pop((kind, name), None)
            if found:
                self.revision += 1
                found = json.loads(json.dumps(found))
                found["metadata"]["revision"] = self.revision
                self.history.append((self.revision, kind, found, True))
                self.changed.notify_all()

    def _write(self, kind, name, specification):
        self.revision += 1
        created = self.objects.get((kind, name), {"metadata": {}})["metadata"].get("created_rev", self.revision)
        found = {
            "metadata": {"name": name, "revision": self.revision, "created_rev": created,
                         "finalizers": [], "deleting": False},
            "specification": specification, "status": None,
        }
        self.objects[(kind, name)] = found
        self.history.append((self.revision, kind, found, False))
        return found

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                status, body = await self.answer(request, writer)
                text = json.dumps(body).encode()
                headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
                writer.write(encode(f"HTTP/1.1 {status} x", headers, text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        method, target, _, body = request
        path, _, query = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.removeprefix("/api/objects/").split("/")
        kind, name = parts[0], (parts[1] if len(parts) > 1 else None)
        if self.on_call:
            await self.on_call(method, kind, query, writer)
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, None)
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
        if method == "GET":
            items = [found for (k, _), found in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "has_more": False, "store_revision": self.revision}
        sent = json.loads(body or b"null")
        async with self.changed:
            name_ = name or sent["metadata"]["name"]
            known = self.objects.get((kind, name_))
            revision = sent["metadata"].get("revision")
            if method == "POST" and known:
                return 409, known
            if method == "PUT" and (not known or revision not in (None, known["metadata"]["revision"])):
                return (409, known) if known else (404, None)
            found = self._write(kind, name_, sent["specification"])
            self.changed.notify_all()
            return 200, found

    async def watch(self, kind, since, wait_ms):
        if since > self.revision:
            return 410, None
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"object": found, "deleted": deleted}
                      for at, k, found, deleted in self.history if at > since and k == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# Backend servers -------------------------------------------------------------------------

class Worker:
    """A plain backend server with slots and a queue, registered in the store.

    After a crash it is back `outage_s` later at its address, under another identifier."""

    started = 0

    def __init__(self, store, record, service, zone, host, slots=6, queue=24, work_s=0.03,
                 outage_s=2.0, answer=None, quiet=False):
        self.store, self.record, self.service, self.zone, self.host = store, record, service, zone, host
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.outage_s = outage_s
        self.answer = answer or (lambda target, body: body)
        self.quiet = quiet
        self.port, self.up, self.state = 0, False, "ready"
        self.reached, self.runs, self.finished, self.crashes, self.broken = [], [], [], [], []

    async def start(self):
        Worker.started += 1
        self.name = f"i-{Worker.started:08x}"
        self.born, self.state = int(time.time() * 1000), "ready"
        self.running, self.waiting, self.writers = 0, 0, set()
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.up = True
        await self.register()

    async def register(self):
        await self.store.put("servers", self.name, {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
            "sequence": 1, "born": self.born})

    async def crash(self):
        """Ends at once and comes back. The store drops its entry after three heartbeats."""
        if not self.up:
            return
        self.up = False
        self.crashes.append(now())
        self.broken += list(self.active())
        self.record.line(f"crash of {self.name}, {self.running} requests at work")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        gone = self.name
        loop = asyncio.get_running_loop()
        loop.create_task(self.expire(gone))
        loop.create_task(self.come_back())

    async def expire(self, gone):
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.delete("servers", gone)

    async def come_back(self):
        await asyncio.sleep(self.outage_s)
        await self.start()

    def active(self):
        return [run for run in self.runs if run[0] == self.name and run[3] is None]

    async def serve(self, reader, writer):
        name = self.name
        self.writers.add(writer)
        try:
            while self.up and name == self.name:
                request = await read_request(reader)
                if request is None:
                    return
                if not await self.respond(request, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, request, writer):
        _, target, headers, body = request
        attempt = headers.get("attempt-id", "")
        common = [("Attempt-Id", attempt), ("Server-Load", f"{self.running},{self.waiting},{self.slots}")]
        if headers.get("expected-instance", self.name) != self.name:
            writer.write(encode("HTTP/1.1 421 x", common, b""))
            await writer.drain()
            return True
        self.reached.append((now(), attempt, target, body))
        if self.waiting >= self.queue:
            writer.write(encode("HTTP/1.1 503 x", common + [("Not-Executed", "1")], b""))
            await writer.drain()
            return True
        name = self.name
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            if not self.up or name != self.name:
                return False
            run = [name, attempt, now(), None]
            self.runs.append(run)
            if not self.quiet:
                self.record.line(f"{name} runs {attempt} {target}")
            self.running += 1
            try:
                await asyncio.sleep(self.work_s)
                run[3] = now()
            finally:
                self.running -= 1
        if not self.up or name != self.name:
            return False
        self.finished.append(attempt)
        writer.write(self.success(attempt, target, body, common))
        await writer.drain()
        return True

    def success(self, attempt, target, body, common):
        """The answer to a request that has run."""
        stamp = [("Response-Stamp", f"{self.name}.{attempt}"), ("Keep-Alive", "timeout=10")]
        return encode("HTTP/1.1 200 OK", common + stamp, self.answer(target, body))


class CrashingWorker(Worker):
    """A backend server that crashes soon after it has begun to run a request for `target`."""

    CRASH_AFTER_S = 0.015

    def __init__(self, *args, target=None, **kwargs):
        super().__init__(*args, **kwargs)
        self.target = target

    async def respond(self, request, writer):
        _, target, headers, body = request
        if self.target is None or target != self.target or headers.get("expected-instance") != self.name:
            return await super().respond(request, writer)
        attempt = headers["attempt-id"]
        self.reached.append((now(), attempt, target, body))
        self.runs.append([self.name, attempt, now(), None])
        self.record.line(f"{self.name} runs {attempt} {target}")
        await asyncio.sleep(self.CRASH_AFTER_S)
        await self.crash()
        return False


# Gateways --------------------------------------------------------------------------------

class Gateway:
    """A gateway process."""

    def __init__(self, name, zone, host, store, link_port, seeds, folder, **changes):
        self.name, self.host, self.folder = name, host, folder
        ports = [link_port]
        for _ in range(3):
            ports.append(free_port(host, ports))
        _, self.listen, self.ready, self.operations = ports
        # As deploy/entry.json.tmpl, with the bounds of the small deployments.
        self.settings = {
            "name": name, "zone": zone, "listen": f"{host}:{self.listen}",
            "ready": f"{host}:{self.ready}", "operations": f"{host}:{self.operations}",
            "link": f"{host}:{link_port}", "seeds": seeds, "store": store.address,
            "limits": {"retry_ratio": BUDGET_RATIO, "retry_slack": BUDGET_SLACK,
                       "retry_window_ms": BUDGET_WINDOW_S * 1000},
            "holds": {"zone_ms": 20000, "heartbeat_ms": HEARTBEAT_S * 1000},
            "freshness": {"config_ms": 2000, "server_ms": DRAIN_S * 1000, "zone_ms": 5000},
            "memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS, "grace_ms": 8000,
        }
        self.settings.update(changes)
        self.process = None

    def start(self):
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w") as file:
            json.dump(self.settings, file)
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen([GATEWAY, "--settings", path], stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log, env=environment)
        log.close()

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def end(self):
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        answer = await call(self.host, self.ready, "GET", "/api/readiness", [("Host", "ready")], b"", 1.0)
        return answer is not None and answer[0] == 200


def resident_mb(front):
    """Resident memory of a gateway's process, 0 if it has ended."""
    try:
        with open(f"/proc/{front.process.pid}/status") as file:
            sizes = [line.split()[1] for line in file if line.startswith("VmRSS:")]
    except OSError:
        sizes = []
    return int(sizes[0]) / 1024 if sizes else 0.0


def gateways(count, store, folder, zones, **changes):
    """`count` gateways with loopback addresses of their own, which are seeds of each other."""
    hosts = [f"127.0.0.{11 + index}" for index in range(count)]
    for _ in range(50):
        link_port = free_port(hosts[0])
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, link_port))
            break
        except OSError:
            continue
    seeds = [f"{host}:{free_port(host)}" for host in hosts[:3]]
    return [Gateway(f"front-{index + 1}", zones[index % len(zones)], host, store, link_port, seeds, folder, **changes)
            for index, host in enumerate(hosts)]


async def wait_until(condition, limit_s, what):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise CannotRun(f"{what}: not within {limit_s} s")


async def start_all(fronts):
    for front in fronts:
        front.start()
    for front in fronts:
        await wait_until(front.is_ready, 20, f"{front.name} is ready")


# Clients ---------------------------------------------------------------------------------

async def call(host, port, method, target, headers, body, limit_s):
    """One request on a new connection. None if there is no answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), min(limit_s, 1.0))
        writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
        await writer.drain()
        return await asyncio.wait_for(read_answer(reader), limit_s)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


class Client:
    """A client with a kept connection to one gateway."""

    def __init__(self, front, host, key):
        self.front, self.host, self.key, self.reader, self.writer = front, host, key, None, None

    async def send(self, attempt, method, target, body, deadline_ms, extra=()):
        headers = [("Host", self.host), ("Attempt-Id", attempt), ("Deadline-Ms", deadline_ms),
                   ("Authorization", f"Bearer {self.key}"), *extra]
        try:
            if self.writer is None or self.writer.is_closing() or self.reader.at_eof():
                opening = asyncio.open_connection(self.front.host, self.front.listen)
                self.reader, self.writer = await asyncio.wait_for(opening, 1.0)
            self.writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            await self.writer.drain()
            answer = await asyncio.wait_for(read_answer(self.reader), deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError):
            answer = None
        if answer is None or answer[1].get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None


def service_route(name, host, prefix, kind, service, timeout_ms, target_ms, attempts=2):
    return {"name": name, "host": host, "path_prefix": prefix, "kind": kind, "service": service,
            "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 2,
            "max_attempts": attempts}


def main(folder, play):
    """Runs `play(record, scratch, fronts)`, which returns whether the rule held, and exits."""
    record = Record(os.path.join(folder, "record.txt"))
    fronts, ending = [], threading.Lock()
    scratch = tempfile.mkdtemp(prefix="review-")

    def finish(code, reason=None):
        """Ends all that was started, and the script, whatever the event loop still does."""
        ending.acquire()
        for front in fronts:
            front.end()
        if reason is not None:
            record.line(f"couldn't run: {reason}")
        record.line(f"exit code {code}")
        print(f"exit code {code}", flush=True)
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(scratch, ignore_errors=True)
        os._exit(code)

    async def run():
        try:
            if not os.access(GATEWAY, os.X_OK):
                raise CannotRun("the gateway isn't built")
            held = await play(record, scratch, fronts)
        except (CannotRun, OSError) as error:
            finish(2, repr(error))
        finish(0 if held else 1)

    signal.signal(signal.SIGTERM, lambda *_: ending.locked() or finish(2, "stopped"))
    watchdog = threading.Timer(LIMIT_S, finish, (2, f"not done after {LIMIT_S} s"))
    watchdog.daemon = True
    watchdog.start()
    try:
        asyncio.run(run())
    finally:
        finish(2, "failed")
