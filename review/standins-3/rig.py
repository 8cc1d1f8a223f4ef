"""Stand-ins for the platform's store, targets and clients, and the nodes as processes.

Python's standard library only. Everything listens on loopback addresses: each node has one of its own,
as each machine of a deployment has, with the same ports on all of them.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
NODE = os.path.join(ROOT, "target", "deploy", "rhubarblanding")
COMMAND = [NODE, "mesh", "--metrics-port", "9464"]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "review.example"


class CouldNotRun(Exception):
    pass


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head_bytes(first, headers):
    return (first + "\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers) + "\r\n").encode("latin-1")


class Server:
    """HTTP/1.1 server that hands each request to `answer(method, path, headers, body, writer)`.

    The handler returns (status, headers, body), `None` to close the connection, or "silent" to leave it
    open without an answer.
    """

    def __init__(self, ip, port):
        self.ip, self.port, self.server, self.writers = ip, port, None, set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        if self.server:
            self.server.close()
            for writer in list(self.writers):
                writer.transport.abort()
            self.server = None

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(" ")
                answer = await self.answer(method, path, headers, body, writer)
                if answer is None:
                    break
                if answer == "silent":
                    await reader.read()
                    break
                status, more, content = answer
                lines = list(more) + [("Content-Length", str(len(content)))]
                writer.write(head_bytes(f"HTTP/1.1 {status} X", lines) + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store(Server):
    """The platform's store. `trouble` is None, "silent" (calls get no answer) or "busy" (503)."""

    def __init__(self, ip, log):
        super().__init__(ip, 0)
        self.log, self.trouble = log, None
        self.silent_for = set()
        self.rev, self.items, self.changes, self.leases, self.lease = 1, {}, [], {}, 0
        self.changed = asyncio.Event()

    def touch(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.rev += 1
        created = self.items[key]["created_rev"] if key in self.items else self.rev
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.rev,
                           "created_rev": created, "lease_id": lease}
        self.changes.append(dict(self.items[key]))
        self.touch()

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.rev += 1
            self.changes.append({"key": key, "revision": self.rev, "compacted": True})
            self.touch()

    def configure(self, config):
        self.put("op/config", json.dumps(config).encode())

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease_id"] == lease and lease]:
            self.remove(key)

    def expire(self):
        now = time.monotonic()
        for lease, (_, end) in list(self.leases.items()):
            if end <= now:
                self.end_lease(lease)

    def end_all_leases(self):
        for lease in list(self.leases):
            self.end_lease(lease)

    async def ticking(self):
        while True:
            await asyncio.sleep(0.05)
            if self.trouble is None:
                self.expire()

    def keys(self, prefix):
        return sorted(k for k in self.items if k.startswith(prefix))

    async def answer(self, method, path, headers, body, writer):
        peer = writer.get_extra_info("peername")
        if self.trouble == "silent" or (peer and peer[0] in self.silent_for):
            return "silent"
        if self.trouble == "busy":
            return 503, [], b"{}"
        status, value = await self.route(method, path, body)
        if self.trouble == "silent":
            return "silent"
        if self.trouble == "busy":
            return 503, [], b"{}"
        return status, [("Content-Type", "application/json")], json.dumps(value).encode()

    async def route(self, method, path, body):
        path, _, query = path.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        if (method, path) == ("GET", "/kv-key"):
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, at_rev=self.rev)) if item else (404, {"at_rev": self.rev})
        if (method, path) == ("GET", "/kv-range"):
            keys = [k for k in self.keys(query.get("path_prefix", "")) if k > query.get("after", "")]
            items = [self.items[k] for k in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "at_rev": self.rev}
        if (method, path) == ("GET", "/kv-watch"):
            return await self.watch(query)
        if (method, path) == ("POST", "/kv-txn"):
            return self.txn(json.loads(body))
        if (method, path) == ("POST", "/kv-lease"):
            ttl = int(json.loads(body)["ttl_ms"])
            self.lease += 1
            self.leases[self.lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease_id": self.lease, "ttl_ms": ttl}
        if method == "POST" and path.startswith("/kv-keep/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if method == "DELETE" and path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.split("/")[2]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query.get("after", "0"))
        end = time.monotonic() + min(int(query.get("wait_ms", "0")), 30000) / 1000
        while True:
            changed = self.changed
            newest = {}
            for change in self.changes:
                if change["revision"] > after and change["key"].startswith(prefix):
                    newest[change["key"]] = change
            left = end - time.monotonic()
            if newest or left <= 0 or self.trouble:
                events = sorted(newest.values(), key=lambda c: c["revision"])
                return 200, {"events": events, "at_rev": self.rev}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        wrong = []
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                wrong.append(dict(item) if item else {"key": row["key"], "revision": 0})
        if wrong:
            return 412, {"items": wrong}
        for put in body.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease_id") and put["lease_id"] not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease_id") or 0)
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.rev}


