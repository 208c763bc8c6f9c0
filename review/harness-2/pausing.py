"""Model workers that preempt streams when their memory runs out, and the
clients of these streams."""

import asyncio

import fleet as f

ENTRIES = 2
SLOTS = 16
STREAMS = 14
PROMPT = 1000
EVENTS = 24
STRIDE = 60  # Tokens of an event.
STEP_S = 0.14
# Fourteen prompts with a third of their output fit in, or all of their output.
SMALL_MEMORY = 20400
LARGE_MEMORY = 60000
RESUME_ROOM = 3 * STRIDE  # Left free when a preempted stream is read in again.
READ_MS_PER_TOKEN = 0.06
GIVE_UP_S = 3.6
OCCUPIED_S = 20  # The requests whose clients have left run for so long.


class Stream:
    def __init__(self, name, started, tokens):
        self.name = name
        self.started = started
        self.tokens = tokens
        self.preempted = False


class Engine:
    """A model worker. One without `drops` works on when the channel of a
    request closes; one with `occupied` works for `OCCUPIED_S` on each."""

    def __init__(self, fleet, number, stage, memory, occupied=False,
                 drops=True):
        self.fleet = fleet
        self.stage = stage
        self.memory = memory
        self.occupied = occupied
        self.drops = drops
        self.starts = {}  # Time of the start, by request.
        self.work = {}  # Time of the last event made, by request.
        self.preemptions = 0
        self.streams = []  # In the order of their start.
        self.ip = fleet.ip(100 + number)
        self.id = "i-%08x" % (0xe0000000 + number)
        self.server = f.Server(self.ip, f.WORKER_PORT, self.answer)
        self.handles = 0

    async def announce(self):
        await self.fleet.store.put("servers/" + self.id, f.worker_item(
            "scribe", self.ip, self.stage, SLOTS))

    def used(self):
        return sum(stream.tokens for stream in self.streams
                   if not stream.preempted)

    def is_full(self):
        return (len(self.streams) >= SLOTS
                or self.used() + PROMPT + STRIDE > self.memory)

    async def answer(self, request, writer, _):
        head = {"X-Attempt-Id": request.headers.get("x-attempt-id", "")}
        prefill = request.headers.get("x-stage") == "prefill"
        if (request.headers.get("x-expect-instance", self.id) != self.id
                or prefill != (self.stage == "prefill")):
            writer.write(f.response(421, {"X-Instance": self.id}))
        elif prefill:
            await asyncio.sleep(PROMPT * 0.00003)
            self.handles += 1
            writer.write(f.response(
                200, dict(head, **{"X-Server-Seal": "s"}),
                b'{"handle":"%s%06x","tokens":1000,"version":1}' %
                (self.id[-4:].encode(), self.handles)))
        elif self.is_full():
            self.fleet.record.add("worker  %s is full, rejects %s" % (
                self.id, head["X-Attempt-Id"]))
            writer.write(f.response(503, dict(head, **{"X-Not-Run": "1"})))
        else:
            return await self.run(request, head, writer)
        await writer.drain()
        return True

    def make_room(self):
        """Preempts the newest streams until one more event fits in."""
        while self.used() + STRIDE > self.memory:
            newest = [stream for stream in self.streams
                      if not stream.preempted][-1]
            newest.preempted = True
            self.preemptions += 1
            self.fleet.record.add("worker  %s preempts %s" % (
                self.id, newest.name))

    def may_return(self, stream):
        first = next(other for other in self.streams if other.preempted)
        return (stream is first and
                self.used() + stream.tokens + RESUME_ROOM <= self.memory)

    async def run(self, request, head, writer):
        record = self.fleet.record
        name = head["X-Attempt-Id"]
        first = int(request.headers.get("last-event-id", "0")) + 1
        stream = Stream(name, record.now(), PROMPT + (first - 1) * STRIDE)
        self.streams.append(stream)
        self.starts[name] = record.now()
        record.add("worker  %s runs %s from event %d" % (self.id, name, first))
        lines = "".join("%s: %s\r\n" % row for row in dict(
            head, **{"X-Server-Seal": "s",
                     "Content-Type": "text/event-stream",
                     "Transfer-Encoding": "chunked"}).items())
        writer.write(("HTTP/1.1 200 OK\r\n%s\r\n" % lines).encode())
        try:
            if self.occupied:
                await asyncio.sleep(OCCUPIED_S)
                return False
            for number in range(first, EVENTS + 1):
                if not stream.preempted:
                    self.make_room()
                while stream.preempted:
                    if self.drops and writer.transport.is_closing():
                        break
                    if self.may_return(stream):
                        stream.preempted = False
                        await asyncio.sleep(
                            stream.tokens * READ_MS_PER_TOKEN / 1000)
                        record.add("worker  %s goes on with %s" % (
                            self.id, name))
                        break
                    await asyncio.sleep(0.02)
                if self.drops and writer.transport.is_closing():
                    record.add("worker  %s drops %s, its channel is closed" % (
                        self.id, name))
                    return False
                stream.tokens += STRIDE
                self.work[name] = record.now()
                event = b"id: %d\ndata: a\n\n" % number
                if not writer.transport.is_closing():
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await asyncio.sleep(STEP_S)
            if not writer.transport.is_closing():
                writer.write(b"0\r\n\r\n")
            record.add("worker  %s has ended %s" % (self.id, name))
            return not writer.transport.is_closing()
        finally:
            self.streams.remove(stream)


