"""Runs for the weights measure: hosts that run the weights service alone (HostRun) or whole agents (AgentRun).

    with HostRun(count=16, seed=1, fault="stalled") as run:
        run.start()
        run.declare("v2")
        run.begin_fault()
        run.wait_active("v2", run.counted(), limit=60)

Both give: hosts, declare(), wait_active(), verified_at(), begin_fault(), counted(), live_for(), cpu_seconds(), failures(),
wrong_answers(), origin_bytes(). Every process is ended by its own id when the block ends.
"""
import concurrent.futures
import json
import os
import pathlib
import random
import subprocess
import tempfile
import threading
import time

from lib_deployment import BIN, Deployment, REGIONS, free_port, request

COPY, CHUNK, WINDOW = 8 << 20, 32 << 10, 20.0
HOST_RATE, ORIGIN_RATE = int(2 * COPY / WINDOW), int(4 * COPY / WINDOW)


class WeightsRun:
    """What both kinds of run share. hosts: [{"name", "listen", "pid"}]."""
    regions = 1
    events = 8  # tokens of one live answer

    def __init__(self, count, seed, fault=""):
        self.count, self.seed, self.fault = count, seed, fault
        self.hosts, self.refusals = [], 0
        self.random = random.Random(seed)

    def models(self):
        return ["--chunk-bytes", CHUNK, "--rate", ORIGIN_RATE, "--model", f"m/v1:{1 << 20}:{self.seed + 1000}",
                "--model", f"m/v2:{COPY}:{self.seed}"]

    def weights_settings(self):
        return {"upload_rate": HOST_RATE, "download_rate": HOST_RATE, **json.loads(os.environ.get("HW_WEIGHTS", "{}"))}

    def batch(self):
        return max(1, self.count // 8)

    def wait(self, check, limit, what):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                if check():
                    return True
            except (OSError, ValueError):
                pass
            time.sleep(0.05)
        if what:
            raise TimeoutError(what)
        return False

    def counted(self):
        """Hosts that should become replicas."""
        return self.hosts[1:] if self.fault in self.lost_faults else self.hosts

    def status(self, h):
        body = {"jsonrpc": "2.0", "id": 1, "method": "weights.status", "params": {}}
        return json.loads(request(h["listen"], "POST", "/rpc", body, timeout=5)[2])["result"]

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

    def origin_bytes(self):
        return json.loads(request(self.origin, "GET", "/v1/stats")[2])["bytes_sent"]

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
                fields = pathlib.Path(f"/proc/{h['pid']}/stat").read_text().rsplit(")", 1)[1].split()
                total += int(fields[11]) + int(fields[12])
            except OSError:
                pass
        return total / os.sysconf("SC_CLK_TCK")

    def failures(self):
        """Fetches that brought nothing, by reason, over all counted hosts."""
        totals = {}
        for h in self.counted():
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
            if item is None or item[2].get("events") != self.events:
                wrong += 1
            elif whole.get(item[2].get("weights_version"), "?")[:12] not in item[2].get("text", ""):
                wrong += 1
        return wrong


class HostRun(WeightsRun):
    """weights-host beside stand-in engines, one region, no entry."""
    lost_faults = ("killed",)
    token_ms = 5

    def __init__(self, count, seed, peers=True, fault=""):
        super().__init__(count, seed, fault)
        self.peers, self.processes, self.proxy = peers, [], None
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="hw-weights-"))

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
        self.spawn("origin", "standin-weights", "--listen", self.origin, *self.models())
        for i in range(self.count):
            self.hosts.append({"name": f"host-{i:03}", "listen": f"127.0.0.1:{free_port()}",
                               "engine": f"127.0.0.1:{free_port()}"})
        members = [{"name": h["name"], "role": "agent", "address": h["listen"], "region": "gorenjska",
                    "failure_domain": "gor-a", "service": "drafting", "incarnation": 1} for h in self.hosts]
        if self.fault in ("stalled", "corrupted", "live-link"):
            # The others reach the first host through a relay with faults or with a link's rate.
            self.proxy, members[0]["address"] = (f"127.0.0.1:{free_port()}" for _ in range(2))
            self.relay = members[0]["address"]
            self.spawn("proxy", "fault-proxy", "--control", self.proxy, "--listen", members[0]["address"],
                       "--target", self.hosts[0]["listen"])
        for i, h in enumerate(self.hosts):
            self.spawn("engine-" + h["name"], "standin-engine", "--listen", h["engine"], "--warm-requests", 2,
                       "--token-ms", self.token_ms, "--seed", i, "--max-running", 32)
            settings = {"name": h["name"], "region": "gorenjska", "failure_domain": "gor-a", "listen": h["listen"],
                        "engine": h["engine"], "seed": self.seed * 1000 + i, "members": members, **self.extra_settings(),
                        "platform": {"key_value": [self.kv], "host_list": self.kv, "origin": self.origin},
                        "weights": {"peers": self.peers, "draws": 1 if self.peers else 4, **self.weights_settings()}}
            path = self.folder / (h["name"] + ".json")
            path.write_text(json.dumps(settings))
            h["process"] = self.spawn(h["name"], "weights-host", path)
            h["pid"] = h["process"].pid
        for address in [self.kv, self.origin, *[h["listen"] for h in self.hosts], *[h["engine"] for h in self.hosts]]:
            self.wait(lambda a=address: request(a, "GET", "/v1/stats", timeout=1)[0] > 0, 30, address)

    def extra_settings(self):
        return {}

    def target(self):
        """Whom a live request goes to."""
        return self.random.choice(self.hosts)["listen"]

    def begin_fault(self):
        if self.fault == "killed":
            self.hosts[0]["process"].kill()
        elif self.fault == "stalled":
            request(self.proxy, "POST", "/v1/faults", {"stall": True})
        elif self.fault == "corrupted":
            request(self.proxy, "POST", "/v1/faults", {"corrupt": 0.3})

    def declare(self, version):
        body = {"model": "m", "version": version, "failure_domains": ["gor-a"], "batch": self.batch()}
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            list(pool.map(lambda h: request(h["listen"], "POST", "/declare", body), self.hosts))

    def call(self, number):
        """One live request; a refusal that says "not run" goes to another host, as an entry would do."""
        begun = time.monotonic()
        while time.monotonic() - begun < 10:
            headers = {"Hw-Call-Id": f"call-{number}-{time.monotonic_ns()}", "Hw-Account": "a", "Hw-Class": "drafting",
                       "Hw-Deadline-Ms": "10000", "Hw-Config-Revision": "1", "Hw-Method": "POST",
                       "Hw-Target": "/v1/completions", "Hw-Idempotent": "1", "Content-Type": "application/json"}
            try:
                status, answer, body = request(self.target(), "POST", "/forward",
                                               {"model": "m", "prompt": f"p{number}", "max_tokens": self.events, "stream": False}, headers)
            except OSError:
                continue
            if status == 200:
                return time.monotonic() - begun, answer, json.loads(body)
            self.refusals += 1
        return None


