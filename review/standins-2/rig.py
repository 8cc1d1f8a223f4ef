"""Stand-ins for the key-value store, targets and clients, and the start of the project's own processes.

Only the standard library. Every address is a loopback address: one 127.0.0.0/8 address a machine, and
the same ports on all machines, as on the platform.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "deploy", "rhubarblanding")

BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catchup_s": 4,
    "drain_timeout_ms": 2000, "grace_period_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "retry_budget_ratio": 0.2, "retry_window_s": 10,
    "budget_slack": 48, "recovery_s": 15,
}
HEARTBEAT_S = 1.5


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = now()

    def write(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")


def free_ports(count, hosts):
    """Returns `count` ports that are free on all of `hosts`."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 30000)
        socks = []
        try:
            for host in hosts:
                sock = socket.socket()
                sock.bind((host, port))
                socks.append(sock)
            if port not in found:
                found.append(port)
        except OSError:
            pass
        finally:
            for sock in socks:
                sock.close()
    return found


# ---------------------------------------------------------------- HTTP


async def read_head(reader):
    """Reads a head; returns its first line and headers, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head(status, headers):
    lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


# ---------------------------------------------------------------- store


class Store:
    """The platform's key-value store: items, leases, watches, one revision counter."""

    def __init__(self, record):
        self.record = record
        self.rev = 100
        self.items = {}
        self.leases = {}
        self.next_lease = 1
        self.events = []
        self.changed = asyncio.Condition()
        self.down = False
        self.lapse = False
        self.went_down = 0.0
        self.writers = set()
        self.seen = []

    def expire(self):
        if self.down:
            return
        gone = [id for id, lease in self.leases.items() if lease["end"] <= now()]
        for id in gone:
            del self.leases[id]
            for key in [k for k, item in self.items.items() if item["lease_id"] == id]:
                self.remove(key)

    def remove(self, key):
        self.rev += 1
        self.items.pop(key, None)
        self.events.append({"key": key, "revision": self.rev, "compacted": True})

    def put(self, key, value, lease=0):
        self.rev += 1
        old = self.items.get(key)
        item = {
            "key": key, "value": base64.b64encode(value).decode(), "revision": self.rev,
            "created_rev": old["created_rev"] if old else self.rev, "lease_id": lease,
        }
        self.items[key] = item
        self.events.append(dict(item))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def operator_put(self, key, value):
        self.put(key, json.dumps(value).encode())
        self.record.write(f"operator: {key} acknowledged, version {value.get('version')}")
        await self.notify()

    def set_down(self, down, lapse=False):
        """A store that is down answers nothing. With `lapse` the time of leases runs on meanwhile."""
        if down:
            self.went_down, self.lapse = now(), lapse
            self.down = True
        else:
            if not self.lapse:
                for lease in self.leases.values():
                    lease["end"] += now() - self.went_down
            self.down = False
            for writer in list(self.writers):
                writer.close()
        self.record.write(f"store: {'down, silent' if down else 'back'}{', leases run on' if lapse else ''}")

    async def start(self, host, port):
        await asyncio.start_server(self.serve, host, port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                got = await read_head(reader)
                if got is None:
                    return
                line, headers = got
                body = await read_body(reader, headers)
                if self.down:
                    # No answer, now or later: this connection returns nothing further.
                    await asyncio.sleep(3600)
                method, target, _ = line.split(" ")
                status, answer = await self.call(method, target, body)
                if self.down:
                    await asyncio.sleep(3600)
                text = json.dumps(answer).encode()
                writer.write(head(status, {"Content-Type": "application/json", "Content-Length": len(text)}) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def call(self, method, target, body):
        self.expire()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        self.seen.append((now(), method, url.path, query))
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at_rev": self.rev}) if item else (404, {"error": "no such key"})
        if url.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["path_prefix"]) and k > query.get("after", ""))
            self.record.write(f"store: range {query['path_prefix']} has {len(keys)} items")
            return 200, {"items": [self.items[k] for k in keys], "has_more": False, "at_rev": self.rev}
        if url.path == "/kv-watch":
            return await self.watch(query)
        if url.path == "/kv-txn":
            return await self.txn(json.loads(body))
        if url.path == "/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            id, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[id] = {"end": now() + ttl / 1000, "ttl": ttl}
            return 200, {"lease_id": id, "ttl_ms": ttl}
        if url.path.startswith("/kv-keep/"):
            lease = self.leases.get(int(url.path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {"error": "ended"}
            lease["end"] = now() + lease["ttl"] / 1000
            return 200, {"ttl_ms": lease["ttl"]}
        if url.path.startswith("/kv-lease-end/"):
            lease = self.leases.get(int(url.path.rsplit("/", 1)[1]))
            if lease:
                lease["end"] = 0
                self.expire()
            return 200, {}
        return 404, {"error": "no such call"}

    async def watch(self, query):
        after, prefix = int(query["after"]), query["path_prefix"]
        end = now() + int(query["wait_ms"]) / 1000
        while True:
            self.expire()
            events = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - now()
            if events or left <= 0:
                return 200, {"events": events, "at_rev": self.rev}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass

    async def txn(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = []
                for wanted in body["expected"]:
                    known = self.items.get(wanted["key"])
                    rows.append(known or {"key": wanted["key"], "revision": 0})
                return 412, {"items": rows}
        for put in body.get("puts", []):
            lease = put.get("lease_id", 0) or 0
            if lease and lease not in self.leases:
                return 404, {"error": "no such lease"}
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease_id", 0) or 0)
            self.record.write(f"store: {put['key']} written")
        for key in body.get("remove", []):
            self.remove(key)
        await self.notify()
        return 200, {"revision": self.rev}


# ---------------------------------------------------------------- target


class Target:
    """A target: heartbeats to its node, runs of requests, leaving."""

    def __init__(self, record, service, id, host, ports, zone, slots=64):
        self.record, self.service, self.id, self.host, self.ports, self.zone = record, service, id, host, ports, zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.writers = set()
        self.beating = None
        self.server = None
        self.handler = None
        self.acknowledged = None
        # A target that leaves says so in all its answers.
        self.is_leaving = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.ports["upstream"])
        self.beating = asyncio.create_task(self.beat())
        self.record.write(f"target {self.id}: started at {self.host}, service {self.service}")

    async def crash(self):
        """Ends at once: its listener and all connections close, and it says nothing."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def beat(self):
        while True:
            await self.heartbeat(self.next_heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    def next_heartbeat(self):
        self.sequence += 1
        return {
            "service": self.service, "address": f"{self.host}:{self.ports['upstream']}", "zone": self.zone,
            "version": "v1", "concurrency": self.slots, "state": self.state, "warmup_left_ms": 0,
            "sequence": self.sequence, "born": self.born,
        }

    async def heartbeat(self, beat, note=""):
        status = await self.control(f"/instances/{self.id}/heartbeat", beat)
        if note:
            self.record.write(f"target {self.id}: {note}, sequence {beat['sequence']}, answered {status}")
        return status

    async def deregister(self):
        """Leaves: tells its node until that acknowledges, and goes on serving."""
        self.is_leaving = True
        self.beating.cancel()
        while self.acknowledged is None:
            status = await self.control(f"/instances/{self.id}/deregister", {"born": self.born})
            self.record.write(f"target {self.id}: deregister answered {status}")
            if status is not None and 200 <= status < 300:
                self.acknowledged = now()
                return
            await asyncio.sleep(0.3)

    async def control(self, path, body):
        async def exchange():
            reader, writer = await asyncio.open_connection(self.host, self.ports["control"])
            try:
                text = json.dumps(body).encode()
                writer.write((f"POST {path} HTTP/1.1\r\nHost: {self.host}\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n").encode() + text)
                got = await read_head(reader)
                return int(got[0].split(" ")[1]) if got else None
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), 1.0)
        except (OSError, asyncio.TimeoutError):
            return None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                got = await read_head(reader)
                if got is None:
                    return
                line, headers = got
                body = await read_body(reader, headers)
                method, path, _ = line.split(" ")
                id = headers.get("x-rhubarblanding-request-id", "")
                common = {"X-Rhubarblanding-Request-Id": id, "Keep-Alive": "timeout=10"}
                expected = headers.get("x-rhubarblanding-expected-instance")
                if expected is not None and expected != self.id:
                    text = b"another instance"
                    writer.write(head(421, {**common, "X-Rhubarblanding-Instance-Id": self.id, "Content-Length": len(text)}) + text)
                    continue
                self.runs.append((now(), id, path))
                self.record.write(f"target {self.id}: runs {method} {path} id {id}")
                if not await self.handler(self, writer, path, id, common):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def reset(writer):
    """Resets a connection."""
    sock = writer.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def small_answer(target, writer, path, id, common, delay=0.02):
    await asyncio.sleep(delay)
    text = f"answer of {target.id} to {id}".encode()
    if target.is_leaving:
        common = {**common, "Server-Leaving": "1"}
    writer.write(head(200, {**common, "X-Rhubarblanding-Server-Signature": f"sig-{target.id}-{id}", "Content-Length": len(text)}) + text)
    return True


# ---------------------------------------------------------------- nodes


class Machine:
    """One machine: its settings and the project's process beside its target."""

    def __init__(self, record, folder, name, host, ports, zone, service, store, seeds=()):
        self.record, self.name, self.host, self.ports = record, name, host, ports
        self.process = None
        self.path = os.path.join(folder, f"{name}.json")
        self.log = os.path.join(folder, f"{name}.log")
        at = lambda which: f"{host}:{ports[which]}"
        settings = {
            "node_id": name, "role": "node", "machine_class": "sidecar", "serves": ["sidecar"], "ip": host,
            "zone": zone, "region": "region", "zones": {zone: "region"},
            "bind": {"inbound": at("inbound"), "outbound": at("outbound"), "readiness_address": at("ready"), "control": at("control")},
            "port_range": [ports["peer"], ports["peer"]], "seeds": list(seeds), "bootstrap": True,
            "counts_as_loss": False,
            "limits": {"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100, "bandwidth_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "static", "entry": "static", "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "active_contracts": ["base", "drain", "config", "cost", "retry", "recover", "pressure", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "upstream": at("upstream"), "service": service,
            "platform": {"address": store, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "retention_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
        }
        with open(self.path, "w") as f:
            json.dump(settings, f)

    def start(self):
        log = open(self.log, "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/tmp"), "RHUBARBLANDING_CONFIG": self.path}
        command = [PROGRAM, "mesh", "--metrics-port", str(self.ports["metrics"])]
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.record.write(f"machine {self.name}: process started")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.record.write(f"machine {self.name}: process killed (SIGKILL)")

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        async def ask():
            reader, writer = await asyncio.open_connection(self.host, self.ports["ready"])
            try:
                writer.write(f"GET /ready HTTP/1.1\r\nHost: {self.host}\r\nConnection: close\r\n\r\n".encode())
                got = await read_head(reader)
                return got is not None and " 200 " in got[0]
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(ask(), 1.0)
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=20.0):
        end = now() + limit
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


PORT_NAMES = ["inbound", "outbound", "ready", "control", "peer", "upstream", "metrics"]


def route(name, host, prefix, service, kind="safe", timeout_ms=6000, aim_ms=1500, attempts=2):
    return {"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "aim_ms": aim_ms, "priority": 1, "max_attempts": attempts, "service": service}


def configuration(version, routes, services):
    return {
        "version": f"{version:08x}", "routes": routes,
        "services": [{"name": name, "health_path": "/health", "max_connections": 1000} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


async def request(machine, host, path, id, deadline_ms=2000, method="GET", body=b""):
    """Sends one request on a new connection; returns status, headers, body and whether it is whole."""
    async def exchange():
        reader, writer = await asyncio.open_connection(machine.host, machine.ports["outbound"])
        try:
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Rhubarblanding-Request-Id: {id}\r\n"
                          f"X-Rhubarblanding-Deadline-Ms: {deadline_ms}\r\n"
                          + (f"Content-Length: {len(body)}\r\n" if body or method != "GET" else "") + "\r\n").encode() + body)
            got = await read_head(reader)
            if got is None:
                return None, {}, b""
            text = await read_body(reader, got[1])
            return int(got[0].split(" ")[1]), got[1], text
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), deadline_ms / 1000 + 1)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, {}, b""


async def limited(run):
    """Ends a case after a while, and all that it left running with it."""
    try:
        return await asyncio.wait_for(run, 110)
    finally:
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)


class Broken(Exception):
    """The case could not run."""


def play(case, folder):
    """Runs `case(record, temporary folder, with disruption)`; it returns True if the rule held."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"with disruption: {trouble}")
    machines = []
    if not os.access(PROGRAM, os.X_OK):
        record.write("no program: the build of the deploy file is missing")
        return 2
    with tempfile.TemporaryDirectory() as tmp:
        try:
            held = asyncio.run(limited(case(record, tmp, trouble, machines)))
            record.write(f"the rule {'held' if held else 'was broken'}")
            return 0 if held else 1
        except Exception as e:  # Anything unexpected means that the case could not run.
            record.write(f"could not run: {type(e).__name__}: {e}")
            return 2
        finally:
            for machine in machines:
                machine.stop()
            if os.environ.get("KEEP_LOGS"):
                os.system(f"mkdir -p {os.environ['KEEP_LOGS']}; cp {tmp}/*.log {os.environ['KEEP_LOGS']}/")
