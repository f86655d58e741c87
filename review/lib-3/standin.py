"""Stand-ins of the platform, its back ends and its clients, and control of the
project's own processes. Only the standard library is used, and only loopback
addresses."""

import asyncio
import atexit
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


# HTTP/1.1


class Message:
    """A request or an answer. Header names are in lower case."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Reads a head, or returns None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, message):
    if "chunked" in message.headers.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if size == 0:
                break
        message.body = b"".join(parts)
    elif "content-length" in message.headers:
        message.body = await reader.readexactly(int(message.headers["content-length"]))
    return message


def encode(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    if not any(name.lower() in ("transfer-encoding", "content-length") for name, _ in headers):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP server. `handle(request, writer)` writes the answer and returns
    whether the connection is kept."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        self.writers = set()
        self.server = None
        self.on_malformed = lambda line: None

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 22)
        if self.port == 0:
            self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                if not re.fullmatch(r"\S+ \S+ HTTP/1\.[01]", request.first):
                    self.on_malformed(request.first)
                    writer.write(encode("HTTP/1.1 400 Bad Request", [("Connection", "close")]))
                    await writer.drain()
                    break
                await read_body(reader, request)
                if not await self.handle(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Stops listening and resets all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# The platform's store


class Store:
    """The platform's store, as PROTOCOL.md describes it."""

    def __init__(self, ip, port, page=500):
        self.page = page
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.server = Server(ip, port, self.handle)

    @property
    def address(self):
        return self.server.address

    async def start(self):
        await self.server.start()
        return self

    def put(self, kind, name, specification):
        """Writes an object, as the operator and the back ends do."""
        present = self.objects.get((kind, name))
        if present and present["specification"] == specification:
            return present
        self.revision += 1
        created = present["metadata"]["created_rev"] if present else self.revision
        found = {
            "metadata": {
                "name": name, "revision": self.revision, "created_rev": created,
                "finalizers": [], "deleting": False,
            },
            "specification": specification,
            "status": None,
        }
        self.objects[kind, name] = found
        self.note(kind, found, False)
        return found

    def delete(self, kind, name):
        found = self.objects.pop((kind, name), None)
        if found:
            self.revision += 1
            found = json.loads(json.dumps(found))
            found["metadata"]["revision"] = self.revision
            self.note(kind, found, True)

    def note(self, kind, found, deleted):
        self.history.append((self.revision, kind, json.loads(json.dumps(found)), deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def names(self, kind):
        return sorted(name for found, name in self.objects if found == kind)

    async def handle(self, request, writer):
        url = urlsplit(request.target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        kind, name = parts[0], (parts[1] if len(parts) > 1 else None)
        status, body = await self.answer(request, kind, name, query)
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        writer.write(encode(f"HTTP/1.1 {status} x", headers, json.dumps(body).encode()))
        await writer.drain()
        return True

    async def answer(self, request, kind, name, query):
        if request.method == "GET" and name is None:
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
            names = [found for found in self.names(kind) if found > query.get("after", "")]
            items = [self.objects[kind, found] for found in names[: self.page]]
            more = len(names) > self.page
            return 200, {"items": items, "has_more": more, "store_revision": self.revision}
        if request.method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        body = json.loads(request.body) if request.body else {}
        revision = body.get("metadata", {}).get("revision", query.get("revision"))
        if request.method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 200, self.put(kind, name, body.get("specification"))
        found = self.objects.get((kind, name))
        if found is None:
            return 404, {}
        if revision is not None and int(revision) != found["metadata"]["revision"]:
            return 409, found
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, found
        return 200, self.put(kind, name, body.get("specification"))

    async def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        if since > self.revision:
            return 410, {}
        while True:
            events = [
                {"object": found, "deleted": deleted}
                for revision, of_kind, found, deleted in self.history
                if of_kind == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# Back ends


class Worker:
    """A sound back end of a plain service or of a model, which a case may extend by
    overriding `run`."""

    def __init__(self, case, name, service, zone, ip, slots):
        self.case, self.name, self.service, self.zone = case, name, service, zone
        self.slots, self.sequence, self.born = slots, 0, int(time.time() * 1000)
        self.state = "ready"
        self.server = Server(ip, 0, self.handle)

    async def start(self):
        await self.server.start()
        self.beat()
        return self

    def beat(self):
        self.sequence += 1
        self.case.store.put("servers", self.name, {
            "service": self.service, "address": self.server.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born,
        })

    async def handle(self, request, writer):
        if request.target == "/health":
            writer.write(encode("HTTP/1.1 200 OK", [("Instance-Id", self.name)]))
            return True
        expected = request.headers.get("expected-instance")
        if expected is not None and expected != self.name:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", [("Instance-Id", self.name)]))
            return True
        self.case.record.line(f"run {self.name} {request.headers.get('attempt-id')} "
                              f"{request.method} {request.target}")
        self.case.runs.append((request.headers.get("attempt-id"), self.name))
        kept = await self.run(request, writer)
        await writer.drain()
        return kept

    def head(self, request):
        """The headers that each answer of a back end bears."""
        return [("Attempt-Id", request.headers.get("attempt-id", "")),
                ("Response-Stamp", f"{self.name}.0.0"), ("Keep-Alive", "timeout=10")]

    async def run(self, request, writer):
        await asyncio.sleep(self.case.work_s)
        writer.write(encode("HTTP/1.1 200 OK", self.head(request), b"x" * 800))
        return True


# Clients


class Connection:
    """A client's connection, on which it sends one request after the other."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        ip, port = self.address.split(":")
        opened = asyncio.open_connection(ip, int(port), limit=1 << 22)
        self.reader, self.writer = await asyncio.wait_for(opened, 1.0)
        return self

    async def send(self, method, target, headers, body=b""):
        self.writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
        await self.writer.drain()

    async def receive_head(self, timeout=9.0):
        """The head of the answer, or None."""
        async with asyncio.timeout(timeout):
            return await read_head(self.reader)

    async def receive(self, timeout):
        """The answer, or None if the connection ends without a whole one."""
        try:
            async with asyncio.timeout(timeout):
                head = await read_head(self.reader)
                return head and await read_body(self.reader, head)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return None

    def close(self):
        if self.writer:
            self.writer.transport.abort()


async def ask(address, method, target, headers, body=b"", timeout=10.0):
    """Sends one request on a new connection. Returns the answer, None if the
    connection ends without a whole one, or "late"."""
    connection = Connection(address)
    try:
        await connection.open()
        await connection.send(method, target, headers, body)
        return await connection.receive(timeout)
    except asyncio.TimeoutError:
        return "late"
    except ConnectionError:
        return None
    finally:
        connection.close()


# The project's processes


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template, fields):
    """Fills a template of the deploy file; without sections, which ours don't use."""

    def fill(match):
        path, _, form = match.group(1).partition("|")
        value = lookup(fields, path)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", fill, template)


class Process:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, case, name, role, fields):
        self.case, self.name, self.role, self.fields = case, name, role, fields
        deploy = (ROOT / "deploy/system.toml").read_text()
        section = deploy.split(f"[roles.{role}]")[1].split("[roles.")[0]
        self.command = re.search(r'run = "([^"]+)"', section).group(1).split(" ")
        template = ROOT / re.search(r'template = "([^"]+)"', section).group(1)
        self.settings = case.folder / f"{name}.json"
        self.settings.write_text(render(template.read_text(), fields))
        self.child = None

    def start(self):
        program = ROOT / self.command[0]
        if not program.exists():
            raise NotRun(f"{self.command[0]} isn't built")
        arguments = [str(self.settings) if part.startswith("/etc/") else part
                     for part in self.command[1:]]
        log = open(self.case.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen([str(program), *arguments], cwd=ROOT, stdout=log,
                                      stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
                                      env={"PATH": os.environ["PATH"], "HOME": "/tmp"})
        self.case.record.line(f"start {self.name} pid {self.child.pid}")
        return self

    def signal(self, number):
        self.case.record.line(f"signal {number} to {self.name}")
        self.child.send_signal(number)

    def kill(self):
        if self.child and self.child.poll() is None:
            self.case.record.line(f"kill {self.name}")
            self.child.kill()
        if self.child:
            self.child.wait()

    def is_alive(self):
        return self.child is not None and self.child.poll() is None

    def memory_mb(self):
        """Resident memory in MiB; None once the process has ended."""
        try:
            status = Path(f"/proc/{self.child.pid}/status").read_text()
        except OSError:
            return None
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found.group(1)) / 1024 if found else None

    def log(self):
        return (self.case.folder / f"{self.name}.log").read_text(errors="replace")


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


BOUNDS = {  # sites/abbf-fitdesk: the sheet in SYSTEM.md
    "seed_lag_s": 3, "address_reuse_s": 2, "stable_window_ms": 3000, "ack_timeout_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 88,
    "cold_overage": 1.5, "cold_slack": 5, "evacuation_ms": 5000, "recovery_s": 12,
    "pass_ms": 120, "stall_ms": 1500,
}
ZONES = ["accra-bench", "kumasi-bench", "tema-store"]
HOST, KEY, TENANT = "fitdesk.example", "n2ctnfzs989anu6wsjnb", "hule930"

ENGINE = {
    "slots": 12, "kv_cache_tokens": 372000, "kv_token_bytes": 96256, "link_mbps": 180000.0,
    "stride": 5, "models": [{"name": "m"}], "step_ms": 5.85, "per_seq_ms": 0.355,
    "context_per_k": 0.036, "read_per_s": 61200.0, "pairs_per_m": 0.325, "chunk": 512,
    "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 139}, "sets": 4, "experts": 72,
    "places": 8, "spare": 3, "expert_mb": 780.0, "expert_share": 0.85, "form_ms": 600.0,
}


def configuration(version=7, **changes):
    def route(name, kind, service, timeout, objective, attempts, **others):
        return {"name": f"r-{name}", "host": HOST, "path_prefix": f"/{name}/", "kind": kind,
                "timeout_ms": timeout, "target_latency_ms": objective, "priority": 1,
                "service": service, "max_attempts": attempts, "public": False, **others}

    config = {
        "version": version,
        "routes": [
            route("notes", "streaming", "fit-advisor", 8000, 400, 2, sticky=True,
                  resumable=True, gap_target_ms=120),
            route("book", "unsafe", "front-desk", 1200, 150, 1),
            route("scan", "safe", "front-desk", 1200, 150, 2),
        ],
        "services": [
            {"name": "fit-advisor", "health_path": "/health", "max_connections": 278,
             "protocol": "h1", "tls": False, "cold_start_s": 3.0, "cold_per_s": 26.0,
             "engine": ENGINE},
            {"name": "front-desk", "health_path": "/health", "max_connections": 96,
             "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }
    config.update(changes)
    return config


def headers(attempt, deadline_ms=2500, **others):
    """The headers of a client's request."""
    found = [("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Ms", str(deadline_ms)),
             ("Authorization", f"Bearer {KEY}")]
    return found + [(name.replace("_", "-"), value) for name, value in others.items()]


class Case:
    """A deployment of stand-ins and the project's processes."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes, self.workers, self.runs = [], [], []
        self.work_s = 0.03
        self.store = None
        self.beats = None

    async def open_store(self, page=500):
        self.store = await Store("127.0.0.1", 0, page).start()

    async def add_worker(self, kind, name, service, zone, slots):
        worker = await kind(self, name, service, zone, "127.0.0.1", slots).start()
        self.workers.append(worker)
        return worker

    def start_beats(self):
        """Has each back end rewrite its entry every `heartbeat_ms`."""

        async def beat():
            while True:
                await asyncio.sleep(1.2)
                for worker in self.workers:
                    if (("servers", worker.name) in self.store.objects
                            and worker.server.server.is_serving()):
                        worker.beat()

        self.beats = asyncio.create_task(beat())

    def fronts(self, count=3, memory_mb=260, descriptors=4200):
        """Prepares the processes of `front` machines, one in each zone."""
        ips = [f"127.0.1.{1 + index}" for index in range(count)]
        internal = free_ports("127.0.0.1", 1)[0]
        front, ready, control = free_ports("127.0.0.1", 3)
        found = []
        for index, ip in enumerate(ips):
            zone = ZONES[index % len(ZONES)]
            found.append(self.process(f"front-{zone}-{1 + index // len(ZONES)}", "entry", {
                "ip_address": ip, "zone": zone, "internal_ports": [internal, internal],
                "seed_nodes": [f"{each}:{control}" for each in ips[:3]],
                "heartbeat_ms": 1200,
                "listen_addresses": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}",
                                     "control": f"{ip}:{control}"},
                "limits": {"memory_mb": memory_mb, "file_descriptors": descriptors,
                           "link_mbps": 1000.0},
            }))
        return found

    def process(self, name, role, fields):
        fields = {"node_name": name, "bounds": BOUNDS,
                  "platform": {"address": self.store.address, "history_s": 20}, **fields}
        process = Process(self, name, role, fields)
        self.processes.append(process)
        return process

    async def is_ready(self, front):
        answer = await ask(front.fields["listen_addresses"]["ready"], "GET", "/api/readiness",
                           [("Host", "x")], timeout=1.0)
        return isinstance(answer, Message) and answer.status == 200

    async def wait_ready(self, fronts, limit=15.0):
        until = time.monotonic() + limit
        for front in fronts:
            while not await self.is_ready(front):
                if time.monotonic() > until:
                    raise NotRun(f"{front.name} isn't ready")
                await asyncio.sleep(0.05)
            self.record.line(f"ready {front.name}")

    def close(self):
        for process in self.processes:
            process.kill()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def address(front):
    return front.fields["listen_addresses"]["front"]


def main(folder, play):
    """Runs `play(case)`, which returns whether the rule was broken, and exits with the
    status of the case."""

    async def run():
        case = Case(folder)
        atexit.register(case.close)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(115):
                broken = await play(case)
            case.record.line("rule broken" if broken else "rule held")
            status = BROKEN if broken else HELD
        except (NotRun, asyncio.TimeoutError, asyncio.CancelledError) as error:
            case.record.line(f"not run: {error!r}")
            status = NOT_RUN
        finally:
            case.close()
            atexit.unregister(case.close)
        # What is left of the event loop must not delay the exit.
        os._exit(status)

    asyncio.run(run())
