"""A machine is suspended while a route is added that must not run twice; answers of one target are lost."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from rig import *

HOST = "shop.example"
FREEZE_S = 5.0
APPLY_S = BOUNDS["config_apply_ms"] / 1000
CLIENTS = 30
ROUNDS = 3
# One of two targets loses 0.4 of its answers for 4 s, from 2 s after the machine was suspended.
LOST_SHARE = 0.4
LOST_AFTER_S = 2.0
LOST_FOR_S = 4.0


async def case(record, tmp, trouble, machines):
    freezes = trouble and os.environ.get("FREEZE", "1") != "0"
    loses = trouble and os.environ.get("LOSE", "1") != "0"
    hosts = [f"127.86.1.{i}" for i in range(1, 5)]
    store_host = "127.86.1.9"
    ports = dict(zip(PORT_NAMES, free_ports(len(PORT_NAMES), hosts)))
    store_port = free_ports(1, [store_host])[0]
    store = Store(record)
    await store.start(store_host, store_port)
    services = ["work", "work", "front", "front"]
    routes = [route("all", HOST, "/x/", "work", kind="safe")]
    await store.operator_put("op/config", configuration(1, routes, ["work", "front"]))

    began = now()

    async def answer(target, writer, path, id, common):
        """Runs a request. One of the two targets loses some of its answers."""
        is_losing = LOST_AFTER_S <= now() - began <= LOST_AFTER_S + LOST_FOR_S
        if loses and is_losing and target.id == "i-work-0" and random.random() < LOST_SHARE:
            await asyncio.sleep(0.02)
            record.write(f"target {target.id}: has run id {id}; its answer is lost, its connection reset")
            reset(writer)
            return False
        return await small_answer(target, writer, path, id, common)

    targets = []
    for i, (host, service) in enumerate(zip(hosts, services)):
        machine = Machine(record, tmp, f"m{i}", host, ports, "zone", service, f"{store_host}:{store_port}")
        machines.append(machine)
        machine.start()
        target = Target(record, service, f"i-{service}-{i}", host, ports, "zone")
        target.handler = answer
        targets.append(target)
        await target.start()
    for machine in machines:
        if not await machine.wait_ready():
            raise Broken(f"{machine.name} is not ready")
    await asyncio.sleep(3)

    entry = machines[2]
    version = 1
    sent, acknowledged = {}, {}

    async def client(number, go):
        """Keeps a connection; sends one request on it before the change and one after it."""
        reader, writer = await asyncio.open_connection(entry.host, entry.ports["outbound"])
        for path in (f"/x/look/{number}", f"/x/pay{version}/{number}"):
            id = f"{version:02x}{number:04x}{'ab'[path.startswith('/x/pay')]}"
            if "/pay" in path:
                await go.wait()
            sent[id] = (now(), path)
            record.write(f"client {number}: sends POST {path} id {id}")
            writer.write(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Rhubarblanding-Request-Id: {id}\r\nX-Rhubarblanding-Deadline-Ms: 6000\r\nContent-Length: 4\r\n\r\npay!".encode())
            try:
                got = await asyncio.wait_for(read_head(reader), 7)
                if got is None:
                    raise ConnectionError
                await read_body(reader, got[1])
                record.write(f"client {number}: id {id} answered {got[0].split(' ')[1]}")
            except (ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                record.write(f"client {number}: id {id} not answered")
                break
        writer.close()

    for _ in range(ROUNDS):
        go = asyncio.Event()
        load = [asyncio.create_task(client(n, go)) for n in range(CLIENTS)]
        await asyncio.sleep(1)
        if freezes:
            entry.process.send_signal(signal.SIGSTOP)
            record.write(f"machine {entry.name}: suspended")
        began = now()
        await asyncio.sleep(0.5)
        version += 1
        routes = routes + [route(f"pay{version - 1}", HOST, f"/x/pay{version - 1}/", "work", kind="unsafe")]
        await store.operator_put("op/config", configuration(version, routes, ["work", "front"]))
        acknowledged[version - 1] = now()
        # Every configuration that may be in force now names the new route.
        await asyncio.sleep(APPLY_S + 1)
        go.set()
        await asyncio.sleep(max(0, began + FREEZE_S - now()))
        if freezes:
            entry.process.send_signal(signal.SIGCONT)
            record.write(f"machine {entry.name}: goes on")
        await asyncio.gather(*load)
        await asyncio.sleep(3.5)

    broken = []
    runs = {}
    for target in targets:
        for at, id, path in target.runs:
            runs.setdefault(id, []).append(target.id)
    for id, where in sorted(runs.items()):
        if len(where) > 1 and "/pay" in sent[id][1]:
            later = sent[id][0] - acknowledged[int(id[:2], 16)]
            broken.append(id)
            record.write(f"id {id}: sent {later:.2f} s after the acknowledgement of its route, ran {len(where)} times: {', '.join(where)}")
    total = sum("/pay" in path for _, path in sent.values())
    record.write(f"requests that may run once: {total}, run: {sum('/pay' in sent[id][1] for id in runs)}, run more than once: {len(broken)} (allowed: 0)")
    return not broken


if __name__ == "__main__":
    sys.exit(play(case, os.path.dirname(os.path.abspath(__file__))))
