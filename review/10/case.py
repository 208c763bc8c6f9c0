"""Use of a tenant's allotment when all entry processes are killed and start
again."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness-2"))
sys.dont_write_bytecode = True

import fleet as f  # noqa: E402

ENTRIES = 7
WORKERS = 4
KEY = "k3d3zji9n73hh2b9wu3fe"
RATE_PER_S = 20000
BURST = 20000
TOKENS = 1000  # Of one request.
USUAL_PER_S = 11.1  # Requests; the limit is 1.8 times as much, as on the site.
HOT_X = 6.0
HOT_S = 11
USUAL_S = 15  # Before the tenant sends more.
KILL_AFTER_S = 4.5  # After that.


class Worker:
    def __init__(self, fleet, number, runs):
        self.fleet = fleet
        self.ip = fleet.ip(100 + number)
        self.id = "i-%08x" % (0xb0000000 + number)
        self.runs = runs
        self.server = f.Server(self.ip, f.WORKER_PORT, self.answer)

    async def answer(self, request, writer, _):
        head = {"X-Attempt-Id": request.headers.get("x-attempt-id", ""),
                "X-Server-Seal": "s"}
        if request.headers.get("x-expect-instance", self.id) != self.id:
            writer.write(f.response(421, head))
        else:
            record = self.fleet.record
            self.runs.append((record.now(), head["X-Attempt-Id"]))
            record.add("worker  %s runs %s for %s" % (
                self.id, head["X-Attempt-Id"],
                request.headers.get("x-tenant")))
            writer.write(f.response(200, head, b"done"))
        await writer.drain()
        return True


class Load:
    def __init__(self, fleet):
        self.fleet = fleet
        self.number = 0
        self.sent = {}
        self.statuses = {}
        self.tasks = set()

    async def run(self):
        loop = asyncio.get_running_loop()
        start = loop.time()
        due = 0.0
        last = start
        while loop.time() - start < USUAL_S + HOT_S:
            now = loop.time()
            hot = now - start >= USUAL_S
            due += (now - last) * USUAL_PER_S * (HOT_X if hot else 1)
            last = now
            while self.number < due:
                self.number += 1
                task = loop.create_task(self.send(self.number))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(0.005)
        await asyncio.gather(*self.tasks)

    async def send(self, number):
        entry = self.fleet.entries[number % ENTRIES]
        attempt = "%016x" % number
        headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": "600",
                   "Authorization": "Bearer " + KEY}
        self.sent[attempt] = self.fleet.record.now()
        try:
            answer = await f.call(entry.ip, f.FRONT_PORT, "GET", "/read/2f",
                                  headers, b"", 2)
            text = str(answer.status)
        except (OSError, f.Trouble, asyncio.TimeoutError):
            text = "no answer"
        self.statuses[text] = self.statuses.get(text, 0) + 1
        if text != "429":
            self.fleet.record.add("client  %s to entry %d: %s" %
                                  (attempt, entry.number, text))


def most_in_window(runs, sent, window_s):
    """Most tokens of requests that were both sent and run in one window, and
    the start of that window."""
    spans = sorted((sent[attempt], at) for at, attempt in runs)
    best = (0, 0.0)
    for index, (start, _) in enumerate(spans):
        count = sum(1 for begin, end in spans[index:]
                    if begin < start + window_s and end <= start + window_s)
        best = max(best, (count * TOKENS, start))
    return best


async def case(record, trouble):
    fleet = f.Fleet(record)
    bounds = fleet.bounds
    load = Load(fleet)
    runs = []
    workers = [Worker(fleet, number, runs) for number in range(WORKERS)]
    try:
        for worker in workers:
            await worker.server.start()
            await fleet.store.put("servers/" + worker.id, f.worker_item(
                "shop", worker.ip))
        await fleet.store.put("op/config", {
            "version": 7,
            "routes": [f.route("read", "/read/", "idempotent", "shop",
                               timeout_ms=600, slo_ms=100)],
            "services": [f.plain_service("shop")],
            "limits": f.LIMITS,
            "tenants": [{"name": "north", "api_keys": [KEY], "priority": 1,
                         "unit": "per_token", "plain_tokens": TOKENS,
                         "rate_per_s": RATE_PER_S, "burst": BURST}]})
        await fleet.start(ENTRIES)
        # As long as the platform waits between the start and the traffic.
        await asyncio.sleep(10)
        running = asyncio.get_running_loop().create_task(load.run())
        await asyncio.sleep(USUAL_S + KILL_AFTER_S)
        if trouble:
            record.say("all entry processes are killed")
            for entry in fleet.entries:
                entry.signal(signal.SIGKILL)
            for entry in fleet.entries:
                await entry.ended()
            await asyncio.sleep(0.5)
            for entry in fleet.entries:
                await entry.start()
            await fleet.wait_ready(15)
            record.say("all entry processes are ready again")
        await running
        record.say("answers: %s" % load.statuses)
        window_s = bounds["quota_window_s"]
        used, start = most_in_window(runs, load.sent, window_s)
        allowed = ((RATE_PER_S * window_s + BURST) *
                   (1 + bounds["quota_excess"]) + bounds["quota_slack"])
        record.say("most tokens in %d s: %d, from %.3f; allowed: %d" %
                   (window_s, used, start, allowed))
        return used <= allowed
    finally:
        await fleet.stop()


f.run_case(FOLDER, case)
