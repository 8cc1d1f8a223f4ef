"""After the node that grants a tenant's quota is killed, another grants the whole burst once more."""

import asyncio
import glob
import os
import random
import re
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
import rig as r  # noqa: E402

RATE_PER_S, BURST = 50, 500
WINDOW_S, BURST_RATIO, SLACK = 5, 0.1, 20
BOUND = (RATE_PER_S * WINDOW_S + BURST) * (1 + BURST_RATIO) + SLACK
KEY = "key-of-acme"
CLIENTS = 15  # at each machine where requests begin
LOAD_S = 8


def granting_node(rig):
    """The node that the refusals in the nodes' logs name as the one that was asked."""
    for path in glob.glob(os.path.join(rig.dir, "*.log")):
        with open(path, errors="replace") as file:
            homes = [re.search(r'"home":"([^":]+):', line) for line in file if "account_quota_refused" in line]
        for home in filter(None, homes):
            return next((node for node in rig.nodes if node.ip == home.group(1)), None)
    return None


async def kill_granting_node(rig):
    for _ in range(30):
        await asyncio.sleep(0.1)
        node = granting_node(rig)
        if node:
            rig.log(f"quota    is granted by {node.ip}")
            if rig.trouble:
                node.kill()
                await asyncio.sleep(1.0)
                node.start()
            return
    raise r.CouldNotRun("no request was refused for the quota")


async def client(rig, entry, sent, until):
    """Sends one request after the other on a kept connection; waits a little after a refusal."""
    reader = writer = None
    while time.time() < until:
        id = f"{random.getrandbits(64):016x}"
        status = None
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(*entry.at("outbound"))
            sent[id] = time.time()
            writer.write(r.head_bytes("GET /stock/a HTTP/1.1", [
                ("Host", r.HOST), ("X-Rhubarblanding-Request-Id", id),
                ("X-Rhubarblanding-Deadline-Ms", "3000"), ("X-Rhubarblanding-Credential", KEY)]))
            first, headers = await asyncio.wait_for(r.read_head(reader), 3)
            await r.read_body(reader, headers)
            status = first.split(" ")[1]
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            if writer:
                writer.transport.abort()
            writer = None
        rig.statuses[status] = rig.statuses.get(status, 0) + 1
        if status != "200":
            await asyncio.sleep(0.05)
    if writer:
        writer.transport.abort()


def most_in_window(pairs):
    """Most requests that were both sent and arrived in some window."""
    most = 0
    pairs.sort()
    for i, (start, _) in enumerate(pairs):
        if len(pairs) - i <= most:
            break
        most = max(most, sum(1 for _, arrived in pairs[i:] if arrived <= start + WINDOW_S))
    return most


async def run(rig):
    rig.statuses = {}
    limits = {"tenants": [{"name": "acme", "api_keys": [KEY], "priority": 1, "rate_per_s": RATE_PER_S, "burst": BURST}]}
    config = r.config(1, [r.route("stock", "stock", timeout_ms=3000, anonymous=False)], ["desk", "stock"], **limits)
    await rig.start(config, contracts=["tenants", "quota"], bounds={
        "strict_revoke": True, "revoke_ms": 5000, "quota_window_s": WINDOW_S,
        "quota_burst_ratio": BURST_RATIO, "quota_slack": SLACK})
    await asyncio.sleep(10)  # Calm, so that the burst is full.
    entries, sent = [node for node in rig.nodes if node.service == "desk"], {}
    until = time.time() + LOAD_S
    clients = [client(rig, entry, sent, until) for entry in entries for _ in range(CLIENTS)]
    await asyncio.gather(kill_granting_node(rig), *clients)
    pairs = [(sent[run[1]], run[0]) for target in rig.targets for run in target.runs if run[1] in sent]
    most = most_in_window(pairs)
    rig.log(f"answers  {rig.statuses}")
    rig.log(f"QUOTA    {most} requests of the tenant were sent and arrived at targets within {WINDOW_S} s; "
            f"{BOUND:.0f} are allowed")
    return most <= BOUND


r.main(FOLDER, ["stock", "stock"] + ["desk"] * 8, run)