class Target(Server):
    """A target of an application beside a node."""

    def __init__(self, node, service, number, log):
        super().__init__(node.ip, node.ports["upstream"])
        self.node, self.service, self.log = node, service, log
        self.id, self.born = f"i-{number:08x}", int(time.time() * 1000) - 5000
        self.sequence, self.runs, self.leaving, self.work = 0, [], False, 0.01
        self.beating = None

    async def answer(self, method, path, headers, body, writer):
        if path == "/health":
            status = 503 if self.leaving else 200
            return status, [("X-Rhubarblanding-Instance-Id", self.id)], b""
        request = headers.get("x-rhubarblanding-request-id", "")
        echo = [("X-Rhubarblanding-Request-Id", request)]
        expected = headers.get("x-rhubarblanding-expected-instance")
        if expected not in (None, self.id):
            return 421, echo + [("X-Rhubarblanding-Not-Executed", "1")], b""
        self.runs.append((time.time(), request, method, path, headers, body))
        self.log(f"run      {request} by {self.service} {self.id} on {self.node.ip}")
        await asyncio.sleep(self.work)
        content = f"{self.id} {request}".encode()
        return 200, echo + [("X-Rhubarblanding-Server-Signature", f"{self.id}.{request}")], content

    def report(self, state):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.node.zone,
                "version": "v1", "concurrency": 64, "state": state, "warmup_left_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def say(self, call, body):
        """Sends a call to the node beside this target; returns its status."""
        try:
            answer = await asyncio.wait_for(
                request(self.node.at("control"), "POST", f"/instances/{self.id}/{call}",
                        [("Content-Type", "application/json")], json.dumps(body).encode()), 1.0)
            return answer[0]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            return None

    async def beat(self):
        while True:
            await self.say("heartbeat", self.report("draining" if self.leaving else "ready"))
            await asyncio.sleep(1.5)

    def start_beating(self):
        self.beating = asyncio.ensure_future(self.beat())

    def stop_beating(self):
        if self.beating:
            self.beating.cancel()
            self.beating = None

    async def until_told(self, call, body, seconds=4.0):
        """Repeats a call until it is acknowledged; returns the time of the acknowledgement."""
        end = time.time() + seconds
        while time.time() < end:
            status = await self.say(call, body)
            if status is not None and 200 <= status < 300:
                return time.time()
            await asyncio.sleep(0.2)
        return None


async def request(addr, method, path, headers, body=b"", host=HOST):
    ip, port = addr
    reader, writer = await asyncio.open_connection(ip, port, limit=1 << 22)
    try:
        lines = [("Host", host)] + list(headers)
        if body or method not in ("GET", "HEAD"):
            lines.append(("Content-Length", str(len(body))))
        writer.write(head_bytes(f"{method} {path} HTTP/1.1", lines) + body)
        await writer.drain()
        first, answer = await read_head(reader)
        status = int(first.split(" ")[1])
        content = b""
        if "content-length" in answer or "chunked" in answer.get("transfer-encoding", ""):
            content = await read_body(reader, answer)
        elif answer.get("connection", "").lower() == "close":
            content = await reader.read()
        return status, answer, content
    finally:
        writer.transport.abort()