async def ask(fleet, number, results, leave_after_s=None):
    """Sends a stream to the first entry; leaves early if asked to."""
    record = fleet.record
    name = "%016x" % number
    headers = {"Host": f.HOST, "X-Attempt-Id": name, "X-Model": "m",
               "X-Token-Count": "%d,%d" % (PROMPT, EVENTS * STRIDE),
               "X-Length-Hint": "60",
               "X-Prefix-Hash": "7:200,%x:800" % number,
               "X-Deadline-Ms": "14000"}
    lines = "".join("%s: %s\r\n" % row for row in headers.items())
    reader, writer = await asyncio.open_connection(fleet.entries[0].ip,
                                                   f.FRONT_PORT)
    writer.write(("POST /write/2f HTTP/1.1\r\n%sContent-Length: 6\r\n\r\n"
                  "prompt" % lines).encode())
    sent_at = record.now()
    body = b""
    status = "none"
    end = "cut"
    try:
        if leave_after_s is not None:
            await asyncio.sleep(leave_after_s)
            end = "left"
            return
        first, _ = await asyncio.wait_for(f.read_head(reader), GIVE_UP_S)
        status = first.split(" ")[1]
        if status != "200":
            end = "refused"
            return
        while True:
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), GIVE_UP_S)
            part = await reader.readexactly(int(line, 16) + 2)
            if line == b"0\r\n":
                break
            body += part[:-2]
        end = "whole" if body.count(b"id: ") == EVENTS else "short"
    except asyncio.TimeoutError:
        end = "given up by the client"
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()
        results[end] = results.get(end, 0) + 1
        record.add("client  %s sent at %.3f: status %s, %d events, %s" % (
            name, sent_at, status, body.count(b"id: "), end))


async def start(fleet, engines, memory):
    """Starts the workers and the entries; announces the given workers."""
    for engine in engines:
        await engine.server.start()
        await engine.announce()
    service = f.engine_service("scribe", SLOTS, 0)
    service["engine"].update(kv_tokens=memory, stride=STRIDE)
    await fleet.store.put("op/config", {
        "version": 7,
        "routes": [f.route("write", "/write/", "stream", "scribe",
                           public=True, attempts=2, can_resume=True)],
        "services": [service],
        "limits": f.LIMITS, "tenants": []})
    await fleet.start(ENTRIES)
    # As long as there is between the start and the traffic of the site.
    await asyncio.sleep(10)


async def ask_all(fleet, results):
    """Sends `STREAMS` streams, one each 50 ms. Returns their tasks."""
    tasks = []
    for number in range(STREAMS):
        tasks.append(asyncio.get_running_loop().create_task(
            ask(fleet, number, results)))
        await asyncio.sleep(0.05)
    return tasks
