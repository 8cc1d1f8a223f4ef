"""A node that acknowledged the leaving of its target while the store was down serves that target again
after a restart."""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import mesh

DRAIN_S = 2.0  # drain_timeout_ms
STABLE_S = 3.0  # stable_window_ms
DOWN_S = 4.5  # platform_down, silent: 8 s at most on the site
STAYS_S = 14.0  # "a little longer (at times many seconds)"


async def case(rec, trouble):
    dep = mesh.Deployment(rec)
    tasks = set()
    answers = {}
    try:
        await dep.store.start(dep.ip(250))
        routes = [mesh.route("stock", "alpha", "safe", timeout_ms=2500, aim_ms=1000)]
        await dep.store.configure(mesh.config(7, routes, ["alpha", "beta"]))
        targets = []
        for service in ["alpha", "alpha", "beta"]:
            machine = dep.machine(service)
            machine.start()
            targets.append(mesh.Target(rec, machine, service))
            await targets[-1].start()
        for machine in dep.machines:
            await machine.ready()
        await asyncio.sleep(4)
        leaver, node = targets[0], dep.machines[0]

        async def client():
            rid = mesh.new_id()
            rec("client", f"sends {rid}")
            headers = mesh.call_headers("stock", rid, 2500)
            try:
                status, _, _ = await mesh.request(dep.machines[2].entry, "GET", "/stock/1", headers)
            except (OSError, asyncio.IncompleteReadError) as e:
                status = type(e).__name__
            answers[status] = answers.get(status, 0) + 1
            rec("client", f"{rid}: {status}")

        async def load():
            while True:
                task = asyncio.ensure_future(client())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(0.02)

        loading = asyncio.ensure_future(load())
        await asyncio.sleep(1)

        # The target's last heartbeat is delayed on its way.
        leaver.beats.cancel()
        late = leaver.report()
        sent_late = rec.t()
        rec(node.name, f"target sends heartbeat {late['sequence']}, which will be late")
        await asyncio.sleep(0.3)
        if trouble:
            dep.store.mode = "silent"
            rec("store", "is down (silent)")
        down_at = rec.t()
        await asyncio.sleep(0.5)
        status = None
        while status != 200:
            status = await leaver.post("deregister", {"born": leaver.born})
            rec(node.name, f"target says that it leaves: {status}")
            if rec.t() - down_at > DOWN_S:
                raise mesh.CannotRun("no acknowledgement")
        acked_at = rec.t()
        if trouble:
            await asyncio.sleep(0.2)
            node.signal(signal.SIGKILL)
            await node.ended()
            await asyncio.sleep(0.3)
            node.start()
        started_at = rec.t()
        await asyncio.sleep(max(0, down_at + DOWN_S - rec.t()))
        dep.store.mode = "up"
        up_at = rec.t()
        rec("store", "is up")
        await asyncio.sleep(1.0)
        status = await leaver.post("heartbeat", late)
        rec(node.name, f"heartbeat {late['sequence']} arrives {rec.t() - sent_late:.1f} s late: {status}")
        await asyncio.sleep(max(0, acked_at + STAYS_S - rec.t()))
        loading.cancel()
        leaver.server.close()
        rec(node.name, "target exits")
        await asyncio.sleep(0.5)
        rec("script", f"answers: {answers}")

        # Only requests that machines in touch sent on: the node was not restarted and the store was
        # not in disruption for `stable_window_ms` before.
        bound = max(acked_at + DRAIN_S, started_at + STABLE_S, up_at + STABLE_S)
        after = [run for run in leaver.runs if run[0] > bound]
        if not after:
            return []
        return [
            f"DRAIN: {len(after)} requests reached {leaver.id} from {after[0][0] - acked_at:.3f} to"
            f" {after[-1][0] - acked_at:.3f} s after its node acknowledged that it is gone"
        ]
    finally:
        dep.close()


mesh.play(case, os.path.dirname(os.path.abspath(__file__)))