class Node:
    """A node: its settings and its process."""

    def __init__(self, rig, number, service, zone):
        self.rig, self.number, self.service, self.zone = rig, number, service, zone
        self.ip = f"{rig.net}.{10 + number}"
        self.ports = rig.ports
        self.process, self.settings = None, os.path.join(rig.dir, f"node-{number}.json")
        self.store = rig.store

    def at(self, name):
        return self.ip, self.ports[name]

    def write_settings(self, contracts=(), bounds=None, **more):
        bind = {n: f"{self.ip}:{self.ports[n]}"
                for n in ("inbound", "outbound", "readiness_address", "control")}
        zones = {zone: "north" for zone in self.rig.zones}
        settings = {
            "node_id": f"sidecar-{self.zone}-{self.number}", "role": "node", "machine_class": "sidecar",
            "serves": ["sidecar"], "ip": self.ip, "zone": self.zone, "region": "north", "zones": zones,
            "bind": bind, "port_range": [self.ports["first"], self.ports["first"] + 15], "seeds": [],
            "bootstrap": True, "counts_as_loss": False,
            "limits": {"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "bandwidth_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "static", "entry": "static", "heartbeat_ms": 1500,
            "active_contracts": ["base", "drain", "config", "cost", "retry", "recover", "pressure", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
                       "catchup_s": 4, "drain_timeout_ms": 2000, "grace_period_s": 6, "loss_slack_ms": 200,
                       "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
                       "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 48, "recovery_s": 15},
            "upstream": f"{self.ip}:{self.ports['upstream']}", "service": self.service,
            "platform": {"address": f"{self.store.ip}:{self.store.port}", "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "retention_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
        }
        settings["active_contracts"].extend(contracts)
        settings["bounds"].update(bounds or {})
        settings.update(more)
        with open(self.settings, "w") as file:
            json.dump(settings, file)

    def start(self):
        self.rig.log(f"node     {self.ip} started")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["RHUBARBLANDING_CONFIG"] = self.settings
        log = open(os.path.join(self.rig.dir, f"node-{self.number}.log"), "ab")
        self.process = subprocess.Popen(COMMAND, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        log.close()

    def signal(self, what):
        if self.process and self.process.poll() is None:
            self.process.send_signal(what)

    def kill(self):
        self.rig.log(f"node     {self.ip} killed")
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(request(self.at("readiness_address"), "GET", "/ready", []), 1)
            return answer[0] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            return False


class Rig:
    """Nodes with targets, and a store."""

    def __init__(self, folder, services, zones=("east", "west")):
        self.began = time.time()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.dir = tempfile.mkdtemp(prefix="rhubarblanding-review-")
        self.net = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}"
        self.zones = zones
        self.ports = self.free_ports()
        self.store = Store(f"{self.net}.2", self.log)
        self.nodes = [Node(self, i, s, zones[i % len(zones)]) for i, s in enumerate(services)]
        self.targets = [Target(n, n.service, 100 + n.number, self.log) for n in self.nodes]
        self.tasks, self.count = [], 0
        self.log("case     with the disruption" if self.trouble else "case     without the disruption")

    def free_ports(self):
        names = ["inbound", "outbound", "readiness_address", "control", "upstream"]
        for _ in range(50):
            first = random.randrange(20000, 30000)
            try:
                for port in list(range(first, first + 21)) + [9464]:
                    with socket.socket() as probe:
                        probe.bind((f"{self.net}.10", port))
            except OSError:
                continue
            ports = {name: first + 16 + i for i, name in enumerate(names)}
            ports["first"] = first
            return ports
        raise CouldNotRun("no free ports")

    def log(self, text):
        self.record.write(f"{time.time() - self.began:8.3f} s  {text}\n")
        self.record.flush()

    async def start(self, config, **settings):
        if not os.path.exists(NODE):
            raise CouldNotRun("the program is not built")
        await self.store.start()
        self.tasks.append(asyncio.ensure_future(self.store.ticking()))
        self.store.configure(config)
        for target in self.targets:
            await target.start()
        for node in self.nodes:
            node.write_settings(**settings)
            node.start()
        await self.until_ready()
        for target in self.targets:
            target.start_beating()

    async def until_ready(self, nodes=None, seconds=15):
        end = time.time() + seconds
        for node in nodes or self.nodes:
            while not await node.is_ready():
                if time.time() > end:
                    raise CouldNotRun(f"the node at {node.ip} is not ready")
                await asyncio.sleep(0.05)

    async def send(self, node, path, method="GET", deadline_ms=2000, headers=(), body=b"", id=None):
        """A client attempt at a node; returns (status or None, headers, body)."""
        self.count += 1
        id = id or f"{random.getrandbits(64):016x}"
        lines = [("X-Rhubarblanding-Request-Id", id), ("X-Rhubarblanding-Deadline-Ms", str(deadline_ms))]
        self.log(f"sent     {id} {method} {path} to {node.ip}")
        try:
            answer = await asyncio.wait_for(
                request(node.at("outbound"), method, path, lines + list(headers), body),
                deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as e:
            answer = (None, {}, type(e).__name__.encode())
        self.log(f"answered {id} {answer[0]} {answer[2][:60]!r}")
        return answer

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for target in self.targets:
            target.stop_beating()
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for server in self.targets + [self.store]:
            await server.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


class Tenant:
    """Clients of a tenant that send at a steady rate, each request once, on kept connections."""

    def __init__(self, rig, key, path):
        self.rig, self.key, self.path = rig, key, path
        self.sent, self.statuses, self.idle = {}, {}, {}

    async def send(self, entry):
        id, status, writer = f"{random.getrandbits(64):016x}", None, None
        idle = self.idle.setdefault(entry.number, [])
        self.sent[id] = time.time()
        try:
            reader, writer = idle.pop() if idle else await asyncio.open_connection(*entry.at("outbound"))
            writer.write(head_bytes(f"GET {self.path} HTTP/1.1", [
                ("Host", HOST), ("X-Rhubarblanding-Request-Id", id), ("X-Rhubarblanding-Deadline-Ms", "3000"),
                ("X-Rhubarblanding-Credential", self.key)]))
            first, headers = await asyncio.wait_for(read_head(reader), 3)
            await read_body(reader, headers)
            status = first.split(" ")[1]
            idle.append((reader, writer))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            if writer:
                writer.transport.abort()
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def send_at(self, per_s, seconds, entries):
        self.rig.log(f"tenant   sends {per_s:.0f} a second for {seconds} s at {len(entries)} machines")
        began, tasks = time.time(), []
        for number in range(int(per_s * seconds)):
            await asyncio.sleep(max(0.0, began + number / per_s - time.time()))
            tasks.append(asyncio.ensure_future(self.send(entries[number % len(entries)])))
        await asyncio.gather(*tasks)
        self.rig.log(f"answers  {self.statuses}")

    def most_in_window(self, seconds):
        """Most requests that were both sent and arrived in some window."""
        runs = [run for target in self.rig.targets for run in target.runs]
        pairs = sorted((self.sent[run[1]], run[0]) for run in runs if run[1] in self.sent)
        return max((sum(1 for _, arrived in pairs[i:] if arrived <= start + seconds)
                    for i, (start, _) in enumerate(pairs)), default=0)


def route(name, service, kind="safe", timeout_ms=2000, max_attempts=2, **more):
    return dict({"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind,
                 "timeout_ms": timeout_ms, "aim_ms": 500, "priority": 1, "service": service,
                 "max_attempts": max_attempts}, **more)


def config(version, routes, services, **more):
    return dict({"version": f"{version:08x}", "routes": routes,
                 "services": [{"name": s, "max_connections": 500, "health_path": "/health"} for s in services],
                 "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                            "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}, **more)


def main(folder, services, run, seconds=110):
    """Runs a case: `run(rig)` returns whether the rule held."""

    async def whole():
        rig = None
        try:
            rig = Rig(folder, services)
            held = await asyncio.wait_for(run(rig), seconds)
            rig.log("result   the rule held" if held else "result   the rule was broken")
            return HELD if held else BROKEN
        except Exception as e:  # Whatever it is, it says nothing of the rule.
            text = f"result   the case could not run: {type(e).__name__} {e}"
            rig.log(text) if rig else print(text)
            return COULD_NOT_RUN
        finally:
            if rig:
                await rig.stop()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    sys.exit(asyncio.run(whole()))
