"""Stand-ins for the platform's store, workers and clients, and the control of
the entry processes, for the scripts in review/6 to review/10.

Everything listens on loopback addresses that are drawn from the process id.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import sys
import tempfile
import threading
import time

ENTRY = "target/limpethaven-platform-entry"
METRICS_PORT = 9464
STORE_PORT = 8361
FRONT_PORT = 8360
DIRECTORY_PORT = 8364
READY_PORT = 8365
CONTROL_PORT = 8367
PEER_PORTS = [7500, 7515]
WORKER_PORT = 8080
HOST = "fleet.example"

BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catchup_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "downgrade_ms": 250, "skew_max_ms": 5000,
    "strict_revoke": False, "revoke_ms": 5000, "budget_ratio": 0.2,
    "budget_window_s": 10, "extra_retries": 54, "quota_window_s": 8,
    "quota_excess": 0.25, "quota_slack": 190000, "recovery_s": 12,
    "transit_ms": 120, "retry_after_s": 9, "require_fence": False,
    "lease_ms": 3000, "freeze_slack_ms": 300, "ttl_max_s": 5}


PROCESSES = []  # All that were started.


class Trouble(Exception):
    """The case could not run."""


class Record:
    """Lines of record.txt, with the time since the start of the script."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.out = open(path, "w", encoding="ascii")

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.out.write("%9.3f  %s\n" % (self.now(), text))

    def say(self, text):
        self.add(text)
        self.out.flush()
        print("%9.3f  %s" % (self.now(), text), flush=True)


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self):
        return self.target.split("?", 1)[0]

    def query(self):
        from urllib.parse import parse_qs
        text = self.target.split("?", 1)[1] if "?" in self.target else ""
        return {name: value[0] for name, value in parse_qs(text).items()}


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += part[:-2]


async def read_request(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def response(status, headers=None, body=b""):
    reasons = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict",
               421: "Misdirected Request", 503: "Service Unavailable"}
    lines = ["HTTP/1.1 %d %s" % (status, reasons.get(status, "Status"))]
    for name, value in (headers or {}).items():
        lines.append("%s: %s" % (name, value))
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """HTTP/1.1 server; `answer(request, writer, reader)` writes the response
    and returns whether the channel is kept."""

    def __init__(self, ip, port, answer):
        self.ip = ip
        self.port = port
        self.answer = answer
        self.listener = None
        self.writers = set()

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, self.ip, self.port, backlog=512)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            kept = True
            while kept:
                request = await read_request(reader)
                kept = await self.answer(request, writer, reader)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store, for readers."""

    def __init__(self, ip, record):
        self.server = Server(ip, STORE_PORT, self.answer)
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Condition()

    async def put(self, key, value):
        self.revision += 1
        self.items[key] = (json.dumps(value).encode(), self.revision)
        self.history.append((key, self.revision))
        self.record.add("store   put %s at %d" % (key, self.revision))
        async with self.changed:
            self.changed.notify_all()

    def item(self, key):
        value, revision = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "rev": revision, "create_rev": revision, "lease": 0}

    async def answer(self, request, writer, _):
        query = request.query()
        prefix = query.get("prefix", "")
        if request.path == "/limpethaven/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(prefix)
                          and key > query.get("after", ""))
            body = {"items": [self.item(key) for key in keys[:500]],
                    "has_more": len(keys) > 500, "as_of": self.revision}
        elif request.path == "/limpethaven/kv-watch":
            after = int(query["after"])
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            events = self.events(prefix, after)
            while not events and time.monotonic() < end:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(),
                                               end - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
                events = self.events(prefix, after)
            body = {"events": events, "as_of": self.revision}
        else:
            writer.write(response(404))
            await writer.drain()
            return True
        text = json.dumps(body).encode()
        writer.write(response(200, {"Content-Type": "application/json"}, text))
        await writer.drain()
        return True

    def events(self, prefix, after):
        keys = {key for key, revision in self.history
                if revision > after and key.startswith(prefix)}
        return sorted((self.item(key) for key in keys),
                      key=lambda item: item["rev"])


class Entry:
    """One process of the deploy file's command on its own address."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.ip = fleet.ip(10 + number)
        self.number = number
        self.process = None

    async def start(self):
        fleet = self.fleet
        settings = {
            "node": "front-a-%d" % self.number, "role": "entry",
            "class": "front", "serves": ["front", "directory", "control"],
            "ip": self.ip, "zone": "zone-a", "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listen": {"front": "%s:%d" % (self.ip, FRONT_PORT),
                       "ready": "%s:%d" % (self.ip, READY_PORT),
                       "control": "%s:%d" % (self.ip, CONTROL_PORT),
                       "directory": "%s:%d" % (self.ip, DIRECTORY_PORT)},
            "port_range": PEER_PORTS,
            "seeds": ["%s:%d" % (ip, CONTROL_PORT)
                      for ip in fleet.seed_ips()],
            "bootstrap": False, "loss_counts": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 110,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "directory",
            "heartbeat_ms": 1200,
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": fleet.bounds,
            "platform": {"addr": "%s:%d" % (fleet.store_ip, STORE_PORT),
                         "form": "read", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "ttl_min_ms": 1000}}
        path = os.path.join(fleet.folder, "node-%d.json" % self.number)
        with open(path, "w", encoding="ascii") as out:
            json.dump(settings, out)
        log = open(os.path.join(fleet.folder, "entry-%d.log" % self.number),
                   "ab")
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                       "HOME": fleet.folder, "LANG": "C",
                       "LIMPETHAVEN_SETTINGS": path}
        self.process = await asyncio.create_subprocess_exec(
            ENTRY, "--metrics-port", str(METRICS_PORT), stdout=log, stderr=log,
            env=environment)
        log.close()
        PROCESSES.append(self.process)
        fleet.record.add("entry   %d starts at %s, process %d" %
                         (self.number, self.ip, self.process.pid))

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)
            self.fleet.record.add("entry   %d gets signal %d" %
                                  (self.number, number))

    async def ended(self):
        await self.process.wait()

    async def ready(self):
        try:
            answer = await call(self.ip, READY_PORT, "GET",
                                "/limpethaven/ready", {}, b"", 1)
            return answer.status == 200
        except (OSError, Trouble):
            return False

    def log_text(self):
        path = os.path.join(self.fleet.folder, "entry-%d.log" % self.number)
        with open(path, encoding="utf-8", errors="replace") as log:
            return log.read()


