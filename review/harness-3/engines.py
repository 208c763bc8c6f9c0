"""Stand-in for model workers: prefill, decode and orders to change the stage."""

import asyncio
import json
import random

from fleet import now, read_message, response

SLOTS = 12
KV_TOKENS = 26824
STAGE_SWITCH_S = 6.0


def engine_service(name):
    """Service of model workers in the operator's configuration."""
    return {"name": name, "health_path": "/healthz", "max_conns": 490,
            "proto": "h1", "tls": False,
            "engine": {"slots": SLOTS, "kv_tokens": KV_TOKENS,
                       "kv_token_bytes": 35136, "link_mbps": 180000.0,
                       "moves": True, "backups": True, "stride": 6,
                       "most": 12, "handle_ttl_s": 0.5,
                       "stage_switch_s": STAGE_SWITCH_S, "pin_ms": 4000.0,
                       "hold_ms": 2000.0, "models": [{"name": "m"}]}}


class Engine:
    """One model worker."""

    def __init__(self, fleet, record, number, service, stage, zone,
                 slots=SLOTS):
        self.fleet = fleet
        self.record = record
        self.id = f"i-e{number:07x}"
        self.service = service
        self.stage = stage
        self.zone = zone
        self.slots = slots
        self.address = f"{fleet.net}.{150 + number}:21000"
        self.born = 1_700_000_000_000 + number
        self.changing = False
        self.running = 0
        self.accepted = 0
        self.orders = []  # (time, holder, fence, stage, status)
        self.runs = []
        self.handles = {}

    def publish(self, cold_left_ms=0):
        self.fleet.store.put("servers/" + self.id, {
            "service": self.service, "addr": self.address, "zone": self.zone,
            "version": "1", "slots": self.slots, "state": "ready",
            "cold_left_ms": cold_left_ms, "seq": 1, "born": self.born,
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}]})

    async def listen(self):
        host, port = self.address.split(":")
        await asyncio.start_server(self.serve, host, int(port))
        self.publish()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                await self.answer(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        method, target, _ = request.first.split(" ")
        attempt = request.get("X-Attempt-Id")
        echo = [("X-Attempt-Id", attempt)] if attempt else []
        expected = request.get("X-Expect-Instance")
        if expected and expected != self.id:
            writer.write(response(421, b"", [("X-Instance", self.id)]))
            return
        if target == "/limpethaven/order":
            writer.write(self.order(json.loads(request.body)))
            return
        if target.startswith("/limpethaven/"):
            writer.write(response(200, b"{}"))
            return
        if self.changing:
            writer.write(response(503, b"", echo + [("X-Not-Run", "1")]))
            return
        wants_prefill = request.get("X-Stage") == "prefill"
        if wants_prefill != (self.stage == "prefill"):
            writer.write(response(421, b"", echo + [("X-Not-Run", "1")]))
            return
        if self.running >= self.slots:
            writer.write(response(503, b"", echo + [("X-Not-Run", "1")]))
            return
        self.running += 1
        try:
            if wants_prefill:
                await self.prefill(request, echo, writer)
            else:
                await self.decode(request, attempt, echo, writer)
        finally:
            self.running -= 1

    async def prefill(self, request, echo, writer):
        tokens = int(request.get("X-Token-Count").split(",")[0])
        await asyncio.sleep(tokens / 33333.3)
        handle = f"{random.randrange(1 << 48):012x}"
        body = json.dumps({"handle": handle, "tokens": tokens, "version": 1})
        writer.write(response(200, body.encode(), echo))

    async def decode(self, request, attempt, echo, writer):
        self.runs.append((now(), attempt))
        prompt, count = map(int, request.get("X-Token-Count").split(","))
        if not request.get("X-Kv-From"):
            await asyncio.sleep(prompt / 16666.7)
        first = int(request.get("Last-Event-Id") or 0)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked", f"X-Server-Seal: s.{self.id}"]
        head += [f"{name}: {value}" for name, value in echo]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(first + 1, count + 1):
            await asyncio.sleep(0.00655)
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def order(self, order):
        """Answers an order, and carries it out when it is accepted."""
        holder, fence = order.get("holder"), order.get("fence")
        if order.get("op") != "stage" or holder is None or fence is None:
            return response(400, b"")
        if self.changing:
            status = 409
        elif order["stage"] == self.stage:
            status = 200
        else:
            status = 202
            self.changing = True
            asyncio.get_running_loop().create_task(self.change(order["stage"]))
        self.orders.append((now(), holder, fence, order["stage"], status))
        self.record.line(f"engine {self.id} got order stage="
                         f"{order['stage']} holder={holder} fence={fence}: "
                         f"{status}")
        return response(status, b"")

    async def change(self, stage):
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(STAGE_SWITCH_S)
        self.stage = stage
        self.changing = False
        self.publish()
