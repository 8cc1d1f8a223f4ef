"""A departure acknowledged while the store is away is forgotten when all processes are killed."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
import rig as r  # noqa: E402

DRAIN_S = 2.0  # drain_timeout_ms
TOUCH_S = 3.0  # stable_window_ms


async def run(rig):
    routes = [r.route("stock", "stock"), r.route("desk", "desk")]
    await rig.start(r.config(1, routes, ["desk", "stock"]))
    entry, leaving = rig.nodes[0], rig.targets[2]
    await asyncio.sleep(4)
    await asyncio.gather(*(rig.send(entry, "/stock/a") for _ in range(12)))
    if not leaving.runs:
        raise r.CouldNotRun("the target that is to leave got no request")

    # A heartbeat that is on its way for some seconds.
    late = leaving.report("ready")
    if rig.trouble:
        rig.log("store    gives no answers")
        rig.store.trouble = "silent"
        await asyncio.sleep(1.5)
    leaving.stop_beating()
    leaving.leaving = True
    acknowledged = await leaving.until_told("deregister", {"born": leaving.born})
    if acknowledged is None:
        rig.log("left     without an acknowledgement: nothing is owed")
        return True
    rig.log(f"left     {leaving.id} on {leaving.ip}, acknowledged")
    await asyncio.sleep(0.1)
    if rig.trouble:
        for node in rig.nodes:
            node.kill()
        await asyncio.sleep(0.5)
        rig.log("store    answers again")
        rig.store.trouble = None
        for node in rig.nodes:
            node.start()
        await rig.until_ready()
    started = time.time()
    await asyncio.sleep(1.0)
    status = await leaving.say("heartbeat", late)
    rig.log(f"late     heartbeat of {leaving.id}, sent before it left, arrives: {status}")

    # The target serves on for a while. All machines are in touch again.
    await asyncio.sleep(max(started + TOUCH_S + 0.5, acknowledged + DRAIN_S + 0.5) - time.time())
    before = len(leaving.runs)
    answers = await asyncio.gather(*(rig.send(entry, "/stock/b") for _ in range(30)))
    rig.log(f"answers  {sorted(str(a[0]) for a in answers)}")
    late_runs = leaving.runs[before:]
    if late_runs:
        rig.log(f"DRAIN    {len(late_runs)} requests reached {leaving.id}, the first "
                f"{late_runs[0][0] - acknowledged:.1f} s after its leaving was acknowledged")
    return not late_runs


r.main(FOLDER, ["desk", "stock", "stock", "desk", "desk", "desk"], run)
