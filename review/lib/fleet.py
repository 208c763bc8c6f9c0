"""Stand-ins and helpers for the cases under review/.

A store, workers and clients that speak the protocol of the users' pages, and a
starter of `limpethaven-platform-entry` processes. Everything listens on
loopback addresses. One Python process runs one case.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "limpethaven-platform-entry")
METRICS_PORT = 9464
HOST = "kasa.example"
KEY = "3d3zji9n73hh2b9wu3fe"
TENANT = "huka270"

HELD, BROKEN, NO_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def now_ms():
    return time.monotonic() * 1000.0


def free_net():
    """First three bytes of a loopback network whose addresses are unused."""
    for _ in range(50):
        net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        try:
            with socket.socket() as probe:
                probe.bind((net + ".11", METRICS_PORT))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback network")


class Record:
    """record.txt: what was sent, answered and run, in order of time."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now_ms()

    def line(self, what, **fields):
        text = " ".join("%s=%s" % row for row in fields.items())
        self.file.write("%9.1f %s %s\n" % (now_ms() - self.start, what, text))

    def close(self):
        self.file.close()


class Head:
    """First line and headers of a request or response."""

    def __init__(self, text):
        lines = text.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    text = await reader.readuntil(b"\r\n\r\n")
    return Head(text[:-4])


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, head):
    """Whole body of a message with a length or in chunks."""
    if "chunked" in head.get("transfer-encoding"):
        body = b""
        while True:
            data = await read_chunk(reader)
            if not data:
                return body
            body += data
    return await reader.readexactly(int(head.get("content-length", "0")))


class Store:
    """The platform's store: range reads and watches."""

    def __init__(self, net):
        self.ip = net + ".2"
        self.items = {}
        self.events = []
        self.rev = 1
        self.changed = asyncio.Event()
        self.server = None
        self.addr = ""

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, 0)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, key, value):
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key, value):
        self.rev += 1
        text = base64.b64encode(value).decode()
        created = self.items.get(key, {}).get("create_rev", self.rev)
        item = {"key": key, "value": text, "rev": self.rev, "create_rev": created, "lease": 0}
        self.items[key] = item
        self._note(item)

    def delete(self, key):
        if key not in self.items:
            return
        self.rev += 1
        del self.items[key]
        self._note({"key": key, "rev": self.rev, "deleted": True})

    def _note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _page(items):
        """At most 500 items, and one item beyond 1 MB."""
        page, size = [], 0
        for item in items:
            if len(page) == 500 or size > 1_000_000:
                break
            page.append(item)
            size += len(item.get("value", ""))
        return page

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                await read_body(reader, head)
                status, body = await self._answer(head.first.split(" ")[1])
                data = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        from urllib.parse import parse_qs, urlsplit
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path.endswith("/kv-range"):
            after = query.get("after", "")
            rest = [self.items[key] for key in sorted(self.items)
                    if key.startswith(prefix) and key > after]
            page = self._page(rest)
            return 200, {"items": page, "has_more": len(page) < len(rest), "as_of": self.rev}
        if parts.path.endswith("/kv-watch"):
            after = int(query["after"])
            end = now_ms() + min(30000, int(query.get("wait_ms", "0")))
            while True:
                events = [event for event in self.events
                          if event["rev"] > after and event["key"].startswith(prefix)]
                left = end - now_ms()
                if events or left <= 0:
                    page = self._page(events)
                    as_of = self.rev if len(page) == len(events) else page[-1]["rev"]
                    return 200, {"events": page, "as_of": as_of}
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left / 1000.0)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Worker:
    """A worker of a service. `behave(worker, request)` serves one request."""

    def __init__(self, store, record, net, number, service, behave, slots=6, stage=None,
                 zone="kayseri-a", receive_buffer=0):
        self.store = store
        self.record = record
        self.ip = "%s.%d" % (net, 100 + number)
        self.id = "i-%02d%06x" % (number, random.getrandbits(24))
        self.number = number
        self.service = service
        self.behave = behave
        self.slots = slots
        self.stage = stage
        self.zone = zone
        self.receive_buffer = receive_buffer
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.runs = 0
        self.server = None
        self.addr = ""

    async def start(self):
        listener = socket.socket()
        if self.receive_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        listener.bind((self.ip, 0))
        # A small limit: what a worker has not read stays in its small window.
        limit = self.receive_buffer or 65536
        self.server = await asyncio.start_server(self._serve, sock=listener, limit=limit)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beat()

    def beat(self):
        self.seq += 1
        entry = {"service": self.service, "addr": self.addr, "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.seq,
                 "born": self.born}
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self.store.put("servers/" + self.id, entry)

    async def _serve(self, reader, writer):
        channel = Channel(reader, writer)
        try:
            while True:
                head = await read_head(reader)
                request = Request(head, channel)
                channel.requests += 1
                if not await self._answer(request):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        path = request.path
        if path == "/healthz":
            request.send(200, {"X-Instance": self.id}, b"")
            return True
        if path == "/limpethaven/report":
            body = {"stage": self.stage or "", "models": [], "busy": False, "seq": 0, "queued": 0,
                    "running": 0, "kv_used": 0, "kv_total": 100000, "handles": 0}
            request.send(200, {"Content-Type": "application/json"}, json.dumps(body).encode())
            return True
        expected = request.head.get("x-expect-instance")
        if expected and expected != self.id:
            request.send(421, {"X-Instance": self.id}, b"")
            return True
        return await self.behave(self, request)

    def ran(self, request, **fields):
        """Records that work on a request has begun."""
        self.runs += 1
        self.record.line("run", worker=self.id, id=request.id, path=request.path, **fields)

    def seal(self, body):
        return "3e1b.%02x.%x.%x" % (self.number, self.runs, len(body))


