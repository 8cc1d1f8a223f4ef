"""A planned stop of a node under load cuts requests that it has read and that wait for a slot."""

import asyncio
import os
import random
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import mesh

GRACE_S = 6
LOSS_SLACK_S = 0.2
DEADLINE_S = 6.0
WORK_S = 0.1
SLOTS = 16
URGENT_PER_S = 300
ORDERS_PER_S = 15


async def case(rec, trouble):
    dep = mesh.Deployment(rec)
    orders = {}  # id: (sent, outcome, ended)
    urgent = {}
    tasks = set()
    try:
        await dep.store.start(dep.ip(250))
        routes = [
            mesh.route("order", "alpha", "unsafe", timeout_ms=6000, aim_ms=1500, priority=2),
            mesh.route("urgent", "alpha", "safe", timeout_ms=6000, aim_ms=1500, priority=0),
        ]
        await dep.store.configure(mesh.config(7, routes, ["alpha", "beta", "gamma"]))
        targets = []
        for service in ["alpha", "alpha", "gamma", "gamma"]:
            machine = dep.machine(service)
            machine.start()
            targets.append(mesh.Target(rec, machine, service, slots=SLOTS))
            await targets[-1].start()
        for machine in dep.machines:
            await machine.ready()
        await asyncio.sleep(4)

        async def work(target, rid, method, path, headers, body, writer):
            await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S)
            return 200, target.signed(rid), b"done"

        targets[0].answer = targets[1].answer = work
        victim, other = dep.machines[2], dep.machines[3]

        def spawn(task):
            task = asyncio.ensure_future(task)
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        async def send(machine, name, method, book):
            rid = mesh.new_id()
            sent = rec.t()
            rec("client", f"sends {name} {rid} to {machine.name}")
            try:
                status, _, _ = await asyncio.wait_for(
                    mesh.request(
                        machine.entry,
                        method,
                        f"/{name}/{rid}",
                        mesh.call_headers(name, rid, int(DEADLINE_S * 1000)),
                        b"chair" if method == "POST" else b"",
                    ),
                    DEADLINE_S + 1,
                )
                outcome = status
            except asyncio.IncompleteReadError as e:
                outcome = f"ended after {len(e.partial)} bytes of an answer"
            except ConnectionRefusedError:
                outcome = "not read"
            except (OSError, asyncio.TimeoutError) as e:
                outcome = f"ended, {type(e).__name__}"
            book[rid] = (sent, outcome, rec.t())
            rec("client", f"{name} {rid}: {outcome}")

        # As the platform does: two misses in a row and the machine's clients get no new work.
        state = {"in": True}

        async def watch(machine):
            misses = 0
            while True:
                try:
                    status, _, _ = await mesh.request(
                        (machine.ip, mesh.PORTS["ready"]), "GET", "/ready", [("host", "r")]
                    )
                except (OSError, asyncio.IncompleteReadError):
                    status = None
                misses = 0 if status == 200 else misses + 1
                if (misses < 2) != state["in"]:
                    state["in"] = misses < 2
                    rec("platform", f"{machine.name} in: {state['in']}")
                await asyncio.sleep(1)

        async def load(machine, rate, name, method, book, is_in):
            began, n = rec.t(), 0
            while True:
                while n < (rec.t() - began) * rate:
                    n += 1
                    if is_in():
                        spawn(send(machine, name, method, book))
                await asyncio.sleep(0.004)

        loops = [
            asyncio.ensure_future(watch(victim)),
            asyncio.ensure_future(
                load(other, URGENT_PER_S, "urgent", "GET", urgent, lambda: True)
            ),
            asyncio.ensure_future(
                load(victim, ORDERS_PER_S, "order", "POST", orders, lambda: state["in"])
            ),
        ]
        await asyncio.sleep(6)
        stopped_at = rec.t()
        if trouble:
            victim.signal(signal.SIGTERM)
            if not await victim.ended(GRACE_S + 1):
                raise mesh.CannotRun("the node did not end")
            rec("script", f"the node ended {rec.t() - stopped_at:.3f} s after SIGTERM")
            victim.start()
        else:
            await asyncio.sleep(GRACE_S)
        await asyncio.sleep(1)
        for loop in loops:
            loop.cancel()
        if tasks:
            await asyncio.wait(set(tasks), timeout=DEADLINE_S + 2)

        for name, book in [("orders", orders), ("urgent", urgent)]:
            counts = {}
            for _, outcome, _ in book.values():
                counts[outcome] = counts.get(outcome, 0) + 1
            rec("script", f"{name}: {counts}")
        ran = {run[1]: run[0] for target in targets for run in target.runs}
        broken = []
        for rid, (sent, outcome, ended) in orders.items():
            since = sent - stopped_at
            # The request was sent within planned work, and its connection ended without an answer.
            if not str(outcome).startswith("ended") or not -1 < since <= GRACE_S + 1:
                continue
            at_work = rid in ran and since <= 3  # excused in the last sixth of the grace period
            in_time = ended - sent < DEADLINE_S - 0.05
            if at_work or not in_time or ended - sent <= LOSS_SLACK_S:
                continue
            broken.append(
                f"LOST: order {rid} sent {since:.3f} s after SIGTERM, never run,"
                f" {outcome} at {ended - stopped_at:.3f} s"
            )
        return broken
    finally:
        dep.close()


mesh.play(case, os.path.dirname(os.path.abspath(__file__)))
