"""Stand-ins and helpers for the cases of this review.

The store and the workers speak what the protocol page says, run in the
process of the script, and listen on loopback addresses. The machines are the
project's own program, started with the command of the deploy file, one
process each.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "limpethaven-platform-entry")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds and limits of the smallest deployment of the pages (its sheet).
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catchup_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "downgrade_ms": 250, "skew_max_ms": 5000,
    "strict_revoke": False, "revoke_ms": 5000, "budget_ratio": 0.2,
    "budget_window_s": 10, "extra_retries": 54, "quota_window_s": 8,
    "quota_excess": 0.25, "quota_slack": 190000, "recovery_s": 12,
    "transit_ms": 120, "retry_after_s": 9, "require_fence": False,
    "lease_ms": 3000, "freeze_slack_ms": 300, "ttl_max_s": 5}


# Those that differ in the deployment with model workers of few slots.
GROWN_BOUNDS = dict(BOUNDS, contact_ms=4000, ack_ms=6000, catchup_s=6,
                    drain_ms=3000, config_apply_ms=3000, skew_max_ms=6000,
                    extra_retries=166, recovery_s=15, transit_ms=200,
                    retry_after_s=9.4)

PROCESSES = []  # All processes that the case has started.


def end_processes():
    for process in PROCESSES:
        if process.poll() is None:
            process.kill()
            process.wait()


def now():
    return time.monotonic()


class Record:
    """The file `record.txt` of a case: one line for each event."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.start = now()

    def line(self, text):
        self.file.write(f"{now() - self.start:8.3f} s  {text}\n")
        self.file.flush()


class Message:
    """Head and body of one HTTP/1.1 message."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        name = name.lower()
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


async def read_message(reader, is_response=False):
    """Reads one message. Returns None at the end of the channel."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers.append((name, value.strip()))
    message = Message(lines[0], headers, b"")
    if message.get("Transfer-Encoding").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            message.body += chunk[:-2]
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(
            int(message.get("Content-Length")))
    elif is_response:
        message.body = await reader.read()
    return message


def response(status, body=b"", headers=()):
    reason = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected",
              429: "Too Many Requests", 500: "Error",
              503: "Unavailable"}.get(status, "Status")
    head = [f"HTTP/1.1 {status} {reason}"]
    head += [f"{name}: {value}" for name, value in headers]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: items, revisions, range reads and watches."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        item = {"key": key,
                "value": base64.b64encode(
                    json.dumps(value).encode()).decode(),
                "rev": self.revision, "create_rev": self.revision, "lease": 0}
        self.items[key] = item
        self._note(item)

    def delete(self, key):
        if key not in self.items:
            return
        del self.items[key]
        self.revision += 1
        self._note({"key": key, "rev": self.revision, "deleted": True})

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def listen(self, address):
        """Serves at IP:port. Returns a gate that holds the machine's state."""
        gate = Gate(self)
        host, port = address.split(":")
        await asyncio.start_server(gate.serve, host, int(port))
        return gate


class Gate:
    """The store as one machine meets it."""

    def __init__(self, store):
        self.store = store
        self.mode = "serve"  # serve, refuse (503) or silent
        self.answer_ms = 4
        self.watching = set()  # Channels on which a watch waits.

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "refuse":
                    writer.write(response(503, b"{}"))
                    continue
                await asyncio.sleep(self.answer_ms / 1000)
                if "/limpethaven/kv-watch?" in request.first:
                    self.watching.add(writer)
                answer = await self.answer(request)
                self.watching.discard(writer)
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            self.watching.discard(writer)
            writer.close()

    def cut_watches(self):
        """Cuts the watches that wait: their channels are closed."""
        for writer in list(self.watching):
            writer.close()

    async def answer(self, request):
        target = urllib.parse.urlsplit(request.first.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        prefix = query.get("prefix", "")
        store = self.store
        if target.path == "/limpethaven/kv-range":
            keys = sorted(key for key in store.items
                          if key.startswith(prefix)
                          and key > query.get("after", ""))
            body = {"items": [store.items[key] for key in keys[:500]],
                    "has_more": len(keys) > 500, "as_of": store.revision}
            return response(200, json.dumps(body).encode())
        if target.path == "/limpethaven/kv-watch":
            after = int(query["after"])
            end = now() + int(query["wait_ms"]) / 1000
            while True:
                changed = store.changed
                events = [event for event in store.history
                          if event["rev"] > after
                          and event["key"].startswith(prefix)]
                if events or now() >= end:
                    body = {"events": events, "as_of": store.revision}
                    return response(200, json.dumps(body).encode())
                try:
                    await asyncio.wait_for(changed.wait(), end - now())
                except asyncio.TimeoutError:
                    pass
        return response(404, b"{}")


def reset(writer):
    """Closes a channel with a reset."""
    channel = writer.get_extra_info("socket")
    if channel is not None and not writer.is_closing():
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                           struct.pack("ii", 1, 0))
    writer.transport.abort()


