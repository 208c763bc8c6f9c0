"""Both machines of a deployment are stopped in turn, one second apart. Clients
cannot obtain a new address answer and stay on their channels; bookings that come
late in the grace time take longer than those before."""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import fleet  # noqa: E402

ENTRIES = 2
GAP_S = 1.0
GRACE_S = 8
CLIENTS = 6  # Of each entry process.
EVENTS = 60
STEP_S = 0.1  # A stream lasts 6 s.
SHORT_S = 0.3  # Work of the usual bookings.
LONG_S = 2.5  # Work of a large one.


class Addresses:
    """The address answer of a client that keeps it three times its `ttl_s`, and
    longer where it cannot obtain a new one."""

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.addresses = []
        self.expires_at = 0.0

    async def ask(self):
        for entry in self.deployment.entries:
            client = fleet.Client(entry.directory)
            try:
                target = "/limpethaven/resolve?name=%s&region=anadolu&zone=kayseri-a" % fleet.HOST
                answer = await asyncio.wait_for(client.call("GET", target, {}), 1.0)
                fields = json.loads(answer.body) if answer.status == 200 else {}
            except (OSError, ValueError, asyncio.TimeoutError):
                fields = {}
            client.close()
            if fields.get("addrs"):
                self.addresses = fields["addrs"]
                self.expires_at = fleet.now_ms() + 3000 * min(fields["ttl_s"], 5)
                self.record.line("resolved", addresses=",".join(self.addresses), ttl_s=fields["ttl_s"])
                return True
        self.record.line("not-resolved")
        return False

    async def keep(self):
        while True:
            await asyncio.sleep(max(0.5, (self.expires_at - fleet.now_ms()) / 1000))
            if fleet.now_ms() >= self.expires_at:
                await self.ask()


async def stream(worker, request):
    await request.body()
    first = int(request.head.get("last-event-id") or 0) + 1
    worker.ran(request, first=first)
    writer = request.channel.writer
    writer.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\n"
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                  % (request.id, worker.seal(b""))).encode())
    for number in range(first, EVENTS + 1):
        event = b"id: %d\ndata: tokens %d\n\n" % (number, number)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(STEP_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def book(worker, request):
    body = await request.body()
    worker.ran(request, work=body.decode("latin-1"))
    await asyncio.sleep(LONG_S if body == b"large" else SHORT_S)
    worker.record.line("worker-done", id=request.id)
    request.answer(worker, b"booked " + request.id.encode())
    return True


async def play(record, folder):
    deployment = fleet.Fleet(record, folder, entries=ENTRIES)
    try:
        await deployment.start(
            fleet.config(3, [fleet.route("recon", "/recon/", "stream", "asistan", 2, 14000, 900, sticky=True,
                                         can_resume=True, gap_aim_ms=300),
                             fleet.route("book", "/book/", "non_idempotent", "defter", 1, 8000, 1000)],
                         [fleet.service("defter"), fleet.service("asistan", 360, fleet.ENGINE)],
                         [fleet.tenant()]),
            [dict(service="defter", behave=book, slots=32) for _ in range(2)]
            + [dict(service="asistan", behave=stream, stage="decode", slots=64) for _ in range(2)])
        stopped = [0.0] * ENTRIES
        whole, refused, cut = [], [], []

        async def ask(client, path, headers, body):
            record.line("send", id=headers["X-Attempt-Id"], path=path)
            answer = await client.call("POST", path, headers, body)
            record.line("answer", id=headers["X-Attempt-Id"], status=answer.status,
                        complete=answer.complete)
            return answer

        addresses = Addresses(deployment, record)
        if not await addresses.ask():
            raise fleet.CannotRun("no directory answers")
        keeper = asyncio.ensure_future(addresses.keep())

        async def run_client(index, number):
            client = fleet.Client(deployment.entries[index].front)
            for _ in range(3):  # Bookings before the stop.
                await ask(client, "/book/depot", fleet.request_headers(8000), b"usual")
            headers = fleet.request_headers(14000)
            headers.update({"X-Model": "m", "X-Token-Count": "1000,312",
                            "X-Prefix-Hash": "00000007:200,%08x:800" % (index * 100 + number)})
            answer = await ask(client, "/recon/report", headers, b"p" * 3000)
            if client.writer is None or not answer.complete:
                record.line("channel-ended", entry=index + 1)
                return
            if "%s:%d" % client.address not in addresses.addresses:
                record.line("channel-left", entry=index + 1)
                return
            headers = fleet.request_headers(8000)
            sent_s = (fleet.now_ms() - stopped[index]) / 1000
            answer = await ask(client, "/book/depot", headers, b"large")
            took_s = (fleet.now_ms() - stopped[index]) / 1000
            row = (headers["X-Attempt-Id"], sent_s, took_s)
            if answer.complete and answer.status == 200:
                whole.append(row)
            elif answer.complete:
                refused.append(row)
            else:
                cut.append(row)
                record.line("broken", id=row[0], sent_s="%.2f" % sent_s, cut_s="%.2f" % took_s)

        clients = [asyncio.ensure_future(run_client(index, number))
                   for index in range(ENTRIES) for number in range(CLIENTS)]
        await asyncio.sleep(3 * SHORT_S + 0.5)
        if fleet.trouble():
            for index in range(ENTRIES):
                stopped[index] = fleet.now_ms()
                record.line("sigterm", entry=index + 1)
                deployment.entries[index].signal(signal.SIGTERM)
                await asyncio.sleep(GAP_S)
        await asyncio.gather(*clients)
        keeper.cancel()
        print("bookings sent after the streams: %d answered, %d refused, %d cut without an answer"
              % (len(whole), len(refused), len(cut)))
        for name, sent_s, took_s in cut[:3]:
            print("  %s: sent %.2f s after the SIGTERM, cut after %.2f s" % (name, sent_s, took_s))
        if not whole and not refused and not cut:
            raise fleet.CannotRun("no channel was left for a booking")
        return fleet.BROKEN if any(sent_s > 3 for _, sent_s, _ in cut) else fleet.HELD
    finally:
        deployment.stop()


if __name__ == "__main__":
    fleet.main(play, os.path.dirname(os.path.abspath(__file__)))
