#!/usr/bin/env python3
"""Time to N replicas, bytes drawn from the origin, and service meanwhile, on real processes at 127.0.0.1.

    tools/measures/weights.py [--hosts 16,48,96] [--faults killed,stalled,corrupted] [--seed 1] [--baseline]

Link speeds are in the ratio origin 4 copies, host 2 copies in the window; the bound is the copy size over the
host's link speed plus one pipeline fill (a chunk over the origin's link, then one hop per doubling of holders).
The baseline lets every host fetch from the origin; it is stopped after --baseline-seconds and projected from the
bytes that arrived until then (projected=yes).
"""
import argparse
import asyncio
import concurrent.futures
import json
import math
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import threading
import time

from lib_deployment import BIN, free_port, percentile, report, request

COPY, CHUNK, WINDOW = 8 << 20, 32 << 10, 20.0
HOST_RATE, ORIGIN_RATE = int(2 * COPY / WINDOW), int(4 * COPY / WINDOW)


class Proxy:
    """Forwards TCP to one host; corrupts or stalls what the host sends once armed."""

    def __init__(self, target):
        self.target, self.address, self.fault = target, f"127.0.0.1:{free_port()}", ""
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        asyncio.set_event_loop(self.loop)
        host, port = self.address.split(":")
        self.loop.run_until_complete(asyncio.start_server(self.serve, host, int(port)))
        self.loop.run_forever()

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target.split(":"))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, far_writer, False), self.copy(far_reader, writer, True))

    async def copy(self, source, sink, answers):
        try:
            while data := await source.read(65536):
                while self.fault == "stalled":
                    await asyncio.sleep(0.05)
                if answers and self.fault == "corrupted" and len(data) > 8192:
                    data = bytearray(data)
                    data[len(data) // 2] ^= 0xFF
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        sink.close()


class Run:
    def __init__(self, count, seed, peers=True, fault=""):
        self.count, self.seed, self.peers, self.fault = count, seed, peers, fault
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="hw-weights-"))
        self.processes, self.hosts, self.proxy = [], [], None
        self.random = random.Random(seed)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()

    def spawn(self, name, program, *arguments):
        with open(self.folder / (name + ".log"), "ab") as log:
            process = subprocess.Popen([str(BIN / program), *map(str, arguments)], stdout=log, stderr=log,
                                       stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def start(self):
        self.kv, self.origin = (f"127.0.0.1:{free_port()}" for _ in range(2))
        self.spawn("kv", "standin-kv", "--listen", self.kv)
        self.spawn("origin", "standin-weights", "--listen", self.origin, "--chunk-bytes", CHUNK, "--rate", ORIGIN_RATE,
                   "--model", f"m/v1:{1 << 20}:{self.seed + 1000}", "--model", f"m/v2:{COPY}:{self.seed}")
        for i in range(self.count):
            self.hosts.append({"name": f"host-{i:03}", "listen": f"127.0.0.1:{free_port()}",
                               "engine": f"127.0.0.1:{free_port()}"})
        if self.fault in ("stalled", "corrupted"):
            self.proxy = Proxy(self.hosts[0]["listen"])
        members = [{"name": h["name"], "role": "agent", "address": h["listen"], "region": "gorenjska",
                    "failure_domain": "gor-a", "service": "drafting", "incarnation": 1} for h in self.hosts]
        if self.proxy:
            members[0]["address"] = self.proxy.address
        for i, h in enumerate(self.hosts):
            self.spawn("engine-" + h["name"], "standin-engine", "--listen", h["engine"], "--warm-requests", 2,
                       "--token-ms", 5, "--seed", i, "--max-running", 32)
            settings = {"name": h["name"], "region": "gorenjska", "failure_domain": "gor-a", "listen": h["listen"],
                        "engine": h["engine"], "seed": self.seed * 1000 + i, "members": members,
                        "platform": {"key_value": [self.kv], "host_list": self.kv, "origin": self.origin},
                        "weights": {"upload_rate": HOST_RATE, "download_rate": HOST_RATE, "peers": self.peers,
                                    "draws": 1 if self.peers else 4, **json.loads(os.environ.get("HW_WEIGHTS", "{}"))}}
            path = self.folder / (h["name"] + ".json")
            path.write_text(json.dumps(settings))
            h["process"] = self.spawn(h["name"], "weights-host", path)
        for address in [self.kv, self.origin, *[h["listen"] for h in self.hosts], *[h["engine"] for h in self.hosts]]:
            self.wait(lambda a=address: request(a, "GET", "/v1/stats", timeout=1)[0] > 0, 30, address)

    def wait(self, check, limit, what):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                if check():
                    return True
            except OSError:
                pass
            time.sleep(0.05)
        if what:
            raise TimeoutError(what)
        return False

    def declare(self, version):
        body = {"model": "m", "version": version, "failure_domains": ["gor-a"], "batch": max(1, self.count // 8)}
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            list(pool.map(lambda h: request(h["listen"], "POST", "/declare", body), self.hosts))

    def status(self, h):
        body = {"jsonrpc": "2.0", "id": 1, "method": "weights.status", "params": {}}
        return json.loads(request(h["listen"], "POST", "/rpc", body)[2])["result"]

    def wait_active(self, version, hosts, limit):
        """Asks one host after another, so that the question costs the hosts little."""
        until = time.monotonic() + limit
        for h in hosts:
            if not self.wait(lambda: self.status(h)["active"] == "m/" + version, until - time.monotonic(), ""):
                return False
        return True

    def verified_at(self, h, version):
        events = json.loads(request(h["listen"], "GET", "/timeline")[2])["events"]
        for e in events:
            fields = e.get("fields", {})
            fields = dict(fields) if isinstance(fields, list) else fields
            if e["event"] == "version_state" and fields.get("state") == "verified" and fields.get("version") == "m/" + version:
                return e["wall_ms"] / 1000
        return None

    def call(self, number):
        """One live request; a refusal that says "not run" goes to another host, as an entry would do."""
        begun = time.monotonic()
        while time.monotonic() - begun < 10:
            h = self.random.choice(self.hosts)
            headers = {"Hw-Call-Id": f"call-{number}-{time.monotonic_ns()}", "Hw-Account": "a", "Hw-Class": "drafting",
                       "Hw-Deadline-Ms": "10000", "Hw-Config-Revision": "1", "Hw-Method": "POST",
                       "Hw-Target": "/v1/completions", "Hw-Idempotent": "1", "Content-Type": "application/json"}
            try:
                status, answer, body = request(h["listen"], "POST", "/forward",
                                               {"model": "m", "prompt": f"p{number}", "max_tokens": 8, "stream": False}, headers)
            except OSError:
                continue
            if status == 200:
                return time.monotonic() - begun, answer, json.loads(body)
        return None

    def live(self, stop, results):
        number = 0
        while not stop.is_set():
            number += 1
            results.append(self.call(number))
            time.sleep(0.05)

    def live_for(self, seconds=None):
        stop, results = threading.Event(), []
        threads = [threading.Thread(target=self.live, args=(stop, results)) for _ in range(4)]
        for t in threads:
            t.start()
        if seconds is None:
            return stop, threads, results
        time.sleep(seconds)
        stop.set()
        for t in threads:
            t.join()
        return results

    def cpu_seconds(self):
        total = 0
        for h in self.hosts:
            try:
                fields = pathlib.Path(f"/proc/{h['process'].pid}/stat").read_text().rsplit(")", 1)[1].split()
                total += int(fields[11]) + int(fields[12])
            except OSError:
                pass
        return total / os.sysconf("SC_CLK_TCK")

    def failures(self):
        """Fetches that brought nothing, by reason, over all hosts."""
        totals = {}
        for h in self.hosts:
            try:
                page = request(h["listen"], "GET", "/metrics")[2]
            except OSError:
                continue
            for line in page.splitlines():
                if "weights_fetch_failures" in line and "reason=" in line:
                    reason = line.split('reason="')[1].split('"')[0]
                    totals[reason] = totals.get(reason, 0) + int(float(line.split()[-1]))
        return ",".join(f"{k}:{v}" for k, v in sorted(totals.items())) or "none"

    def wrong_answers(self, results):
        """Answers that are missing, incomplete, or from other bytes than those of one whole version."""
        whole = {}
        for v in ("v1", "v2"):
            whole[v] = json.loads(request(self.origin, "GET", f"/v1/models/m/{v}/manifest")[2])["sha256"]
        wrong = 0
        for item in results:
            if item is None or item[2].get("events") != 8:
                wrong += 1
            elif whole.get(item[2].get("weights_version"), "?")[:12] not in item[2].get("text", ""):
                wrong += 1
        return wrong


def bound(count):
    return COPY / HOST_RATE + CHUNK / ORIGIN_RATE + math.ceil(math.log2(count)) * CHUNK / HOST_RATE


def origin_bytes(run):
    return json.loads(request(run.origin, "GET", "/v1/stats")[2])["bytes_sent"]


def measure(count, seed, fault=""):
    with Run(count, seed, fault=fault) as run:
        run.start()
        run.declare("v1")
        if not run.wait_active("v1", run.hosts, 120):
            raise TimeoutError("v1")
        run.live_for(2)
        idle = run.live_for(4)
        before, cpu_before = origin_bytes(run), run.cpu_seconds()
        stop, threads, results = run.live_for()
        begun = time.time()
        run.declare("v2")
        counted = run.hosts
        if fault:
            time.sleep(bound(count) * 0.3)
            if fault == "killed":
                run.hosts[0]["process"].kill()
                counted = run.hosts[1:]
            else:
                run.proxy.fault = fault
        done = run.wait_active("v2", counted, bound(count) * 5 + 30)
        ended = time.time()
        cores = (run.cpu_seconds() - cpu_before) / (ended - begun)
        stop.set()
        for t in threads:
            t.join()
        times = [run.verified_at(h, "v2") for h in counted]
        copies = (origin_bytes(run) - before) / COPY
        seconds = max(t for t in times) - begun if done and all(times) else math.inf
        median = percentile([t - begun for t in times if t], 0.5)
        p99 = [percentile([r[0] for r in s if r], 0.99) for s in (idle, results)]
        prefix, limit = ("weights", 1.25) if not fault else ("weights_faults", 2.0)
        where = f"n={count} seed={seed}" + (f" fault={fault}" if fault else "")
        ratio, wrong = p99[1] / p99[0] if p99[0] else math.inf, run.wrong_answers(results)
        return [(f"{prefix}.time_over_bound", seconds / bound(count), limit, seconds / bound(count) <= limit,
                 f"{where} seconds={seconds:.2f} median={median:.2f} ideal={bound(count):.2f} active={ended - begun:.2f} "
                 f"host_cores={cores:.2f} load={os.getloadavg()[0]:.0f} failures={run.failures()}"),
                (f"{prefix}.origin_copies", copies, 1.1, copies <= 1.1, where),
                (f"{prefix}.mixed_or_partial_answers", wrong, 0, wrong == 0, f"{where} answers={len(results)}"),
                (f"{prefix}.live_p99_ratio", ratio, 1.5, ratio <= 1.5, f"{where} p99_idle={p99[0]:.3f} p99_transfer={p99[1]:.3f}")]


def baseline(count, seed, limit):
    with Run(count, seed, peers=False) as run:
        run.start()
        begun = time.time()
        run.declare("v2")
        done = run.wait_active("v2", run.hosts, limit)
        seconds = max(run.verified_at(h, "v2") for h in run.hosts) - begun if done else \
            (time.time() - begun) * COPY * count / max(1, origin_bytes(run))
        return [("weights.baseline_time_over_bound", seconds / bound(count), None, True,
                 f"n={count} seed={seed} seconds={seconds:.1f} projected={'no' if done else 'yes'}"),
                ("weights.baseline_origin_copies", origin_bytes(run) / COPY, None, True, f"n={count} seed={seed}")]


def main():
    options = argparse.ArgumentParser()
    options.add_argument("--hosts", default="16,48,96")
    options.add_argument("--faults", default="killed,stalled,corrupted")
    options.add_argument("--fault-hosts", type=int, default=16)
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--baseline-seconds", type=float, default=20)
    given = options.parse_args()
    worst = 0
    for count in [int(n) for n in given.hosts.split(",") if n]:
        worst |= report(measure(count, given.seed))
        if given.baseline_seconds > 0:
            worst |= report(baseline(count, given.seed, given.baseline_seconds))
    for fault in [f for f in given.faults.split(",") if f]:
        worst |= report(measure(given.fault_hosts, given.seed, fault))
    return worst


if __name__ == "__main__":
    sys.exit(main())