class Channel:
    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.requests = 0


class Request:
    """A request at a worker; the body is not read yet."""

    def __init__(self, head, channel):
        self.head = head
        self.channel = channel
        self.method, self.target, _ = head.first.split(" ")
        self.path = self.target.split("?")[0]
        self.id = head.get("x-attempt-id")

    async def body(self):
        return await read_body(self.channel.reader, self.head)

    def budget_ms(self):
        return int(self.head.get("x-deadline-ms", "60000"))

    def send(self, status, headers, body):
        text = "HTTP/1.1 %d %s\r\n" % (status, "OK" if status < 300 else "Status")
        fields = dict(headers)
        fields.setdefault("Content-Length", str(len(body)))
        for name, value in fields.items():
            text += "%s: %s\r\n" % (name, value)
        self.channel.writer.write(text.encode() + b"\r\n" + body)

    def answer(self, worker, body, status=200):
        """A whole answer of the worker to this request."""
        self.send(status, {"X-Attempt-Id": self.id, "X-Server-Seal": worker.seal(body)}, body)


class Entry:
    """One entry process, started with the command of the deploy file."""

    def __init__(self, folder, net, number, store, seeds, bounds=None, log=False):
        self.ip = "%s.%d" % (net, 10 + number)
        self.number = number
        self.front = (self.ip, 8360)
        self.ready = (self.ip, 8365)
        self.directory = (self.ip, 8364)
        self.process = None
        self.log_path = os.path.join(folder, "entry-%d.log" % number)
        self.settings_path = os.path.join(folder, "node-%d.json" % number)
        self.first = True
        all_bounds = {
            "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
            "catchup_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
            "config_apply_ms": 2000, "downgrade_ms": 250, "skew_max_ms": 5000,
            "strict_revoke": False, "revoke_ms": 5000, "budget_ratio": 0.2,
            "budget_window_s": 10, "extra_retries": 54, "quota_window_s": 8,
            "quota_excess": 0.25, "quota_slack": 190000, "recovery_s": 12, "transit_ms": 120,
            "retry_after_s": 9, "require_fence": False, "lease_ms": 3000,
            "freeze_slack_ms": 300, "ttl_max_s": 5}
        all_bounds.update(bounds or {})
        self.settings = {
            "node": "front-kayseri-a-%d" % number, "role": "entry", "class": "front",
            "serves": ["front", "directory", "control"], "ip": self.ip, "zone": "kayseri-a",
            "region": "anadolu", "zones": {"kayseri-a": "anadolu"},
            "listen": {"front": "%s:8360" % self.ip, "ready": "%s:8365" % self.ip,
                       "control": "%s:8367" % self.ip, "directory": "%s:8364" % self.ip},
            "port_range": [7500, 7515], "seeds": seeds, "bootstrap": True,
            "loss_counts": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 110, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "directory",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split",
                          "stream", "engine", "tenants", "quota", "platform"],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0}, "bounds": all_bounds,
            "platform": {"addr": store.addr, "form": "read", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                         "ttl_min_ms": 1000}}

    def start(self):
        self.settings["bootstrap"] = self.first
        self.first = False
        with open(self.settings_path, "w") as out:
            json.dump(self.settings, out)
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.path.dirname(self.log_path),
                       "LANG": "C", "LIMPETHAVEN_SETTINGS": self.settings_path}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "--metrics-port", str(METRICS_PORT)], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            client = Client(self.ready)
            answer = await asyncio.wait_for(client.call("GET", "/limpethaven/ready", {}), 0.5)
            client.close()
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Answer:
    """What a client got. `complete` is false where the channel broke off."""

    def __init__(self):
        self.status = 0
        self.head = None
        self.body = b""
        self.complete = False
        self.ended_at = 0.0


