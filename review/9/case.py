"""Generations that wait in the queue of a process that is killed."""

import asyncio
import os
import re
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness-2"))
sys.dont_write_bytecode = True

import fleet as f  # noqa: E402

ENTRIES = 3
PREFILL = 4
DECODE = 8
SLOTS = 4
QUEUE = 2
RUN_S = 1.0
TIMEOUT_MS = 3000
GIVE_UP_S = 3.6  # Four times the objective of 900 ms.
PER_S = 25
BURST_X = 2.3
BURST_S = 4
BURST_AT_S = 6
KILL_AT_S = BURST_AT_S + 3.5


class Engine:
    """A model worker with slots and a short queue."""

    def __init__(self, fleet, number, stage):
        self.fleet = fleet
        self.stage = stage
        self.ip = fleet.ip(100 + number)
        self.id = "i-%08x" % (0xd0000000 + number)
        self.server = f.Server(self.ip, f.WORKER_PORT, self.answer)
        self.slots = asyncio.Semaphore(SLOTS)
        self.taken = 0
        self.handles = 0

    async def answer(self, request, writer, _):
        head = {"X-Attempt-Id": request.headers.get("x-attempt-id", "")}
        prefill = request.headers.get("x-stage") == "prefill"
        if (request.headers.get("x-expect-instance", self.id) != self.id
                or prefill != (self.stage == "prefill")):
            writer.write(f.response(421, {"X-Instance": self.id}))
        elif prefill:
            await asyncio.sleep(0.01)
            self.handles += 1
            writer.write(f.response(
                200, dict(head, **{"X-Server-Seal": "s"}),
                b'{"handle":"%s%06x","tokens":500,"version":1}' %
                (self.id[-4:].encode(), self.handles)))
        elif self.taken >= SLOTS + QUEUE:
            writer.write(f.response(503, dict(head, **{"X-Not-Run": "1"})))
        else:
            return await self.run(head, writer)
        await writer.drain()
        return True

    async def run(self, head, writer):
        self.taken += 1
        try:
            async with self.slots:
                if writer.transport.is_closing():
                    return False
                self.fleet.record.add("worker  %s runs %s" % (
                    self.id, head["X-Attempt-Id"]))
                await asyncio.sleep(0.05)
                lines = "".join("%s: %s\r\n" % row for row in dict(
                    head, **{"X-Server-Seal": "s",
                             "Content-Type": "text/event-stream",
                             "Transfer-Encoding": "chunked"}).items())
                writer.write(("HTTP/1.1 200 OK\r\n%s\r\n" % lines).encode())
                for number in range(1, 6):
                    event = b"id: %d\ndata: a\n\n" % number
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                    await asyncio.sleep(RUN_S / 5)
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        finally:
            self.taken -= 1
        return True


class Load:
    def __init__(self, fleet):
        self.fleet = fleet
        self.number = 0
        self.rows = []  # (entry, sent at, seconds until the answer or None)
        self.tasks = set()

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        start = loop.time()
        due = 0.0
        while loop.time() - start < seconds:
            since = loop.time() - start - BURST_AT_S
            due += 0.01 * PER_S * (BURST_X if 0 <= since < BURST_S else 1)
            while self.number < due:
                self.number += 1
                task = loop.create_task(self.send(self.number))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(0.01)
        await asyncio.gather(*self.tasks)

    async def send(self, number):
        record = self.fleet.record
        entry = self.fleet.entries[number % ENTRIES]
        attempt = "%016x" % number
        headers = {"X-Attempt-Id": attempt, "X-Model": "m",
                   "X-Token-Count": "500,30",
                   "X-Prefix-Hash": "%x:500" % number,
                   "X-Deadline-Ms": "14000", "Host": f.HOST}
        sent_at = record.now()
        answered = None
        text = "no connection"
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(entry.ip, f.FRONT_PORT), 1)
            lines = "".join("%s: %s\r\n" % row for row in headers.items())
            writer.write(("POST /write/2f HTTP/1.1\r\n%s"
                          "Content-Length: 6\r\n\r\nprompt" % lines).encode())
            text = "gave up"
            first, _ = await asyncio.wait_for(f.read_head(reader), GIVE_UP_S)
            answered = record.now() - sent_at
            text = first.split(" ")[1]
            if text == "200":
                try:
                    await asyncio.wait_for(f.read_chunks(reader), 14)
                except (asyncio.IncompleteReadError, ConnectionError):
                    text = "200, cut"
        except asyncio.TimeoutError:
            pass  # Also when no channel was made within a second.
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            if writer is not None:
                text = "closed"
                answered = record.now() - sent_at
        finally:
            if writer is not None:
                writer.close()
        if text != "no connection":
            self.rows.append((entry, sent_at, answered))
        record.add("client  %s to entry %d at %.3f: %s after %.3f" % (
            attempt, entry.number, sent_at, text, record.now() - sent_at))


def owner_of(fleet):
    """The entry that places most generations, by the entries' logs."""
    text = "".join(entry.log_text() for entry in fleet.entries)
    names = re.findall(r"name=route_decision .*? owner=(\S+)", text)
    if not names:
        raise f.Trouble("no placement in the logs")
    ip = max(set(names), key=names.count)
    return next(entry for entry in fleet.entries if entry.ip == ip)


async def case(record, trouble):
    fleet = f.Fleet(record)
    engines = [Engine(fleet, number, "prefill" if number < PREFILL
                      else "decode") for number in range(PREFILL + DECODE)]
    load = Load(fleet)
    disturbed = None
    try:
        for engine in engines:
            await engine.server.start()
            await fleet.store.put("servers/" + engine.id, f.worker_item(
                "scribe", engine.ip, engine.stage, SLOTS))
        await fleet.store.put("op/config", {
            "version": 7,
            "routes": [f.route("write", "/write/", "stream", "scribe",
                               public=True, timeout_ms=TIMEOUT_MS)],
            "services": [f.engine_service("scribe", SLOTS, 0)],
            "limits": f.LIMITS, "tenants": []})
        await fleet.start(ENTRIES)
        await asyncio.sleep(3)
        running = asyncio.get_running_loop().create_task(load.run(16))
        await asyncio.sleep(KILL_AT_S)
        if trouble:
            disturbed = owner_of(fleet)
            disturbed.signal(signal.SIGKILL)
            record.say("entry %d, which places the generations, is killed" %
                       disturbed.number)
            await disturbed.ended()
            await asyncio.sleep(0.5)
            await disturbed.start()
        await running
        timeout_s = TIMEOUT_MS / 1000
        calm = [row for row in load.rows if row[0] is not disturbed]
        lasted = [row for row in calm if row[2] is None or row[2] > timeout_s]
        late = [row for row in lasted
                if row[2] is None or row[2] > timeout_s + 0.5]
        record.say("%d requests to entries that were not disturbed; %d had no "
                   "answer at %d ms, %d of these none 500 ms later" %
                   (len(calm), len(lasted), TIMEOUT_MS, len(late)))
        return not (len(late) >= 8 and 2 * len(late) > len(lasted))
    finally:
        await fleet.stop()


f.run_case(FOLDER, case)
