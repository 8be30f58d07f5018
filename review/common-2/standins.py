"""Stand-ins for the cases of this review: the platform's store, a model worker with its weights, the origin
of weights, and the start of the project's programs with the settings template of the deploy file.

They follow PROTOCOL.md and DEPLOY.md. Every address is a loopback address.
"""
import asyncio
import base64
import hashlib
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
STARTED = time.monotonic()
LOST = (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError)


def now():
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        line = "%8.3f s  %s" % (now(), text)
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


# ---- HTTP


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if "chunked" not in headers.get("transfer-encoding", "").lower():
        return b""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()) not in (b"\r\n", b""):
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


def query_of(target):
    parts = urlsplit(target)
    return parts.path, {name: values[0] for name, values in parse_qs(parts.query).items()}


async def serve_calls(reader, writer, answer):
    """Answers one call after the other; answer(method, path, query, body) gives status and bytes."""
    try:
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            method, target, _ = line.split(" ", 2)
            path, query = query_of(target)
            status, data = await answer(method, path, query, body)
            writer.write(b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                         % (status, len(data)) + data)
            await writer.drain()
    except LOST:
        pass
    finally:
        writer.close()


# ---- the platform's store


class Store:
    def __init__(self):
        self.items, self.events, self.leases = {}, [], {}
        self.revision, self.next_lease = 1, 1

    async def start(self, ip, port):
        self.changed = asyncio.Condition()
        asyncio.create_task(self.expire())
        return await asyncio.start_server(lambda r, w: serve_calls(r, w, self.answer), ip, port)

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, ends) in list(self.leases.items()):
                if now() > ends:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self.remove(key)

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value, lease=0):
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                "created": created, "lease": lease}
        self.items[key] = item
        self.events.append(item)
        await self.wake()

    async def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.events.append({"key": key, "revision": self.revision, "deleted": True})
        await self.wake()

    async def answer(self, method, path, query, body):
        await asyncio.sleep(0.004)
        status, document = await self.call(path, query, body)
        return status, json.dumps(document).encode()

    async def call(self, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, currentRev=self.revision)) if item else (404, {})
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            found = [self.items[key] for key in sorted(self.items) if key.startswith(prefix) and key > after]
            return 200, {"items": found, "hasMore": False, "currentRev": self.revision}
        if path == "/kv-watch":
            return 200, await self.watch(query)
        if path == "/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/kv-lease":
            ttl, lease = json.loads(body)["ttlMs"], self.next_lease
            self.next_lease += 1
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        lease = int(path.split("/")[-1]) if re.match(r"/kv-(keep|lease-end)/\d+$", path) else 0
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        await self.end_lease(lease)
        return 200, {}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = now() + int(query["waitMs"]) / 1000
        while True:
            events = [each for each in self.events
                      if each["revision"] > after and each["key"].startswith(prefix)]
            if events or now() >= until:
                return {"events": events, "currentRev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
                except asyncio.TimeoutError:
                    pass

    async def transact(self, wanted):
        expected = wanted.get("expected") or []
        for row in expected:
            if self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"]:
                return 412, {"items": [self.items[each["key"]] for each in expected if each["key"] in self.items]}
        for row in wanted.get("puts") or []:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in wanted.get("puts") or []:
            await self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in wanted.get("remove") or []:
            await self.remove(key)
        return 200, {"revision": self.revision}


# ---- a model worker's own interface, and the origin of weights

PIECES, PIECE_BYTES, LAYERS = 64, 32768, 16


def piece(version, index):
    return hashlib.sha256(b"%d/%d" % (version, index)).digest() * (PIECE_BYTES // 32)


class Engine:
    """The calls that an agent makes at the worker on its machine. Holds and has staged version 1 at first."""

    def __init__(self, name, record):
        self.name, self.record = name, record
        self.version, self.orders = 1, 0
        self.staged = {index: piece(1, index) for index in range(PIECES)}
        self.born = int(time.time() * 1000)

    async def answer(self, method, path, query, body):
        if path == "/report":
            return 200, json.dumps(
                {"stage": "colocated", "models": [{"name": "m0", "version": self.version, "adapters": []}],
                 "layers": {"from": 0, "target": LAYERS, "version": self.version}, "busy": False,
                 "sequence": self.orders, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 1640000,
                 "handles": 0, "pace": 1.0, "born": self.born}).encode()
        if path == "/stage-get/m0" and "sampleCount" not in query:
            return 200, json.dumps({"held": sorted(self.staged)}).encode()
        if path == "/stage-get/m0":
            held = self.staged.get(int(query["sampleCount"]))
            return (200, held) if held else (404, b"{}")
        if path == "/stage-put/m0":
            self.staged[int(query["sampleCount"])] = body
            return 200, b"{}"
        if path == "/order":
            self.orders += 1
            self.version = json.loads(body)["version"]
            self.record("%s loads version %d, all pieces right: %s" %
                        (self.name, self.version, all(self.staged.get(i) == piece(self.version, i)
                                                      for i in range(PIECES))))
            return 202, b"{}"
        return 404, b"{}"


class Origin:
    def __init__(self, link_mbps):
        self.link, self.free_at = link_mbps, 0.0

    async def answer(self, method, path, query, body):
        version = int(query.get("version", "1"))
        if path == "/manifest/m0":
            digests = [hashlib.sha256(piece(version, index)).hexdigest() for index in range(PIECES)]
            return 200, json.dumps({"model": "m0", "version": version, "chunkBytes": PIECE_BYTES,
                                    "layers": LAYERS, "digests": digests}).encode()
        # One transfer after the other over the origin's link.
        self.free_at = max(self.free_at, now()) + PIECE_BYTES * 8 / (self.link * 1e6)
        await asyncio.sleep(self.free_at - now())
        return 200, piece(version, int(query["sampleCount"]))


# ---- the project's programs


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def render(template, fields):
    """Fills in {{a.b}} and {{a|json}}, as DEPLOY.md says; the project's templates use nothing else."""
    def value_of(match):
        name, _, form = match.group(1).partition("|")
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" or isinstance(value, (dict, float)) else str(value)
    return re.sub(r"\{\{([^}]*)\}\}", value_of, template)


BOUNDS = {"stableWindowMs": 3000, "graceS": 8, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 106,
          "coldMultiplier": 1.5, "coldSlack": 5, "version_ms": 8000, "drainMs": 2000, "lossSlackMs": 200}


class Deployment:
    """Starts the roles of deploy/system.toml with their commands and templates."""

    def __init__(self, record):
        self.record, self.processes = record, []
        self.folder = tempfile.TemporaryDirectory()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    def start(self, role, fields):
        with open(os.path.join(ROOT, self.roles[role]["template"]), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        path = os.path.join(self.folder.name, fields["node"] + ".settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        words = self.roles[role]["run"].replace("/etc/hibiscuswall/node.yaml", path).split(" ")
        log = open(os.path.join(self.folder.name, fields["node"] + ".log"), "ab")
        process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT)
        process.node, process.fields = fields["node"], fields
        self.processes.append(process)
        self.record("start %s, process %d" % (process.node, process.pid))
        return process

    def log_of(self, node):
        with open(os.path.join(self.folder.name, node + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.folder.cleanup()


async def await_exit(process, seconds):
    until = now() + seconds
    while process.poll() is None and now() < until:
        await asyncio.sleep(0.02)
    return process.poll()
