"""After the node that grants a tenant's quota is killed, another grants the whole burst once more."""

import asyncio
import glob
import os
import re
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-3"))
import rig as r  # noqa: E402

RATE_PER_S, BURST = 50, 500
WINDOW_S, BURST_RATIO, SLACK = 5, 0.1, 20
BOUND = (RATE_PER_S * WINDOW_S + BURST) * (1 + BURST_RATIO) + SLACK
KEY = "key-of-acme"
USUAL_PER_S = RATE_PER_S / 1.6  # quota_x of the site
HOT, HOT_S = 7.5, 6.5  # hot_tenant of the site


def granting_node(rig):
    """The node that the refusals in the nodes' logs name as the one that was asked."""
    for path in glob.glob(os.path.join(rig.dir, "*.log")):
        with open(path, errors="replace") as file:
            homes = [re.search(r'"home":"([^":]+):', line) for line in file if "account_quota_refused" in line]
        for home in filter(None, homes):
            return next((node for node in rig.nodes if node.ip == home.group(1)), None)
    return None


async def kill_granting_node(rig):
    for _ in range(60):
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


async def run(rig):
    limits = {"tenants": [{"name": "acme", "api_keys": [KEY], "priority": 1, "rate_per_s": RATE_PER_S, "burst": BURST}]}
    config = r.config(1, [r.route("stock", "stock", timeout_ms=3000, anonymous=False)], ["desk", "stock"], **limits)
    await rig.start(config, contracts=["tenants", "quota"], bounds={
        "strict_revoke": True, "revoke_ms": 5000, "quota_window_s": WINDOW_S,
        "quota_burst_ratio": BURST_RATIO, "quota_slack": SLACK})
    await asyncio.sleep(10)  # Calm, so that the burst is full.
    entries = [node for node in rig.nodes if node.service == "desk"]
    tenant = r.Tenant(rig, KEY, "/stock/a")
    await asyncio.gather(kill_granting_node(rig), tenant.send_at(HOT * USUAL_PER_S, HOT_S, entries))
    most = tenant.most_in_window(WINDOW_S)
    rig.log(f"QUOTA    {most} requests of the tenant were sent and arrived at targets within {WINDOW_S} s; "
            f"{BOUND:.0f} are allowed")
    return most <= BOUND


r.main(FOLDER, ["stock", "stock"] + ["desk"] * 8, run)
