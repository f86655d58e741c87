"""Stand-ins for the platform, workers and clients, and the start of the
project's programs as separate processes on loopback addresses."""

import json
import os
import re
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (self.now(), text))
            self.file.flush()


# --- HTTP -----------------------------------------------------------------


class Closed(Exception):
    """The peer closed or reset the connection."""


class Stream:
    """A socket with a read buffer."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def more(self, size=65536):
        try:
            data = self.sock.recv(size)
        except socket.timeout:
            raise
        except OSError as error:
            raise Closed(str(error))
        if not data:
            raise Closed("closed")
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.more()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def head(self):
        """First line and headers by lower-case name."""
        first = self.line().decode("latin-1")
        headers = {}
        while True:
            line = self.line().decode("latin-1")
            if not line:
                return first, headers
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()

    def exactly(self, size):
        while len(self.buffer) < size:
            self.more()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def body(self, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            data = b""
            while True:
                size = int(self.line().split(b";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    return data
                data += self.exactly(size)
                self.exactly(2)
        return self.exactly(int(headers.get("content-length", "0")))


def message(first, headers, body=b""):
    lines = [first] + ["%s: %s" % item for item in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(sock):
    """Closes a socket with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    sock.close()


class Server:
    """Accepts connections, each served by `handle(stream)` in a thread."""

    def __init__(self, address, handle):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(512)
        self.address = self.listener.getsockname()
        self.handle = handle
        self.open = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        try:
            self.handle(Stream(sock))
        except (Closed, OSError, ValueError, socket.timeout):
            pass
        self.open.discard(sock)
        try:
            sock.close()
        except OSError:
            pass

    def stop(self):
        """Stops listening and closes all connections."""
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for sock in list(self.open):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def text(address):
    return "%s:%d" % address[:2]