class LinkRun(HostRun):
    """HostRun whose first host has a link of HOST_RATE; live requests with large answers go to it alone.

    charged: whether the host's transfers yield to live requests; False is the baseline.
    """
    token_ms, events = 0, 1000  # about 35 KB an answer

    def __init__(self, count, seed, charged):
        super().__init__(count, seed, fault="live-link")
        self.charged = charged

    def extra_settings(self):
        return {"charge_live": self.charged}

    def start(self):
        super().start()
        request(self.proxy, "POST", "/v1/faults", {"rate": HOST_RATE})

    def target(self):
        return self.relay


class AgentRun(WeightsRun):
    """hibiscus-agent beside stand-in engines in three regions, live requests through an entry in each."""
    regions = len(REGIONS)
    lost_faults = ("killed", "stalled")  # a stalled agent is paused until the end of the run

    def __init__(self, count, seed, fault=""):
        super().__init__(count, seed, fault)
        self.system = Deployment(seed)

    def __enter__(self):
        self.system.__enter__()
        return self

    def __exit__(self, *problem):
        self.system.__exit__(*problem)

    def start(self):
        d, domains = self.system, list(REGIONS)
        d.platform(weights=self.models())
        self.origin = d.address("origin")
        # One source: its link is the bound that the figures are compared with.
        platform = {k: v for k, v in d.platform_settings().items() if k != "weight_store"}
        for domain in domains:
            d.add_entry("entry-" + domain, domain, extra={"log_level": "warning"})
        for i in range(self.count):
            agent = d.add_engine("drafting", domains[i % len(domains)],
                                 arguments=["--warm-requests", 2, "--token-ms", 5, "--seed", i, "--max-running", 32],
                                 extra={"platform": platform, "weights": self.weights_settings(), "log_level": "warning"})
            self.hosts.append({"name": agent.name, "listen": agent.address, "process": agent})
        d.start(60)
        for h in self.hosts:
            h["pid"] = h["process"].handle.pid

    def declare(self, version):
        serving = {"kind": "ModelServing", "name": "m", "spec": {
            "model": "m", "adapter": "", "version": version, "service": "drafting", "failure_domains": list(REGIONS),
            "batch": max(1, self.batch() // len(REGIONS))}}
        rest = [{"kind": "Service", "name": "drafting", "spec": {"type": "engine", "cold_limit": 2, "max_limit": 8, "queue_limit": 32}},
                {"kind": "Account", "name": "office", "spec": {"key": "office-key", "weight": 1}}]
        rest += [{"kind": "FailureDomain", "name": n, "spec": {"region": r, "state": "in"}} for n, r in REGIONS.items()]
        self.system.apply([serving] + (rest if version == "v1" else []))

    def begin_fault(self):
        if self.fault == "killed":
            self.hosts[0]["process"].kill()
        elif self.fault == "stalled":
            os.kill(self.hosts[0]["pid"], 19)  # SIGSTOP
        elif self.fault == "corrupted":
            request(self.origin, "POST", "/v1/fault", {"corrupt_blobs": 8})

    def call(self, number):
        """One live request at one of the entries, repeated after a refusal that says "not run"."""
        begun, entries = time.monotonic(), list(self.system.entries)
        while time.monotonic() - begun < 10:
            try:
                status, answer, body = self.system.call(
                    "POST", "/v1/completions", {"model": "m", "prompt": f"p{number}", "max_tokens": self.events, "stream": False},
                    account="office-key", entry=self.random.choice(entries))
            except OSError:
                return None
            if status == 200:
                return time.monotonic() - begun, answer, json.loads(body)
            if answer.get("x-ran") != "no":
                return None
            self.refusals += 1
        return None