class Worker:
    """A worker of a plain service."""

    def __init__(self, record, worker_id, service, address, zone):
        self.record = record
        self.id = worker_id
        self.service = service
        self.address = address
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.work_ms = 15
        self.runs = []  # (time, attempt id)
        self.channels = set()
        self.running = set()  # Attempt ids.

    def entry(self, state="ready", **more):
        return {"service": self.service, "addr": self.address,
                "zone": self.zone, "version": "1", "slots": 6, "state": state,
                "cold_left_ms": 0, "seq": 1, "born": self.born, **more}

    async def listen(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def exit(self):
        """Ends as a process that exits: its channels are reset."""
        self.server.close()
        for writer in list(self.channels):
            reset(writer)

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                request = await read_message(reader)
                attempt = request.get("X-Attempt-Id")
                expected = request.get("X-Expect-Instance")
                if expected and expected != self.id:
                    writer.write(response(421, b"", [
                        ("X-Instance", self.id)]))
                    continue
                await self.run(request, attempt, writer)
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def run(self, request, attempt, writer):
        self.runs.append((now(), attempt))
        self.running.add(attempt)
        self.record.line(f"{self.service} {self.id} runs {attempt} "
                         f"tenant {request.get('X-Tenant')}")
        await asyncio.sleep(self.work_ms / 1000)
        self.running.discard(attempt)
        writer.write(response(200, f"{self.service} {attempt}".encode(), [
            ("X-Attempt-Id", attempt), ("X-Server-Seal", "s." + self.id)]))


class Machine:
    """One machine of the system: a process of the project's program."""

    def __init__(self, fleet, number, zone, store_address):
        self.fleet = fleet
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = f"{fleet.net}.{number}"
        self.front = f"{self.ip}:{fleet.port}"
        self.ready = f"{self.ip}:{fleet.port + 1}"
        self.store_address = store_address
        # First port of the range for traffic between machines.
        self.peer_port = fleet.port + 10
        self.process = None
        self.settings_path = os.path.join(fleet.work, self.name + ".json")
        self.log_path = os.path.join(fleet.work, self.name + ".log")

    def write_settings(self):
        port = self.fleet.port
        seeds = [f"{self.fleet.net}.{n}:{port + 2}"
                 for n in self.fleet.seeds]
        settings = {
            "node": self.name, "role": "entry", "class": "front",
            "serves": ["front", "directory", "control"], "ip": self.ip,
            "zone": self.zone, "region": "r",
            "zones": {zone: "r" for zone in self.fleet.zones},
            "listen": {"front": self.front, "ready": self.ready,
                       "control": f"{self.ip}:{port + 2}",
                       "directory": f"{self.ip}:{port + 3}"},
            "port_range": [self.peer_port, self.peer_port + 15],
            "seeds": seeds,
            "bootstrap": True, "loss_counts": False,
            "limits": {"cpu_share": 0.25, "cores": 1,
                       "memory_mb": self.fleet.memory_mb, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "directory",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "split", "stream", "engine", "tenants",
                          "quota", "platform"],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self.fleet.bounds,
            "platform": {"addr": self.store_address, "form": "read",
                         "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": 1048576,
                         "ttl_min_ms": 1000}}
        with open(self.settings_path, "w", encoding="utf-8") as out:
            json.dump(settings, out)

    def start(self):
        self.write_settings()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
               if name in os.environ}
        env["LIMPETHAVEN_SETTINGS"] = self.settings_path
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "--metrics-port", "9464"], cwd=ROOT, env=env,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        PROCESSES.append(self.process)

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        self.signal(signal.SIGSTOP)

    def cont(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await call(self.ready, "GET", "/limpethaven/ready", [])
            return answer.first.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


class Fleet:
    """Machines, store and workers of one case, on free loopback addresses."""

    def __init__(self, machine_count, zones=("a", "b"), bounds=None,
                 memory_mb=110):
        self.work = tempfile.mkdtemp(prefix="limpethaven-case-")
        # Addresses of this range are free with high probability.
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.port = 18360
        self.zones = list(zones)
        self.bounds = dict(BOUNDS if bounds is None else bounds)
        self.memory_mb = memory_mb
        self.seeds = list(range(1, min(3, machine_count) + 1))
        self.store = Store()
        self.machines = []
        self.gates = []
        self.count = machine_count
        self.next_worker = 0

    async def open(self):
        for number in range(1, self.count + 1):
            address = f"{self.net}.250:{20000 + number}"
            self.gates.append(await self.store.listen(address))
            self.machines.append(Machine(
                self, number, self.zones[(number - 1) % len(self.zones)],
                address))

    async def start_all(self):
        for machine in self.machines:
            machine.start()
        end = now() + 20
        while now() < end:
            ready = [await machine.is_ready() for machine in self.machines]
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    async def add_worker(self, record, service, kind=Worker, zone="a"):
        self.next_worker += 1
        number = self.next_worker
        worker = kind(record, f"i-{number:08x}", service,
                      f"{self.net}.{100 + number}:21000", zone)
        await worker.listen()
        self.store.put("servers/" + worker.id, worker.entry())
        return worker

    def close(self):
        for machine in self.machines:
            machine.kill()
        if os.environ.get("KEEP") == "1":
            print("logs are kept in", self.work)
            return
        shutil.rmtree(self.work, ignore_errors=True)


class PeerPath:
    """The way of the peers' traffic to one machine, which can be cut.

    A machine is reached by its peers at its own address and the peers' port.
    Where a path is to be cut, the machines on its two sides have different
    port ranges, and this proxy forwards from the one to the other. While it is
    cut, it takes bytes and datagrams and forwards none, as a silent cut does.
    """

    def __init__(self, ip, from_port, to_port):
        self.ip = ip
        self.from_port = from_port
        self.to_port = to_port
        self.cut = False
        self.healed = asyncio.Event()
        self.healed.set()

    def set_cut(self, cut):
        self.cut = cut
        if cut:
            self.healed.clear()
        else:
            self.healed.set()

    async def listen(self):
        await asyncio.start_server(self.serve, self.ip, self.from_port)
        loop = asyncio.get_running_loop()
        path = self

        class Datagrams(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                self.transport = transport

            def datagram_received(self, data, address):
                if not path.cut:
                    self.transport.sendto(data, (path.ip, path.to_port))

        await loop.create_datagram_endpoint(
            Datagrams, local_addr=(self.ip, self.from_port))

    async def serve(self, reader, writer):
        try:
            await self.healed.wait()
            peer_reader, peer_writer = await asyncio.open_connection(
                self.ip, self.to_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.copy(reader, peer_writer),
                             self.copy(peer_reader, writer))

    async def copy(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.healed.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()


async def call(address, method, target, headers, body=b"", timeout_s=5.0):
    """One call on a channel of its own. Raises at a broken channel."""
    host, port = address.split(":")
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(host, int(port)), 1.0)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if not any(name == "Host" for name, _ in headers):
            lines.append(f"Host: {address}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return await asyncio.wait_for(read_message(reader, True), timeout_s)
    finally:
        writer.close()


def status_of(message):
    return int(message.first.split(" ")[1])


def run_case(play):
    """Runs a case and exits: 1 broken, 0 held, 2 the case could not run."""

    def give_up():
        end_processes()
        os._exit(2)

    async def guarded():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await play()

    watchdog = threading.Timer(118, give_up)
    watchdog.daemon = True
    watchdog.start()
    try:
        code = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError):  # pylint: disable=broad-except
        traceback.print_exc()
        code = 2
    end_processes()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
