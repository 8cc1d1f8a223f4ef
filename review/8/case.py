"""A target leaves while the store is down; its node is killed and is back right after the store."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from rig import *

HOST = "work.example"
OUTAGE_S = 8.0
# Times after the store went down.
LEAVES_AFTER_S = 5.8
KILLED_AFTER_S = 7.0
DRAIN_S = BOUNDS["drain_timeout_ms"] / 1000
TOUCH_S = BOUNDS["stable_window_ms"] / 1000
# Time for which the target serves after its leaving was acknowledged.
STAY_S = 12.0
BURST = 16


async def case(record, tmp, trouble, machines):
    hosts = [f"127.88.1.{i}" for i in range(1, 6)]
    store_host = "127.88.1.9"
    ports = dict(zip(PORT_NAMES, free_ports(len(PORT_NAMES), hosts)))
    store_port = free_ports(1, [store_host])[0]
    store = Store(record)
    await store.start(store_host, store_port)
    services = ["work", "work", "front", "front", "front"]
    routes = [route("work", HOST, "/jobs/", "work")]
    await store.operator_put("op/config", configuration(1, routes, ["work", "front"]))

    targets = []
    for i, (host, service) in enumerate(zip(hosts, services)):
        machine = Machine(record, tmp, f"m{i}", host, ports, "zone", service, f"{store_host}:{store_port}")
        machines.append(machine)
        machine.start()
        target = Target(record, service, f"i-{service}-{i}", host, ports, "zone")
        target.handler = small_answer
        targets.append(target)
        await target.start()
    for machine in machines:
        if not await machine.wait_ready():
            raise Broken(f"{machine.name} is not ready")
    await asyncio.sleep(3)

    leaver, node, entry = targets[0], machines[0], machines[2]
    sent = {}

    async def one(id):
        sent[id] = now()
        record.write(f"client at {entry.name}: sends GET /jobs/x id {id}")
        status, _, _ = await request(entry, HOST, "/jobs/x", id)
        record.write(f"client at {entry.name}: id {id} answered {status}")

    async def burst(name):
        """Some requests at once, as a service gets them now and then that is used little."""
        await asyncio.gather(*(one(f"{name}{i:02x}") for i in range(BURST)))

    await burst("c1")
    await burst("c2")
    if not leaver.runs:
        raise Broken("the target gets no requests")

    # The store goes down shortly before the machines would renew their leases of 10 s, as they do each 2.5 s.
    while True:
        kept = [at for at, _, path, _ in store.seen if path.startswith("/kv-keep/")]
        if kept and 2.15 < now() - max(kept) < 2.4:
            break
        await asyncio.sleep(0.02)
    began = now()
    if trouble:
        store.set_down(True, lapse=True)
    await asyncio.sleep(LEAVES_AFTER_S)

    # The last heartbeat before the target leaves is delayed on its way.
    late, late_at = leaver.next_heartbeat(), now()
    record.write(f"target {leaver.id}: sends heartbeat {late['sequence']}, state {late['state']}, which is delayed")
    await leaver.deregister()
    acknowledged = leaver.acknowledged
    record.write(f"target {leaver.id}: its leaving is acknowledged by {node.name}; it serves for {STAY_S} s more")

    await asyncio.sleep(max(0, began + KILLED_AFTER_S - now()))
    if trouble:
        node.kill()
    await asyncio.sleep(max(0, began + OUTAGE_S - now()))
    if trouble:
        store.set_down(False)
    await asyncio.sleep(0.3)
    restarted = now()
    if trouble:
        node.start()
    await asyncio.sleep(1.2)
    await leaver.heartbeat(late, f"the delayed heartbeat arrives, {now() - late_at:.1f} s late")

    # From then on both machines were in touch for the whole way of a request.
    calm = max(acknowledged + DRAIN_S, restarted + TOUCH_S, began + OUTAGE_S + TOUCH_S) + 0.3
    await asyncio.sleep(max(0, calm - now()))
    record.write(f"all machines are in touch; {now() - acknowledged:.1f} s after the acknowledgement")
    before = len(leaver.runs)
    await burst("d1")
    await asyncio.sleep(1)
    await burst("d2")
    await asyncio.sleep(max(0, acknowledged + STAY_S - now()))
    broken = [id for _, id, _ in leaver.runs[before:]]
    for id in broken:
        record.write(f"id {id}: sent {sent[id] - acknowledged:.2f} s after the acknowledgement, ran at {leaver.id}")
    record.write(f"run by {leaver.id} through machines in touch, though sent later than {DRAIN_S} s after the acknowledgement: {len(broken)} of {2 * BURST} (allowed: 0)")
    return not broken


if __name__ == "__main__":
    sys.exit(play(case, os.path.dirname(os.path.abspath(__file__))))
