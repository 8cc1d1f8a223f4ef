"""Stand-ins for a small deployment of the users' platform: store, targets, clients, node processes.

They do what PROTOCOL.md and DEPLOY.md say and behave well unless a case asks for a disruption that the
pages name. Every machine has its own loopback address, so that ports are the same on all machines.
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

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DEPLOY = os.path.join(ROOT, "deploy", "system.toml")
PORTS = {
    "inbound": 8300,
    "upstream": 8301,
    "ready": 8302,
    "outbound": 8304,
    "control": 8306,
    "peer": (7620, 7635),
    "metrics": 9464,
    "store": 8309,
}
HEADER = "x-rhubarblanding-"


def now_ms():
    return int(time.time() * 1000)


class CannotRun(Exception):
    """The case could not be played; the exit code is 2."""


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lines = []
        self.path = path

    def t(self):
        return time.monotonic() - self.start

    def __call__(self, who, what):
        self.lines.append((self.t(), f"{who:<12} {what}"))

    def write(self):
        with open(self.path, "w", encoding="utf-8") as f:
            for t, text in sorted(self.lines, key=lambda line: line[0]):
                f.write(f"{t:9.3f} {text}\n")


# ---------------------------------------------------------------------------------------- HTTP/1.1


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def get(headers, name):
    for key, value in headers:
        if key == name:
            return value
    return None


async def read_body(reader, headers, until_close=False):
    if (get(headers, "transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = get(headers, "content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if until_close else b""


async def serve(handler, ip, port):
    """`handler(method, path, headers, body, writer)` returns (status, headers, body) or None if it
    has written to the connection itself and closes it."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                task = asyncio.ensure_future(handler(method, path, headers, body, writer))
                gone = asyncio.ensure_future(wait_closed(reader))
                await asyncio.wait({task, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not task.done():
                    task.cancel()
                    await asyncio.gather(task, return_exceptions=True)
                    break
                gone.cancel()
                await asyncio.gather(gone, return_exceptions=True)
                answer = task.result()
                if answer is None:
                    break
                status, extra, content = answer
                head = f"HTTP/1.1 {status} X\r\n"
                head += "".join(f"{k}: {v}\r\n" for k, v in extra)
                head += f"content-length: {len(content)}\r\n\r\n"
                writer.write(head.encode("latin-1") + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def wait_closed(reader):
        # Data that arrives early stays in the buffer; only the end of the connection counts.
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    return await asyncio.start_server(connection, ip, port, limit=1 << 20, backlog=1024)


# ------------------------------------------------------------------------------------------- store


class Store:
    """The platform's metadata store (PROTOCOL.md)."""

    def __init__(self, rec):
        self.rec = rec
        self.items = {}
        self.history = []
        self.rev = 100
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Condition()
        # Seconds before an answer; None: no answer (the store is down, silently).
        self.mode = "up"

    async def start(self, ip):
        self.server = await serve(self.handle, ip, PORTS["store"])
        self.reaper = asyncio.ensure_future(self.reap())

    async def put(self, key, value, lease=0):
        self.rev += 1
        created = self.items[key]["created_rev"] if key in self.items else self.rev
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.rev,
            "created_rev": created,
            "lease_id": lease,
        }
        self.history.append(dict(self.items[key]))
        async with self.changed:
            self.changed.notify_all()
        return self.rev

    async def remove(self, key):
        if key in self.items:
            self.rev += 1
            del self.items[key]
            self.history.append({"key": key, "revision": self.rev, "compacted": True})
            async with self.changed:
                self.changed.notify_all()

    async def configure(self, config):
        """The operator writes a configuration; the return is its acknowledgement."""
        await self.put("op/config", json.dumps(config).encode())
        self.rec("operator", f"configuration {config['version']} acknowledged")

    async def reap(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (ttl, end) in list(self.leases.items()):
                if time.monotonic() >= end:
                    del self.leases[lease]
                    for key, item in list(self.items.items()):
                        if item["lease_id"] == lease:
                            await self.remove(key)

    async def handle(self, method, path, headers, body, writer):
        if self.mode == "silent":
            # Down without a word: the call is never executed or answered.
            await asyncio.sleep(3600)
        status, content = await self.call(method, path, body)
        if self.mode == "silent":
            await asyncio.sleep(3600)
        return status, [("content-type", "application/json")], json.dumps(content).encode()

    async def call(self, method, path, body):
        path, _, query = path.partition("?")
        q = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        await asyncio.sleep(0.004)
        if path == "/kv-key":
            item = self.items.get(q["key"])
            return (200, dict(item, at_rev=self.rev)) if item else (404, {})
        if path == "/kv-range":
            prefix, after = q["path_prefix"], q.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "has_more": len(keys) > 500, "at_rev": self.rev}
        if path == "/kv-watch":
            end = time.monotonic() + int(q["wait_ms"]) / 1000
            while True:
                events = [
                    e
                    for e in self.history
                    if e["revision"] > int(q["after"]) and e["key"].startswith(q["path_prefix"])
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at_rev": self.rev}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/kv-txn":
            txn = json.loads(body)
            for row in txn.get("expected", []):
                held = self.items.get(row["key"], {"revision": 0})
                if held["revision"] != row["revision"]:
                    rows = [
                        self.items.get(r["key"], {"key": r["key"], "revision": 0})
                        for r in txn["expected"]
                    ]
                    return 412, {"items": rows}
            for row in txn.get("puts", []):
                if row["key"].startswith(("op/", "servers/")):
                    return 403, {}
                if row.get("lease_id") and row["lease_id"] not in self.leases:
                    return 404, {}
            for row in txn.get("puts", []):
                value = base64.b64decode(row["value"])
                await self.put(row["key"], value, row.get("lease_id", 0))
            for key in txn.get("remove", []):
                await self.remove(key)
            return 200, {"revision": self.rev}
        if path == "/kv-lease":
            ttl = max(1000, min(600000, json.loads(body)["ttl_ms"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease_id": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if self.leases.pop(lease, None):
                for key, item in list(self.items.items()):
                    if item["lease_id"] == lease:
                        await self.remove(key)
            return 200, {}
        return 404, {}


# ----------------------------------------------------------------------------------------- machine


class Target:
    """The application target of a machine."""

    def __init__(self, rec, machine, service, slots=64, work=0.02):
        self.rec = rec
        self.machine = machine
        self.service = service
        self.slots = slots
        self.work = work
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = now_ms()
        self.sequence = 0
        self.state = "ready"
        self.beating = True
        self.runs = []  # (time, request id, headers, method, path, body)
        self.answer = None  # hook: async (request) -> answer

    async def start(self, beats=True):
        self.server = await serve(self.handle, self.machine.ip, PORTS["upstream"])
        self.beats = asyncio.ensure_future(self.beat()) if beats else None

    async def handle(self, method, path, headers, body, writer):
        rid = get(headers, HEADER + "request-id")
        if path == "/health":
            return 200, [(HEADER + "instance-id", self.id)], b""
        if rid is None:
            return 400, [(HEADER + "not-executed", "1")], b""
        expected = get(headers, HEADER + "expected-instance")
        if expected is not None and expected != self.id:
            self.rec(self.machine.name, f"421 for {rid}: expected {expected}, is {self.id}")
            return 421, [(HEADER + "instance-id", self.id), (HEADER + "request-id", rid)], b""
        self.runs.append((self.rec.t(), rid, headers, method, path, body))
        self.rec(self.machine.name, f"runs {rid} {method} {path} body={len(body)}")
        if self.answer:
            answer = await self.answer(self, rid, method, path, headers, body, writer)
            if answer is not NotImplemented:
                return answer
        await asyncio.sleep(self.work)
        return 200, self.signed(rid), f"{self.service}:{rid}".encode()

    def signed(self, rid):
        return [
            (HEADER + "request-id", rid),
            (HEADER + "server-signature", f"sig.{self.id}.{rid}"),
        ]

    def report(self, **changes):
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.machine.ip}:{PORTS['upstream']}",
            "zone": self.machine.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        body.update(changes)
        return body

    async def post(self, verb, body, timeout=1.0):
        try:
            status, _, _ = await asyncio.wait_for(
                request(
                    (self.machine.ip, PORTS["control"]),
                    "POST",
                    f"/instances/{self.id}/{verb}",
                    [("host", "control"), ("content-type", "application/json")],
                    json.dumps(body).encode(),
                ),
                timeout,
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = None
        return status

    async def beat(self):
        while self.beating:
            await self.post("heartbeat", self.report())
            await asyncio.sleep(1.5)


class Machine:
    """A machine with a node process; its settings are those of the example in DEPLOY.md."""

    def __init__(self, dep, index, service, zone="z1"):
        self.dep = dep
        self.ip = dep.ip(index)
        self.name = f"m{index}-{service}"
        self.service = service
        self.zone = zone
        self.process = None
        self.dir = os.path.join(dep.dir, self.name)
        os.makedirs(self.dir)

    def settings(self):
        at = lambda port: f"{self.ip}:{PORTS[port]}"
        settings = {
            "node_id": self.name,
            "role": "node",
            "machine_class": "sidecar",
            "serves": ["sidecar"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "zones": {"z1": "r", "z2": "r", "z3": "r"},
            "bind": {
                "inbound": at("inbound"),
                "outbound": at("outbound"),
                "readiness_address": at("ready"),
                "control": at("control"),
            },
            "port_range": list(PORTS["peer"]),
            "seeds": [],
            "bootstrap": True,
            "counts_as_loss": False,
            "limits": {
                "cpu_share": 0.4,
                "cpu_cores": 1,
                "memory_mb": 260,
                "max_fds": 4100,
                "bandwidth_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "static",
            "entry": "static",
            "heartbeat_ms": 1500,
            "active_contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "pressure",
                "platform",
            ]
            + self.dep.contracts,
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": dict(self.dep.bounds),
            "upstream": at("upstream"),
            "service": self.service,
            "platform": {
                "address": f"{self.dep.ip(250)}:{PORTS['store']}",
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "retention_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        return settings

    def start(self):
        path = os.path.join(self.dir, "boot.json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(self.settings(), f)
        env = {"PATH": os.environ.get("PATH", ""), "RHUBARBLANDING_CONFIG": path}
        log = open(os.path.join(self.dir, "node.log"), "ab")
        self.process = subprocess.Popen(
            self.dep.command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.dep.started.append(self.process)
        self.dep.rec(self.name, f"node started, pid {self.process.pid}")

    def signal(self, number):
        self.dep.rec(self.name, f"node gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, timeout=10.0):
        end = time.monotonic() + timeout
        while self.process.poll() is None:
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.01)
        self.dep.rec(self.name, f"node ended, code {self.process.returncode}")
        return True

    async def ready(self, timeout=10.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                status, _, _ = await request(
                    (self.ip, PORTS["ready"]), "GET", "/ready", [("host", "ready")], b""
                )
                if status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    @property
    def entry(self):
        return (self.ip, PORTS["outbound"])


class Deployment:
    """A few machines, a store and the means to end all of it."""

    def __init__(self, rec, bounds=None, contracts=()):
        self.rec = rec
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        for port in (PORTS["outbound"], PORTS["store"]):
            with socket.socket() as probe:
                probe.bind((self.ip(1), port))
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.bounds = {
            "seed_lag_s": 3,
            "addr_reuse_s": 2,
            "stable_window_ms": 3000,
            "ack_ms": 4000,
            "catchup_s": 4,
            "drain_timeout_ms": 2000,
            "grace_period_s": 6,
            "loss_slack_ms": 200,
            "config_apply_ms": 2000,
            "rollback_slack_ms": 250,
            "max_stretch_ms": 5000,
            "retry_budget_ratio": 0.2,
            "retry_window_s": 10,
            "budget_slack": 48,
            "recovery_s": 15,
        }
        self.bounds.update(bounds or {})
        self.contracts = list(contracts)
        self.started = []
        self.machines = []
        run = next(
            line.split('"')[1]
            for line in open(DEPLOY, encoding="utf-8")
            if line.replace(" ", "").startswith("run=")
        )
        self.command = run.split(" ")
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun(f"{self.command[0]} is not built")
        self.store = Store(rec)

    def ip(self, index):
        return f"{self.net}.{index}"

    def machine(self, service, zone="z1"):
        machine = Machine(self, len(self.machines) + 1, service, zone)
        self.machines.append(machine)
        return machine

    def close(self):
        for process in self.started:
            if process.poll() is None:
                process.kill()
        for process in self.started:
            process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def route(name, service, kind="safe", **more):
    fields = {
        "name": name,
        "host": f"{name}.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 6000,
        "aim_ms": 1500,
        "priority": 1,
        "max_attempts": 2,
        "anonymous": False,
        "service": service,
    }
    fields.update(more)
    return fields


def config(version, routes, services, **more):
    fields = {
        "version": f"{version:08x}",
        "routes": routes,
        "services": [
            {
                "name": s,
                "health_path": "/health",
                "max_connections": 1000,
                "protocol": "h1",
                "tls": False,
            }
            for s in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    fields.update(more)
    return fields


# ------------------------------------------------------------------------------------------ client


def new_id():
    return f"{random.getrandbits(64):016x}"


async def request(addr, method, path, headers, body=b"", conn=None):
    """Sends one request and returns (status, headers, body); raises if the connection ends first."""
    reader, writer = conn or await asyncio.open_connection(*addr, limit=1 << 24)
    try:
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
        if body or method in ("POST", "PUT"):
            head += f"content-length: {len(body)}\r\n"
        writer.write(head.encode("latin-1") + b"\r\n" + body)
        await writer.drain()
        while True:
            line, answer = await read_head(reader)
            status = int(line.split(" ")[1])
            if status >= 200:
                break
        return status, answer, await read_body(reader, answer, until_close=True)
    finally:
        if conn is None:
            writer.close()


def call_headers(route_name, rid, deadline_ms, key=None):
    headers = [
        ("Host", f"{route_name}.example"),
        ("X-Rhubarblanding-Request-Id", rid),
        ("X-Rhubarblanding-Deadline-Ms", str(deadline_ms)),
    ]
    if key:
        headers.append(("X-Rhubarblanding-Credential", key))
    return headers


def play(case, folder, limit=110):
    """Runs `case(rec, trouble)`, which returns the list of broken rules; exits as the issue says."""
    rec = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    rec("script", f"starts with TROUBLE={int(trouble)}")

    async def run():
        task = asyncio.ensure_future(case(rec, trouble))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, limit)

    code, lines = 2, []
    try:
        lines = [f"BROKEN {line}" for line in asyncio.run(run())]
        code = 1 if lines else 0
    except asyncio.CancelledError:
        lines = ["cancelled"]
    except Exception as e:  # pylint: disable=broad-except
        lines = [f"cannot run: {e!r}"]
    lines.append(f"exit code {code}")
    for line in lines:
        rec("script", line)
    rec.write()
    try:
        print("\n".join(lines), flush=True)
    except OSError:
        sys.stdout = None
    sys.exit(code)