class Fleet:
    def __init__(self, record, bounds=None):
        number = os.getpid()
        self.prefix = "127.%d.%d." % (30 + number % 200,
                                      1 + number // 200 % 250)
        self.record = record
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.folder = tempfile.mkdtemp(prefix="limpethaven-review-")
        self.store_ip = self.ip(2)
        self.store = Store(self.store_ip, record)
        self.entries = []

    def ip(self, number):
        return self.prefix + str(number)

    def seed_ips(self):
        return [entry.ip for entry in self.entries[:3]]

    async def start(self, count):
        if not os.access(ENTRY, os.X_OK):
            raise Trouble("there is no " + ENTRY + ": build the deploy file")
        await self.store.server.start()
        self.entries = [Entry(self, number) for number in range(1, count + 1)]
        for entry in self.entries:
            await entry.start()
        await self.wait_ready(15)

    async def wait_ready(self, seconds):
        end = time.monotonic() + seconds
        for entry in self.entries:
            while not await entry.ready():
                if time.monotonic() > end:
                    raise Trouble("entry %d is not ready" % entry.number)
                await asyncio.sleep(0.05)

    async def stop(self):
        for entry in self.entries:
            if entry.process is not None and entry.process.returncode is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
        for entry in self.entries:
            if entry.process is not None:
                try:
                    await asyncio.wait_for(entry.process.wait(), 5)
                except asyncio.TimeoutError:
                    self.record.say("entry %d was not seen to end" %
                                    entry.number)
        if os.environ.get("KEEP_LOGS"):
            print("logs in " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


async def call(ip, port, method, target, headers, body, timeout_s):
    """Sends one request on a new channel and reads the whole answer."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port),
                                            1)
    try:
        return await asyncio.wait_for(
            exchange(reader, writer, method, target, headers, body), timeout_s)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError) as fault:
        raise Trouble("no answer: " + type(fault).__name__) from fault
    finally:
        writer.close()


async def exchange(reader, writer, method, target, headers, body):
    lines = ["%s %s HTTP/1.1" % (method, target)]
    if "Host" not in headers:
        headers = dict(headers, Host=HOST)
    lines += ["%s: %s" % row for row in headers.items()]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
    await writer.drain()
    first, got = await read_head(reader)
    status = int(first.split(" ")[1])
    if got.get("transfer-encoding", "").lower() == "chunked":
        try:
            return Answer(status, got, await read_chunks(reader), True)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(status, got, b"", False)
    text = await reader.readexactly(int(got.get("content-length", "0")))
    return Answer(status, got, text, True)


def worker_item(service, ip, stage=None, slots=16, state="ready", born=1):
    item = {"service": service, "addr": "%s:%d" % (ip, WORKER_PORT),
            "zone": "zone-a", "version": "v1", "slots": slots, "state": state,
            "cold_left_ms": 0, "seq": 4, "born": born}
    if stage is not None:
        item["stage"] = stage
        item["models"] = [{"name": "m", "version": 1, "adapters": []}]
    return item


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def engine_service(name, slots, switch_s):
    return {"name": name, "health_path": "/healthz", "max_conns": 360,
            "proto": "h1", "tls": False,
            "engine": {"slots": slots, "kv_tokens": 40000,
                       "kv_token_bytes": 35136, "link_mbps": 300000.0,
                       "moves": True, "backups": True, "stride": 6, "most": 12,
                       "handle_ttl_s": 0.5, "stage_switch_s": switch_s,
                       "pin_ms": 4000.0, "hold_ms": 2000.0,
                       "models": [{"name": "m"}]}}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 360,
            "proto": "h1", "tls": False}


def route(name, prefix, kind, service, **fields):
    row = {"name": name, "host": HOST, "prefix": prefix, "kind": kind,
           "timeout_ms": 14000, "slo_ms": 900, "priority": 1,
           "service": service, "attempts": 1, "public": False,
           "sticky": kind == "stream", "can_resume": False}
    if kind == "stream":
        row["gap_aim_ms"] = 300
    row.update(fields)
    return row


def run_case(folder, case):
    """Runs `case(record, trouble)`, which returns whether the rule held, and
    exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # The processes are ended also when the script itself is stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record.say("TROUBLE=%d" % trouble)

    def leave(code):
        for process in PROCESSES:
            if process.returncode is None:
                process.kill()
        record.out.flush()
        sys.stdout.flush()
        os._exit(code)

    async def play():
        held = await asyncio.wait_for(case(record, trouble), 110)
        record.say("the rule held" if held else "the rule was broken")
        # The stand-ins' open tasks need no end of their own.
        leave(0 if held else 1)

    watchdog = threading.Timer(118, leave, [2])
    watchdog.daemon = True
    watchdog.start()
    try:
        asyncio.run(play())
    except (Trouble, asyncio.TimeoutError, OSError,
            KeyboardInterrupt) as fault:
        record.say("the case could not run: %r" % fault)
        leave(2)
