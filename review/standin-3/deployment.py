"""Stand-ins of the platform's store, of servers and of requesters, and a starter of gateway processes.

They follow PROTOCOL.md and DEPLOY.md. Everything listens on loopback addresses and free ports.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
from urllib.parse import parse_qsl

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "mustard-gateway")
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HEARTBEAT_S = 1.2
GRACE_S = 8.0


def free_port(ip="127.0.0.1"):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Head:
    """The first line and the headers of a message."""

    def __init__(self, line, headers):
        self.line = line
        self.headers = headers

    def get(self, name, default=None):
        for key, value in self.headers:
            if key == name:
                return value
        return default


async def read_head(reader):
    """Returns the head of the next message; `None` at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers.append((name.strip().lower(), value.strip()))
    return Head(lines[0], headers)


async def read_body(reader, head):
    """Returns the body that a head announces; raises if it is cut off."""
    if (head.get("transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = head.get("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    if head.line.startswith("HTTP/") and head.line.split()[1] not in ("204", "304"):
        return await reader.read(-1)
    return b""


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store, in memory."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.start = time.monotonic()
        self.changed = asyncio.Event()
        self.port = None
        self.writers = set()

    async def listen(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Writes or, with `None`, removes a row."""
        self.version += 1
        if value is None:
            if self.rows.pop((table, key), None) is None:
                return
        else:
            self.rows[(table, key)] = (value, self.version)
        self.log.append((self.version, table, key, value))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put_json(self, table, key, value):
        self.put(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    def meta(self):
        return {
            "resource_version": self.version,
            "server_time_ms": int((time.monotonic() - self.start) * 1000),
        }

    def row(self, table, key):
        value, version = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value, "resource_version": version}

    def get(self, query):
        table = query.get("table", "")
        first, end = query.get("from", ""), query.get("to")
        limit = int(query.get("limit", 500))
        keys = sorted(k for t, k in self.rows if t == table and k >= first and (not end or k < end))
        rows = [self.row(table, k) for k in keys[:limit]]
        return {"rows": rows, "has_more": len(keys) > limit, **self.meta()}

    async def feed(self, query):
        table = query["table"]
        since = int(query.get("since_rev", 0))
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            event = self.changed
            found = [e for e in self.log if e[1] == table and e[0] > since]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass
        newest = {}
        for version, _, key, value in found:
            newest[key] = (version, value)
        rows = []
        for key, (version, value) in sorted(newest.items(), key=lambda e: e[1][0]):
            row = {"table": table, "part": "", "key": key, "resource_version": version}
            row.update({"deleted": True} if value is None else {"value": value})
            rows.append(row)
        return {"rows": rows, **self.meta()}

    def transact(self, body):
        call = json.loads(body)
        failed = []
        for check in call.get("precondition", []):
            name = (check["table"], check["key"])
            version = self.rows[name][1] if name in self.rows else 0
            if version != check["resource_version"]:
                if name in self.rows:
                    failed.append(self.row(*name))
                else:
                    failed.append({"table": name[0], "part": "", "key": name[1], "resource_version": 0})
        if failed:
            return 412, {"rows": failed, **self.meta()}
        for write in call.get("set_keys", []):
            self.put(write["table"], write["key"], write["value"])
        for removal in call.get("remove", []):
            self.put(removal["table"], removal["key"], None)
        return 200, self.meta()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                _, target, _ = head.line.split(" ")
                path, _, text = target.partition("?")
                query = dict(parse_qsl(text, keep_blank_values=True))
                status = 200
                if path == "/v1/rows-get":
                    answer = self.get(query)
                elif path == "/v1/rows-feed":
                    answer = await self.feed(query)
                elif path == "/v1/rows-tx":
                    status, answer = self.transact(body)
                else:
                    status, answer = 404, {}
                headers = [("Content-Type", "application/json")]
                writer.write(response(status, headers, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Server:
    """A server of a plain service.

    `handler` is called with the server, the head of a request and the two ends of the channel; it answers the
    request and returns whether the channel is kept.
    """

    def __init__(self, store, service, name, ip="127.0.0.1", zone="a", slots=64):
        self.store = store
        self.service = service
        self.id = name
        self.ip = ip
        self.zone = zone
        self.slots = slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.handler = None
        self.port = 0
        self.beats = None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port, limit=1 << 22, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        self.write_row()
        self.beats = asyncio.ensure_future(self.beat())

    def entry(self):
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_ms": 0,
            "born": self.born,
            "seq": self.seq,
        }

    def write_row(self):
        self.seq += 1
        self.store.put_json("servers", self.id, self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_row()

    def stop_beats(self):
        if self.beats:
            self.beats.cancel()
            self.beats = None

    def crash(self):
        """Ends the server: its listener is closed and all channels are reset."""
        self.stop_beats()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, path, _ = head.line.split(" ")
                if path == "/health" and method == "GET":
                    status = 200 if self.state == "ready" else 503
                    writer.write(response(status, [("Instance-Id", self.id)]))
                    await writer.drain()
                    continue
                expected = head.get("expect-instance")
                if expected not in (None, self.id):
                    await read_body(reader, head)
                    writer.write(response(421, [("Instance-Id", self.id), ("Not-Executed", "1")]))
                    await writer.drain()
                    return
                kept = await self.handler(self, head, reader, writer)
                if not kept:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def seal(self, head):
        return [
            ("Attempt-Id", head.get("attempt-id", "")),
            ("Response-Seal", f"3e1b.07.5a2.600.0.{self.id}"),
        ]


def reset(writer):
    """Closes a channel with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Gateway:
    """A gateway process with the settings of a small deployment."""

    def __init__(self, folder, store_port, ip, peer_port, seeds=(), zone="a", bounds=None, memory_mb=260):
        self.ip = ip
        self.front = (ip, free_port(ip))
        self.ready = (ip, free_port(ip))
        self.control = (ip, free_port(ip))
        self.folder = folder
        self.name = f"front-{zone}-{ip}"
        self.settings = os.path.join(folder, f"{self.name}.json")
        values = {
            "drain_ms": 2000, "grace_s": GRACE_S, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
            "seed_lag_s": 3, "reuse_after_s": 2, "loss_slack_ms": 200, "config_ms": 2000,
            "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revoke": False, "revoke_ms": 5000,
            "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 196, "recover_s": 12,
            "iteration_ms": 120, "retry_after_s": 0, "stall_ms": 2500, "require_fence": True,
        }
        values.update(bounds or {})
        content = {
            "node": self.name, "role": "gateway", "machine_class": "front", "serves": ["front", "control"],
            "ip": ip, "zone": zone, "region": "r", "zones": {"a": "r", "b": "r", "c": "r"},
            "listen": {
                "front": "%s:%d" % self.front, "ready": "%s:%d" % self.ready,
                "control": "%s:%d" % self.control,
            },
            "port_range": [peer_port, peer_port + 15],
            "seeds": [f"{s}:{self.control[1]}" for s in seeds],
            "bootstrap": True, "fault_counted": False,
            "limits": {"cpu_share": 0.19, "cores": 1, "memory_mb": memory_mb, "max_fds": 4200,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "platform", "layers"],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": values,
            "platform": {"address": f"127.0.0.1:{store_port}", "form": "table", "writes_per_s": 400,
                         "reads_per_s": 2000, "txn_timeout_ms": 3.0, "part_writes_s": 300,
                         "row_bytes": 65536, "across": True, "history_retention_s": 20,
                         "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0},
        }
        with open(self.settings, "w") as file:
            json.dump(content, file)
        self.process = None

    async def start(self):
        env = dict(os.environ, MUSTARDFIELD_BOOT=self.settings)
        log = open(os.path.join(self.folder, f"{self.name}.log"), "a")
        # The metrics port of the deploy file is the same for all machines.
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "--metrics-port", str(free_port()), cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ready, "GET", "/v1/ready", [])
            return status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            return False

    async def wait_ready(self, limit=20):
        until = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > until:
                raise RuntimeError("the gateway doesn't become ready")
            await asyncio.sleep(0.05)

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def call(addr, method, path, headers, body=None, limit=10.0):
    """Sends a request on a channel of its own; returns status, head and body."""

    async def run():
        reader, writer = await asyncio.open_connection(*addr, limit=1 << 22)
        try:
            writer.write(encode_request(method, path, headers, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("no answer")
            return int(head.line.split()[1]), head, await read_body(reader, head)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), limit)


def encode_request(method, path, headers, body=None):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def request_headers(attempt, budget_ms=20000, key=KEY):
    return [("Attempt-Id", attempt), ("Time-Budget-Ms", budget_ms), ("Authorization", f"Bearer {key}")]


def route(prefix, kind, service, timeout_ms=20000, target_ms=500, attempts=2, **more):
    return {"name": "r" + prefix.strip("/"), "host": HOST, "prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 1, "service": service,
            "max_attempts": attempts, "public": False, "sticky": False, **more}


def service(name, max_conns=500):
    return {"name": name, "health_path": "/health", "max_conns": max_conns, "protocol": "h1", "tls": False}


def config(version, routes, services, tenants=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": tenants or [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}


def run_case(main):
    """Runs `main(record, folder, trouble)`, which returns whether the rule held, and exits as run.sh has to."""
    case = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(case, "record.txt"))
    folder = tempfile.mkdtemp(prefix="mustard-review-")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2

    async def run():
        # Channels that are open at the end of the case break off.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(main(record, folder, trouble), 110)

    try:
        held = asyncio.run(run())
        code = 0 if held else 1
        record.add("the rule " + ("held" if held else "was broken"))
    except Exception as error:  # The case couldn't run.
        record.add(f"the case couldn't run: {error!r}")
        traceback.print_exc()
    finally:
        record.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(folder, ignore_errors=True)
        else:
            print(folder)
    sys.exit(code)
