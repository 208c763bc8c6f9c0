"""A worker that has left is given work for as long as it lives.

Three machines, three workers of a plain service. Watches that wait are cut,
as the protocol allows: first those of one machine, a moment later those of
all three. Meanwhile a worker leaves: its entry is removed.
"""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-3"))

import fleet as h  # noqa: E402

HOST = "kasa.example"
KEY = "key-of-tenant-one-01"
DRAIN_S = 2.0  # Bound drain_ms.
CONTACT_S = 3.0  # Bound contact_ms.
SERVES_ON_S = 9.0  # "at times many seconds"
RATE_PER_S = 25  # Requests to each machine.


def configuration(version):
    def route(name, kind, attempts):
        return {"name": name, "host": HOST, "prefix": f"/{name}/",
                "kind": kind, "timeout_ms": 600, "slo_ms": 100, "priority": 2,
                "service": "defter", "attempts": attempts, "public": False,
                "sticky": False, "can_resume": False}
    return {
        "version": version,
        "routes": [route("refund-book", "non_idempotent", 1),
                   route("balance-read", "idempotent", 2)],
        "services": [{"name": "defter", "health_path": "/healthz",
                      "max_conns": 100, "proto": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": [KEY], "unit": "per_token",
                     "plain_tokens": 200, "rate_per_s": 0, "burst": 0}]}


class Clients:
    """Clients of one machine."""

    def __init__(self, machine, record, sent):
        self.machine = machine
        self.record = record
        self.sent = sent  # Attempt id: (machine, time, name of the route)
        self.answers = {}

    async def run(self):
        loop = asyncio.get_running_loop()
        while True:
            loop.create_task(self.one())
            await asyncio.sleep(random.expovariate(RATE_PER_S))

    async def one(self):
        attempt = f"{random.randrange(1 << 64):016x}"
        once = random.random() < 0.7
        name = "refund-book" if once else "balance-read"
        self.sent[attempt] = (self.machine.ip, h.now(), name)
        headers = [("Host", HOST), ("X-Attempt-Id", attempt),
                   ("X-Deadline-Ms", "600"),
                   ("Authorization", "Bearer " + KEY)]
        try:
            answer = await h.call(self.machine.front,
                                  "POST" if once else "GET", f"/{name}/1",
                                  headers, b"refund" if once else b"", 2.0)
            self.answers[attempt] = h.status_of(answer)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.answers[attempt] = "none"


async def play(record, fleet):
    await fleet.open()
    fleet.store.put("op/config", configuration(7))
    workers = [await fleet.add_worker(record, "defter", zone=fleet.zones[n])
               for n in range(3)]
    if not await fleet.start_all():
        return 2
    record.line("all machines are ready")
    sent = {}
    clients = [Clients(m, record, sent) for m in fleet.machines]
    tasks = [asyncio.create_task(each.run()) for each in clients]
    await asyncio.sleep(4)
    fleet.store.put("op/config", configuration(9))
    record.line("the operator writes a configuration")
    await asyncio.sleep(2)
    if h.TROUBLE:
        fleet.gates[0].cut_watches()
        record.line(f"the watches of {fleet.machines[0].ip} are cut")
    await asyncio.sleep(0.45)
    if h.TROUBLE:
        for gate in fleet.gates:
            gate.cut_watches()
        record.line("the watches of all machines are cut")
    last_cut = h.now()
    leaver = workers[0]
    fleet.store.delete("servers/" + leaver.id)
    gone_at = h.now()
    record.line(f"worker {leaver.id} leaves: the store removes its entry")
    leaver.work_ms = 110  # The longest work of the sheet.
    await asyncio.sleep(SERVES_ON_S)
    lost = sorted(leaver.running)
    broke_off = [attempt for attempt in lost
                 if sent[attempt][2] == "refund-book"]
    leaver.exit()
    record.line(f"worker {leaver.id} exits")
    await asyncio.sleep(2)
    for task in tasks:
        task.cancel()
    bound = max(gone_at + DRAIN_S, last_cut + CONTACT_S)
    late = [run for run in leaver.runs
            if run[0] > bound and sent[run[1]][1] > last_cut + CONTACT_S]
    for ran_at, attempt in late:
        machine, _, name = sent[attempt]
        record.line(f"DRAIN: {attempt} ({name}) of {machine} reached the "
                    f"worker {ran_at - gone_at:.3f} s after its entry went")
    answers = {attempt: status for each in clients
               for attempt, status in each.answers.items()}
    for attempt in lost:
        record.line(f"{attempt} ({sent[attempt][2]}) ran when the worker "
                    f"exited; the client got {answers.get(attempt)}")
    machines = sorted({sent[attempt][0] for _, attempt in late})
    text = (f"{len(late)} requests later than the bound, from {machines}; "
            f"{len(broke_off)} refunds broke off when the worker exited")
    record.line(text)
    print(text)
    return 1 if late else 0


async def main():
    record = h.Record(HERE)
    fleet = h.Fleet(3, zones=["a", "b", "c"])
    code = 2
    try:
        code = await asyncio.wait_for(play(record, fleet), 110)
    finally:
        fleet.close()
        record.line(f"exit code {code}")
    return code


if __name__ == "__main__":
    h.run_case(main)
