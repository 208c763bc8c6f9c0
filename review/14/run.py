"""A tenant gets more than its allotment after a restart behind a cut.

Seven machines, ten model workers. Two machines, both named as seeds, are cut
off from the other five and their processes are killed and started again. A
tenant sends six times its usual on all machines.
"""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-3"))

import fleet as h  # noqa: E402
from engines import Engine, engine_service  # noqa: E402

HOST = "kasa.example"
KEY = "key-of-tenant-one-01"
RATE = 47_000  # Tokens a second; `floor_per_s` of the site file.
BURST = 47_000
USUAL_PER_S = RATE / 1.8  # `quota_x` of the site file.
HOT_X = 6.0  # hot_tenant: x = 6.0 for 11 s in a day of the site file.
HOT_S = 11.0
CUT_S = 12.0  # node_cut: share = 0.35 for 12 s in a day of the site file.
CUT_MACHINES = 2  # Of seven: a share of 0.29.
HOT_AFTER_S = 4.5
PROMPT = 3000
OUTPUT = 70
TOKENS = PROMPT + OUTPUT
WINDOW_S = 8.0
BOUND = (RATE * WINDOW_S + BURST) * (1 + 0.25) + 190_000


def configuration(version):
    service = engine_service("asistan")
    service["engine"].update(slots=64, kv_tokens=39852)
    return {
        "version": version,
        "routes": [{"name": "depot-recon", "host": HOST, "prefix": "/recon/",
                    "kind": "stream", "timeout_ms": 14000, "slo_ms": 900,
                    "priority": 1, "service": "asistan", "attempts": 2,
                    "public": False, "sticky": True, "can_resume": True,
                    "gap_aim_ms": 300}],
        "services": [service],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": [KEY], "unit": "per_token",
                     "plain_tokens": 200, "rate_per_s": RATE,
                     "burst": BURST}]}


class Traffic:
    """The clients of the tenant; each picks a machine at random."""

    def __init__(self, machines):
        self.machines = machines
        self.tokens_per_s = USUAL_PER_S
        self.sent = {}  # Attempt id: (time, address of the machine)
        self.statuses = {}

    async def run(self):
        loop = asyncio.get_running_loop()
        while True:
            loop.create_task(self.one())
            await asyncio.sleep(
                random.expovariate(self.tokens_per_s / TOKENS))

    async def one(self):
        attempt = f"{random.randrange(1 << 64):016x}"
        machine = random.choice(self.machines)
        self.sent[attempt] = (h.now(), machine.ip)
        headers = [("Host", HOST), ("X-Attempt-Id", attempt), ("X-Model", "m"),
                   ("X-Token-Count", f"{PROMPT},{OUTPUT}"),
                   ("X-Prefix-Hash", f"{attempt[:8]}:{PROMPT}"),
                   ("X-Deadline-Ms", "14000"),
                   ("Authorization", "Bearer " + KEY)]
        try:
            answer = await h.call(machine.front, "POST", "/recon/1", headers,
                                  b"p" * 100, 15.0)
            status = h.status_of(answer)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            status = "none"
        self.statuses[status] = self.statuses.get(status, 0) + 1


def most_in_window(runs):
    """Most tokens of requests that are sent and run in one window."""
    most = 0
    for start, _ in runs:
        inside = sum(TOKENS for sent_at, ran_at in runs
                     if start <= sent_at and ran_at <= start + WINDOW_S)
        most = max(most, inside)
    return most


async def play(record, fleet):
    await fleet.open()
    cut = fleet.machines[:CUT_MACHINES]
    rest = fleet.machines[CUT_MACHINES:]
    for machine in cut:
        machine.peer_port += 20
    paths = [h.PeerPath(m.ip, rest[0].peer_port, m.peer_port) for m in cut]
    paths += [h.PeerPath(m.ip, cut[0].peer_port, m.peer_port) for m in rest]
    for path in paths:
        await path.listen()
    fleet.store.put("op/config", configuration(7))
    engines = [Engine(fleet, record, number, "asistan",
                      "prefill" if number < 5 else "decode",
                      fleet.zones[number % len(fleet.zones)], slots=64)
               for number in range(10)]
    for engine in engines:
        await engine.listen()
    if not await fleet.start_all():
        return 2
    record.line("all machines are ready")
    traffic = Traffic(fleet.machines)
    task = asyncio.create_task(traffic.run())
    await asyncio.sleep(14)
    cut_at = h.now()
    if h.TROUBLE:
        record.line("cut: " + ", ".join(m.ip for m in cut))
        for path in paths:
            path.set_cut(True)
        for machine in cut:
            machine.kill()
        await asyncio.sleep(0.3)
        for machine in cut:
            machine.start()
    await asyncio.sleep(max(0.0, cut_at + HOT_AFTER_S - h.now()))
    traffic.tokens_per_s = HOT_X * USUAL_PER_S
    record.line("the tenant sends six times its usual")
    await asyncio.sleep(max(0.0, cut_at + CUT_S - h.now()))
    for path in paths:
        path.set_cut(False)
    if h.TROUBLE:
        record.line("the cut has healed")
    await asyncio.sleep(max(0.0, cut_at + HOT_AFTER_S + HOT_S - h.now()))
    traffic.tokens_per_s = USUAL_PER_S
    record.line("the tenant sends its usual again")
    await asyncio.sleep(3)
    task.cancel()
    runs = {}
    for engine in engines:
        for ran_at, attempt in engine.runs:
            runs[attempt] = min(ran_at, runs.get(attempt, ran_at))
    for ran_at, attempt in sorted((at, name) for name, at in runs.items()):
        sent_at, machine = traffic.sent[attempt]
        record.line(f"{attempt}: sent to {machine} at "
                    f"{sent_at - record.start:.3f} s, runs at "
                    f"{ran_at - record.start:.3f} s")
    most = most_in_window([(traffic.sent[attempt][0], ran_at)
                           for attempt, ran_at in runs.items()])
    record.line(f"answers: {traffic.statuses}")
    text = f"{most} tokens in one window, {BOUND:.0f} allowed"
    record.line(text)
    print(text, traffic.statuses)
    return 1 if most > BOUND else 0


async def main():
    record = h.Record(HERE)
    fleet = h.Fleet(7, zones=["a", "b"])
    code = 2
    try:
        code = await asyncio.wait_for(play(record, fleet), 110)
    finally:
        fleet.close()
        record.line(f"exit code {code}")
    return code


if __name__ == "__main__":
    h.run_case(main)
