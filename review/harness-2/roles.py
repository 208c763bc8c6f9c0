"""Model workers that take role orders, their load, and the check of the epoch
numbers that reach them."""

import asyncio
import json
import random
import time

import fleet as f

ENTRIES = 3
PREFILL = 16
DECODE = 2
SLOTS = 16
STRIDE = 6
SWITCH_S = 1.0
RATE_PER_S = 25


class Engine:
    """A model worker that prefills, streams and carries out orders."""

    def __init__(self, fleet, number, stage):
        self.fleet = fleet
        self.ip = fleet.ip(100 + number)
        self.id = "i-%08x" % (0xa0000000 + number)
        self.stage = stage
        self.busy = False
        self.orders_accepted = 0
        self.orders = []  # (time, sender's holder, fence)
        self.server = f.Server(self.ip, f.WORKER_PORT, self.answer)
        self.handles = 0

    async def announce(self):
        item = f.worker_item("scribe", self.ip, self.stage, SLOTS)
        item["seq"] = self.orders_accepted
        await self.fleet.store.put("servers/" + self.id, item)

    async def answer(self, request, writer, _):
        record = self.fleet.record
        head = {}
        if "x-attempt-id" in request.headers:
            head["X-Attempt-Id"] = request.headers["x-attempt-id"]
        if request.headers.get("x-expect-instance", self.id) != self.id:
            writer.write(f.response(421, head))
        elif request.path == "/limpethaven/order":
            writer.write(self.take_order(json.loads(request.body)))
        elif request.path == "/limpethaven/report":
            body = {"stage": self.stage,
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": self.busy, "seq": self.orders_accepted,
                    "queued": 0, "running": 0, "kv_used": 0,
                    "kv_total": 40000, "handles": 0}
            writer.write(f.response(200, {"Content-Type": "application/json"},
                                    json.dumps(body).encode()))
        elif request.headers.get("x-stage") == "prefill":
            if self.stage != "prefill" or self.busy:
                writer.write(f.response(503, dict(head, **{"X-Not-Run": "1"})))
            else:
                tokens = int(request.headers["x-token-count"].split(",")[0])
                await asyncio.sleep(tokens * 0.00003 + 0.004)
                self.handles += 1
                body = {"handle": "%s%06x" % (self.id[-4:], self.handles),
                        "tokens": tokens, "version": 1}
                writer.write(f.response(
                    200, dict(head, **{"X-Server-Seal": "s"}),
                    json.dumps(body).encode()))
        else:
            if self.stage != "decode" or self.busy:
                writer.write(f.response(503, dict(head, **{"X-Not-Run": "1"})))
            else:
                record.add("worker  %s runs %s" % (self.id,
                                                   head["X-Attempt-Id"]))
                await asyncio.sleep(0.25)
                tokens = int(request.headers["x-token-count"].split(",")[1])
                events = b"".join(b"id: %d\ndata: a\n\n" % (number + 1)
                                  for number in range(tokens // STRIDE))
                writer.write(f.response(
                    200, dict(head, **{"X-Server-Seal": "s",
                                       "Content-Type": "text/event-stream"}),
                    events))
        await writer.drain()
        return True

    def take_order(self, order):
        record = self.fleet.record
        record.say("order   to %s: stage %s, holder %s, fence %d" %
                   (self.id, order["stage"], order["holder"], order["fence"]))
        self.orders.append((record.now(), order["holder"], order["fence"]))
        if self.busy:
            return f.response(409)
        if order["stage"] == self.stage:
            return f.response(200)
        self.busy = True
        self.orders_accepted += 1
        asyncio.get_running_loop().create_task(self.switch(order["stage"]))
        return f.response(202)

    async def switch(self, stage):
        await asyncio.sleep(SWITCH_S)
        self.stage = stage
        self.busy = False
        await self.announce()


class Load:
    """Clients that send generations; `tokens` may be changed meanwhile."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.tokens = (100, 100)
        self.number = 0
        self.statuses = {}
        self.stopped = False
        self.running = None

    def start(self):
        self.stopped = False
        self.running = asyncio.get_running_loop().create_task(self.run())

    async def stop(self):
        self.stopped = True
        await self.running

    async def run(self):
        while not self.stopped:
            self.number += 1
            asyncio.get_running_loop().create_task(self.send(self.number))
            await asyncio.sleep(1 / RATE_PER_S)

    async def send(self, number):
        entry = random.choice(self.fleet.entries)
        prompt, output = self.tokens
        attempt = "%016x" % number
        headers = {"X-Attempt-Id": attempt, "X-Model": "m",
                   "X-Token-Count": "%d,%d" % (prompt, output),
                   "X-Prefix-Hash": "%x:%d" % (number, prompt),
                   "X-Deadline-Ms": "14000"}
        try:
            answer = await f.call(entry.ip, f.FRONT_PORT, "POST", "/write/2f",
                                  headers, b"prompt", 15)
            text = str(answer.status)
        except (OSError, f.Trouble, asyncio.TimeoutError):
            text = "no answer"
        self.statuses[text] = self.statuses.get(text, 0) + 1
        self.fleet.record.add("client  %s to entry %d: %s" %
                              (attempt, entry.number, text))


def broken_order(engines):
    """The first pair of orders to one engine that breaks the rule."""
    for engine in engines:
        highest = None
        for order in engine.orders:
            if highest is None or order[2] > highest[2]:
                highest = order
                continue
            same_holder = order[1] == highest[1]
            if order[2] < highest[2] or not same_holder:
                return engine, highest, order
    return None


async def play(record, disturb):
    """Orders of a first holder, `disturb(fleet, load)`, and orders after it.

    Returns whether the rule held."""
    fleet = f.Fleet(record)
    load = Load(fleet)
    engines = [Engine(fleet, number, "prefill" if number < PREFILL
                      else "decode") for number in range(PREFILL + DECODE)]
    try:
        for engine in engines:
            await engine.server.start()
            await engine.announce()
        await fleet.store.put("op/config", {
            "version": 7,
            "routes": [f.route("write", "/write/", "stream", "scribe",
                               public=True)],
            "services": [f.engine_service("scribe", SLOTS, SWITCH_S)],
            "limits": f.LIMITS, "tenants": []})
        await fleet.start(ENTRIES)
        # Long answers: more decode workers are needed.
        load.tokens = (100, 4000)
        load.start()
        end = time.monotonic() + 30
        while time.monotonic() < end:
            if sum(len(engine.orders) for engine in engines) >= 6:
                break
            await asyncio.sleep(0.2)
        given = sum(len(engine.orders) for engine in engines)
        record.say("%d orders so far" % given)
        if given == 0:
            raise f.Trouble("no order was given")
        await asyncio.sleep(3)
        await disturb(fleet, load)
        # Long prompts: more prefill workers are needed.
        load.tokens = (6000, 6)
        end = time.monotonic() + 30
        while time.monotonic() < end and broken_order(engines) is None:
            await asyncio.sleep(0.2)
        await load.stop()
        record.say("answers: %s" % load.statuses)
        found = broken_order(engines)
        if found is None:
            return True
        engine, before, after = found
        record.say("%s got fence %d of %s at %.3f and then fence %d of %s at "
                   "%.3f" % (engine.id, before[2], before[1], before[0],
                             after[2], after[1], after[0]))
        return False
    finally:
        load.stopped = True
        await fleet.stop()