class Client:
    """One client channel."""

    def __init__(self, address, source=None):
        self.address = address
        self.source = source
        self.reader = None
        self.writer = None

    async def connect(self):
        local = (self.source, 0) if self.source else None
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.address, local_addr=local), 1.0)

    async def call(self, method, target, headers, body=b"", on_body=None):
        """Sends a request and reads its answer; connects first if need be."""
        if self.writer is None:
            await self.connect()
        answer = Answer()
        text = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, target, HOST)
        for name, value in headers.items():
            text += "%s: %s\r\n" % (name, value)
        if body or method == "POST":
            text += "Content-Length: %d\r\n" % len(body)
        try:
            self.writer.write(text.encode() + b"\r\n" + body)
            answer.head = await read_head(self.reader)
            answer.status = int(answer.head.first.split(" ")[1])
            if "chunked" in answer.head.get("transfer-encoding"):
                while True:
                    data = await read_chunk(self.reader)
                    if not data:
                        break
                    answer.body += data
                    if on_body:
                        on_body(answer.body)
            else:
                answer.body = await read_body(self.reader, answer.head)
            answer.complete = True
        except (asyncio.IncompleteReadError, ConnectionError) as fault:
            answer.body += getattr(fault, "partial", b"") or b""
        answer.ended_at = now_ms()
        if not answer.complete or "close" in answer.head.get("connection"):
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


_ids = itertools.count(1)


def attempt_id():
    return "%08x%08x" % (random.getrandbits(32), next(_ids))


def request_headers(budget_ms, key=KEY, **more):
    headers = {"X-Attempt-Id": attempt_id(), "X-Deadline-Ms": str(int(budget_ms)),
               "Authorization": "Bearer " + key}
    headers.update(more)
    return headers


def tenant(rate=0, burst=0, name=TENANT, keys=(KEY,)):
    return {"name": name, "api_keys": list(keys), "priority": 1, "unit": "per_token",
            "plain_tokens": 200, "rate_per_s": rate, "burst": burst}


def route(name, prefix, kind, service, attempts, timeout_ms, slo_ms, **more):
    row = {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
           "slo_ms": slo_ms, "priority": 2, "service": service, "attempts": attempts,
           "public": False}
    row.update(more)
    return row


def service(name, max_conns=100, engine=None):
    row = {"name": name, "health_path": "/healthz", "max_conns": max_conns, "proto": "h1",
           "tls": False}
    if engine:
        row["engine"] = engine
    return row


ENGINE = {"slots": 64, "kv_tokens": 39852, "kv_token_bytes": 35136, "link_mbps": 300000.0,
          "moves": True, "backups": True, "stride": 6, "most": 12, "handle_ttl_s": 0.5,
          "stage_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}


def config(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants}


class Fleet:
    """A small deployment: store, workers and entry processes."""

    def __init__(self, record, folder, entries=1, bounds=None):
        self.record = record
        self.folder = folder
        self.net = free_net()
        self.store = Store(self.net)
        self.workers = []
        self.entries = []
        self.entry_count = entries
        self.bounds = bounds
        self.beats = None

    async def start(self, configuration, workers):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("build the program with the command of the deploy file first")
        await self.store.start()
        self.store.put("op/config", configuration)
        for number, options in enumerate(workers, 1):
            worker = Worker(self.store, self.record, self.net, number, **options)
            await worker.start()
            self.workers.append(worker)
        self.beats = asyncio.ensure_future(self._beat())
        seeds = ["%s.%d:8367" % (self.net, 11 + index) for index in range(min(3, self.entry_count))]
        for number in range(1, self.entry_count + 1):
            entry = Entry(self.folder, self.net, number, self.store, seeds, self.bounds)
            entry.start()
            self.entries.append(entry)
        end = now_ms() + 15000
        for entry in self.entries:
            while not await entry.is_ready():
                if now_ms() > end:
                    raise CannotRun("an entry process is not ready after 15 s")
                await asyncio.sleep(0.05)
        await asyncio.sleep(2.0)

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            for worker in self.workers:
                worker.beat()

    def stop(self):
        if self.beats:
            self.beats.cancel()
        for entry in self.entries:
            entry.stop()


async def _play_to_end(play, record, folder):
    """Ends what `play` started also when this process is told to stop."""
    task = asyncio.ensure_future(play(record, folder))
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, 110)


def main(play, folder):
    """Runs `play(record, temporary folder)`, which returns the exit code."""
    record = Record(folder)
    code = NO_RUN
    try:
        with tempfile.TemporaryDirectory() as scratch:
            keep = os.environ.get("KEEP_LOGS", "")
            code = asyncio.run(_play_to_end(play, record, keep or scratch))
    except asyncio.CancelledError:
        record.line("cannot-run", why="terminated")
        print("the case was terminated")
    except Exception as fault:  # No fault of the stand-ins may look like a broken rule.
        code = NO_RUN
        record.line("cannot-run", why=repr(fault))
        print("the case could not run: %r" % fault)
    record.close()
    print("result %d: %s" % (code, ("the rule held", "the rule was broken", "not run")[code]))
    sys.exit(code)