def free_ports(ip, count):
    """Different free ports of an address."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((ip, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


# --- The platform's store ----------------------------------------------------


class Store:
    """Objects by kind and name, listings in pages and watches."""

    PAGE = 50

    def __init__(self, record, address=("127.0.0.1", 0)):
        self.record = record
        self.changed = threading.Condition()
        self.revision = 100
        self.objects = {}
        self.history = []
        self.server = Server(address, self.serve)
        self.address = self.server.address

    def put(self, kind, name, specification):
        """Writes an object. Returns the time of the acknowledgement."""
        with self.changed:
            self.write(kind, name, specification)
            return time.monotonic()

    def write(self, kind, name, specification):
        old = self.objects.get((kind, name))
        if old and old["specification"] == specification:
            return old
        self.revision += 1
        created = old["metadata"]["created_rev"] if old else self.revision
        metadata = {
            "name": name, "revision": self.revision, "created_rev": created,
            "finalizers": [], "deleting": False,
        }
        found = {"metadata": metadata, "specification": specification, "status": None}
        self.objects[(kind, name)] = found
        self.history.append((self.revision, kind, found, False))
        self.changed.notify_all()
        return found

    def delete(self, kind, name):
        with self.changed:
            found = self.objects.pop((kind, name), None)
            if found:
                self.revision += 1
                found = dict(found, metadata=dict(found["metadata"], revision=self.revision))
                self.history.append((self.revision, kind, found, True))
                self.changed.notify_all()
            return time.monotonic()

    def serve(self, stream):
        while True:
            first, headers = stream.head()
            body = stream.body(headers)
            method, target, _ = first.split(" ")
            status, answer = self.answer(method, target, body)
            data = json.dumps(answer).encode()
            fields = [
                ("Content-Type", "application/json"), ("Store-Era", "1"),
                ("Content-Length", len(data)),
            ]
            time.sleep(0.004)
            stream.sock.sendall(message("HTTP/1.1 %d x" % status, fields, data))

    def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        parts = path[len("/api/objects/"):].split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name:
            with self.changed:
                found = self.objects.get((kind, name))
            return (200, found) if found else (404, None)
        if method == "GET" and "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
        if method == "GET":
            with self.changed:
                after = query.get("after", "")
                names = sorted(n for k, n in self.objects if k == kind and n > after)
                items = [self.objects[(kind, n)] for n in names[: self.PAGE]]
                more = len(names) > self.PAGE
                return 200, {"items": items, "has_more": more, "store_revision": self.revision}
        if method in ("POST", "PUT"):
            return self.change(method, kind, name, json.loads(body))
        return 400, None

    def watch(self, kind, since, wait):
        ends = time.monotonic() + wait
        with self.changed:
            if since > self.revision:
                return 410, None
            while True:
                found = [e for e in self.history if e[0] > since and e[1] == kind]
                left = ends - time.monotonic()
                if found or left <= 0:
                    events = [{"object": e[2], "deleted": e[3]} for e in found]
                    return 200, {"events": events, "store_revision": self.revision}
                self.changed.wait(left)

    def change(self, method, kind, name, document):
        with self.changed:
            name = name or document["metadata"]["name"]
            found = self.objects.get((kind, name))
            revision = document["metadata"].get("revision")
            if method == "POST" and found:
                return 409, found
            if method == "PUT" and not found:
                return 404, None
            if found and revision is not None and revision != found["metadata"]["revision"]:
                return 409, found
            return 200, self.write(kind, name, document["specification"])


# --- Workers -----------------------------------------------------------------


class Worker:
    """A sound worker of a plain service. `behave(worker, stream, first, headers)`
    may replace the handling of a request; it returns whether it did."""

    def __init__(self, record, name, service, zone, ip, slots=6, work=0.03, size=800, behave=None):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.slots, self.work, self.size, self.behave = slots, work, size, behave
        self.born = int(time.time() * 1000)
        self.runs = []
        self.server = Server((ip, 0), self.serve)

    def description(self, state="ready"):
        return {
            "service": self.service, "address": text(self.server.address), "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state, "cold_remaining_ms": 0,
            "sequence": 1, "born": self.born,
        }

    def serve(self, stream):
        while True:
            first, headers = stream.head()
            id = headers.get("attempt-id", "")
            if headers.get("expected-instance", self.name) != self.name:
                stream.body(headers)
                stream.sock.sendall(message(
                    "HTTP/1.1 421 x", [("Instance-Id", self.name), ("Content-Length", 0)]))
                continue
            self.record.write("request %s reaches worker %s" % (id, self.name))
            if self.behave and self.behave(self, stream, first, headers):
                continue
            body = stream.body(headers)
            self.run(stream, id)

    def run(self, stream, id):
        self.runs.append(id)
        self.record.write("worker %s runs request %s" % (self.name, id))
        time.sleep(self.work)
        fields = [
            ("Attempt-Id", id), ("Response-Stamp", "%s.%s" % (self.name, id)),
            ("Keep-Alive", "timeout=15"), ("Content-Length", self.size),
        ]
        stream.sock.sendall(message("HTTP/1.1 200 OK", fields, b"a" * self.size))


# --- The project's programs ----------------------------------------------------

BOUNDS = {
    "seed_lag_s": 3, "address_reuse_s": 2, "stable_window_ms": 3000, "ack_timeout_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
    "strict_revocation": False, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "budget_slack": 88, "cold_overage": 1.5, "cold_slack": 5,
    "evacuation_ms": 5000, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0,
    "stall_ms": 1500, "fencing_required": False,
}


def render(template, fields):
    """Fills in the placeholders `{{a.b}}` and `{{a|json}}` of a template."""

    def value(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Gateway:
    """A process of the role `entry`, started as the deploy file says."""

    def __init__(self, record, folder, name, zone, ip, ports, seeds, store, memory_mb=260):
        self.record, self.name, self.ip = record, name, ip
        self.front, self.ready = (ip, ports["front"]), (ip, ports["ready"])
        fields = {
            "node_name": name, "zone": zone, "ip_address": ip, "seed_nodes": seeds,
            "internal_ports": [ports["link"], ports["link"] + 15], "heartbeat_ms": 1200,
            "listen_addresses": {
                "front": text(self.front), "ready": text(self.ready),
                "control": text((ip, ports["control"])),
            },
            "limits": {"memory_mb": memory_mb}, "bounds": BOUNDS,
            "platform": {"address": text(store), "history_s": 20},
        }
        deploy = open(os.path.join(ROOT, "deploy", "system.toml")).read()
        role = deploy.split("[roles.entry]")[1].split("[roles.")[0]
        run = re.search(r'run = "([^"]+)"', role).group(1)
        template = re.search(r'template = "([^"]+)"', role).group(1)
        self.template = open(os.path.join(ROOT, template)).read()
        self.settings = os.path.join(folder, name + ".json")
        self.fields = fields
        self.write_settings()
        self.command = run.replace("/etc/wisteriastream/boot.toml", self.settings).split(" ")
        self.log = os.path.join(folder, name + ".log")
        self.process = None

    def write_settings(self):
        with open(self.settings, "w") as file:
            file.write(render(self.template, self.fields))

    def change_bound(self, name, value):
        """Writes the settings file anew, as the platform does when settings change."""
        self.fields["bounds"] = dict(self.fields["bounds"], **{name: value})
        self.write_settings()
        self.record.write("%s: %s is %s now" % (self.name, name, value))

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["WISTERIASTREAM_CONFIG"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.record.write("%s started" % self.name)

    def is_ready(self):
        try:
            return call(self.ready, "GET", "/api/readiness", [], timeout=1)[0] == 200
        except (OSError, Closed, socket.timeout):
            return False

    def memory_mb(self):
        with open("/proc/%d/status" % self.process.pid) as file:
            found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
        return int(found.group(1)) / 1024 if found else 0

    def signal(self, number):
        self.record.write("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class World:
    """Store, workers and gateways of a small deployment, in a temporary folder."""

    ZONES = ["accra-bench", "kumasi-bench", "tema-store"]

    def __init__(self, case):
        self.folder = tempfile.TemporaryDirectory()
        self.record = Record(os.path.dirname(os.path.abspath(case)))
        self.gateways, self.workers = [], []
        self.store = Store(self.record)

    def add_workers(self, service, count, **options):
        known = len(self.workers)
        for index in range(known, known + count):
            zone = self.ZONES[index % 3]
            name = "i-%s-%d" % (service, index)
            worker = Worker(self.record, name, service, zone, "127.0.2.%d" % (index + 1), **options)
            self.workers.append(worker)
            self.store.put("servers", name, worker.description())

    def start_gateways(self, count, stores=None, memory_mb=260):
        ips = ["127.0.1.%d" % (index + 1) for index in range(count)]
        names = ("front", "ready", "control", "link")
        ports = dict(zip(names, free_ports(ips[0], len(names))))
        seeds = [text((ip, ports["control"])) for ip in ips[:3]]
        for index, ip in enumerate(ips):
            zone = self.ZONES[index % 3]
            store = stores[index] if stores else self.store.address
            gateway = Gateway(self.record, self.folder.name, "front-%s-%d" % (zone, index // 3 + 1),
                              zone, ip, ports, seeds, store, memory_mb)
            self.gateways.append(gateway)
            gateway.start()
        ends = time.monotonic() + 20
        while not all(gateway.is_ready() for gateway in self.gateways):
            if time.monotonic() > ends or any(g.process.poll() is not None for g in self.gateways):
                raise RuntimeError("the gateways didn't get ready")
            time.sleep(0.05)
        self.record.write("all gateways are ready")

    def close(self):
        for gateway in self.gateways:
            gateway.end()
        for worker in self.workers:
            worker.server.stop()
        self.store.server.stop()
        self.folder.cleanup()


def main(case, play):
    """Runs `play(world)`, which returns whether the rule was broken, and exits."""
    world, code = None, NOT_RUN

    def stop(number, frame):
        raise RuntimeError("the time is over")

    signal.signal(signal.SIGTERM, stop)
    try:
        world = World(case)
        broken = play(world)
        world.record.write("result: the rule was %s" % ("broken" if broken else "kept"))
        code = BROKEN if broken else HELD
    except Exception as error:
        print("could not run: %r" % error, file=sys.stderr)
        if world:
            world.record.write("could not run: %r" % error)
    finally:
        if world:
            world.close()
    sys.stdout.flush()
    os._exit(code)


# --- Clients -------------------------------------------------------------------


def connect(address, timeout, window=None):
    sock = socket.socket()
    if window:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    sock.settimeout(timeout)
    sock.connect(address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Stream(sock)


def request(method, target, headers, body=b""):
    fields = [("Host", "shop.example")] + list(headers)
    if method != "GET":
        fields.append(("Content-Length", len(body)))
    return message("%s %s HTTP/1.1" % (method, target), fields, body)


def caller(id, deadline_ms, key="key-1"):
    return [("Attempt-Id", id), ("Deadline-Ms", deadline_ms), ("Authorization", "Bearer " + key)]


def call(address, method, target, headers, body=b"", timeout=10):
    """Sends one request on a new connection. Returns status, headers and body."""
    stream = connect(address, timeout)
    try:
        stream.sock.sendall(request(method, target, headers, body))
        first, fields = stream.head()
        return int(first.split(" ")[1]), fields, stream.body(fields)
    finally:
        stream.sock.close()


def route(name, kind, service, prefix=None, timeout_ms=8000, objective_ms=150, attempts=2, **more):
    return dict({
        "name": name, "host": "shop.example", "path_prefix": prefix or "/%s/" % name,
        "kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": objective_ms,
        "priority": 1, "service": service, "max_attempts": attempts, "public": False,
    }, **more)


def config(version, routes, services, keys=("key-1",), max_body_bytes=4194304):
    return {
        "version": version, "routes": routes,
        "services": [{"name": name, "health_path": "/health", "max_connections": 96,
                      "protocol": "h1", "tls": False, "cold_per_s": 0} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "benches", "api_keys": list(keys), "priority": 1}],
    }


# --- Streams -------------------------------------------------------------------

EVENTS = 8


def event(number):
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def last_event(headers):
    return int(headers.get("last-event-id", "0"))


def stream_head(worker, id, chunked=True):
    fields = [
        ("Attempt-Id", id), ("Response-Stamp", "%s.%s" % (worker.name, id)),
        ("Content-Type", "text/event-stream"),
    ]
    fields.append(("Transfer-Encoding", "chunked") if chunked else ("Connection", "close"))
    return message("HTTP/1.1 200 OK", fields)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Received:
    """A stream as its client got it."""

    def __init__(self, status):
        self.status, self.ids, self.complete = status, [], False

    def __str__(self):
        end = "complete" if self.complete else "broken off"
        return "%d, events %s, %s" % (self.status, self.ids, end)


def receive(address, headers, target="/advice/2f", body=b"prompt"):
    """Sends a streaming request on a new connection and reads its events."""
    stream = connect(address, 10)
    received = Received(0)
    try:
        stream.sock.sendall(request("POST", target, headers, body))
        first, fields = stream.head()
        received.status = int(first.split(" ")[1])
        if fields.get("transfer-encoding", "") != "chunked":
            stream.body(fields)
            return received
        data = b""
        while True:
            size = int(stream.line().split(b";")[0], 16)
            if size == 0:
                received.complete = True
                return received
            data += stream.exactly(size)
            stream.exactly(2)
            while b"\n\n" in data:
                found, data = data.split(b"\n\n", 1)
                for line in found.split(b"\n"):
                    if line.startswith(b"id:"):
                        received.ids.append(int(line[3:]))
    except (Closed, socket.timeout, OSError):
        return received
    finally:
        stream.sock.close()


def advice(**more):
    """A route for streams that may be resumed."""
    return route("advice", "streaming", "fit-advisor", objective_ms=400, resumable=True,
                 gap_target_ms=120, sticky=True, **more)


def prompt(id, last=0):
    fields = caller(id, 8000) + [
        ("Model", "m"), ("Token-Counts", "714,140"),
        ("Prompt-Prefix", "5c1e07a2:40,%s:674" % ("%08x" % (zlib.crc32(id.encode())))),
    ]
    return fields + [("Last-Event-Id", last)] if last else fields


# --- A proxy ---------------------------------------------------------------------


class Proxy:
    """Forwards connections to `target`. While `cut` is set, nothing passes, and new
    connections hang; `silence()` does this to the connections open at that time."""

    def __init__(self, target, address=("127.0.0.1", 0)):
        self.target, self.cut = target, False
        self.silent_before, self.count = 0, 0
        self.server = Server(address, self.forward)
        self.address = self.server.address

    def silence(self):
        self.silent_before = self.count

    def forward(self, client):
        self.count += 1
        number = self.count
        target = socket.socket()
        target.connect(self.target)
        target.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                readable, _, _ = select.select([client.sock, target], [], [], 0.05)
                if self.cut or number <= self.silent_before:
                    time.sleep(0.01)
                    continue
                for source in readable:
                    data = source.recv(65536)
                    if not data:
                        return
                    (target if source is client.sock else client.sock).sendall(data)
        finally:
            target.close()
