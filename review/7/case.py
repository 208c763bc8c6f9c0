"""Epoch numbers of role orders after all entry processes were killed, or with
TROUBLE=2 after they were restarted in turn."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness-2"))
sys.dont_write_bytecode = True

import fleet as f  # noqa: E402
import roles  # noqa: E402

GAP_S = 2.0
QUIET_S = 12.0


async def kill_all(fleet, _):
    fleet.record.say("all entry processes are killed")
    for entry in fleet.entries:
        entry.signal(signal.SIGKILL)
    for entry in fleet.entries:
        await entry.ended()
    await asyncio.sleep(0.5)
    for entry in fleet.entries:
        await entry.start()
    await fleet.wait_ready(15)
    fleet.record.say("all entry processes are ready again")


async def roll_term(fleet, load):
    """No generation is asked for meanwhile."""
    await load.stop()
    fleet.record.say("no generations from here")
    await asyncio.sleep(QUIET_S)
    for entry in fleet.entries:
        entry.signal(signal.SIGTERM)
        await entry.ended()
        fleet.record.say("entry %d has ended with code %s" %
                         (entry.number, entry.process.returncode))
        await asyncio.sleep(0.5)
        await entry.start()
        await fleet.wait_ready(15)
        await asyncio.sleep(GAP_S)
    fleet.record.say("generations again")
    load.start()


async def calm(_, __):
    await asyncio.sleep(1)


async def case(record, trouble):
    disturb = kill_all if trouble else calm
    if os.environ.get("TROUBLE") == "2":
        disturb = roll_term
    return await roles.play(record, disturb)


f.run_case(FOLDER, case)
