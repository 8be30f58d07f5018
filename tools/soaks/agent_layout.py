"""Soak of entries and agents before stand-in engines and services: see tools/soak.

Faults: kill and restart of agents and entries, SIGSTOP and SIGCONT of agents, entries and the key-value service,
failure domains out and in, racing applies. The checker never reads the system's own counters:
  doubled          a booking that a service recorded more than once
  lost             a booking answered 200 that no service recorded
  false_not_run    a booking whose every attempt said "not run" but that a service recorded
  mixed            a streamed answer whose tokens name more than one weights version
  reverted         a process that reported a lower configuration revision than before
  over_limit       an engine or service that got more calls in 4 s than the limit allows that it named
"""
import json
import random
import re
import signal
import threading
import time

from lib_deployment import Deployment, REGIONS, request
from named_limits import NamedLimits

CALLERS = 6
PAUSE_SECONDS = 2.5  # longer than a heartbeat, shorter than the suspicion timeout


def resources(version):
    return [
        {"kind": "Service", "name": "drafting", "spec": {"type": "engine", "cold_limit": 4, "max_limit": 16, "queue_limit": 32}},
        {"kind": "Service", "name": "booking", "spec": {"type": "plain", "cold_limit": 8, "max_limit": 16, "queue_limit": 32, "routes": [
            {"method": "POST", "path_prefix": "/", "class": "booking", "idempotent": False},
            {"method": "GET", "path_prefix": "/", "class": "status", "idempotent": True}]}},
        {"kind": "Account", "name": "office", "spec": {"key": "demo-key", "weight": 1}},
        *({"kind": "FailureDomain", "name": n, "spec": {"region": r, "state": "in"}} for n, r in REGIONS.items()),
        serving(version),
    ]


def serving(version):
    return {"kind": "ModelServing", "name": "drafting", "spec": {"model": "notes", "adapter": "", "version": version,
            "failure_domains": list(REGIONS), "batch": 1, "service": "drafting"}}


class Callers:
    """Books, reads and drafts until told to stop; keeps what each caller was answered."""

    def __init__(self, deployment, seed):
        self.d, self.stop, self.lock = deployment, threading.Event(), threading.Lock()
        self.attempts, self.mixed, self.counts = {}, 0, {}
        self.threads = [threading.Thread(target=self.run, args=(random.Random(f"{seed}-caller-{i}"), i)) for i in range(CALLERS)]

    def note(self, kind, outcome):
        with self.lock:
            self.counts[(kind, outcome)] = self.counts.get((kind, outcome), 0) + 1

    def run(self, rng, index):
        number = 0
        while not self.stop.is_set():
            number += 1
            pick = rng.random()
            if pick < 0.5:
                self.book(rng, f"b-{index}-{number}", keyed=rng.random() < 0.7)
            elif pick < 0.75:
                self.simple("GET", "/v1/services/booking/crew-status", None, "status", rng)
            else:
                self.draft(rng)
            time.sleep(0.02)

    def book(self, rng, booking, keyed):
        headers = {"Idempotency-Key": booking} if keyed else {}
        outcomes = []
        for _ in range(4 if keyed else 1):
            entry = rng.choice(list(self.d.entries))
            outcomes.append(self.one("POST", "/v1/services/booking/bookings", {"booking": booking}, entry, headers))
            if outcomes[-1] in ("ok", "not_run_final"):
                break
            if self.stop.is_set():
                break
            time.sleep(rng.random() * 0.5)
        with self.lock:
            self.attempts[booking] = outcomes
        self.note("booking", outcomes[-1])

    def one(self, method, path, body, entry, headers):
        try:
            status, answer, text = self.d.call(method, path, body, headers=headers, entry=entry, timeout=8)
        except OSError as problem:
            return "not_sent" if isinstance(problem, ConnectionRefusedError) else "unknown"
        if status == 200:
            return "ok"
        return {"no": "not_run", "yes": "ran"}.get(answer.get("x-ran", "unknown"), "unknown")

    def simple(self, method, path, body, kind, rng):
        self.note(kind, self.one(method, path, body, rng.choice(list(self.d.entries)), {}))

    def draft(self, rng):
        entry = rng.choice(list(self.d.entries))
        try:
            status, _, text = self.d.call("POST", "/v1/completions", {"model": "notes", "prompt": "pass notes", "max_tokens": 12,
                                          "stream": True}, entry=entry, timeout=8)
        except OSError:
            return self.note("draft", "cut")
        versions = set(re.findall(r"\bv[12]\b", text)) if status == 200 else set()
        if len(versions) > 1:
            with self.lock:
                self.mixed += 1
        whole = status == 200 and "event: done" in text
        return self.note("draft", "ok" if whole else "error")


class RevisionWatch(threading.Thread):
    """Asks every process for the configuration revision that it has in force."""

    def __init__(self, deployment):
        super().__init__()
        self.d, self.stop, self.highest, self.reverted = deployment, threading.Event(), {}, 0

    def run(self):
        while not self.stop.is_set():
            for process in [*self.d.entries.values(), *self.d.agents.values()]:
                try:
                    text = request(process.address, "GET", "/metrics", timeout=0.5)[2]
                except OSError:
                    continue
                found = re.search(r"^hibiscuswall_config_revision ([0-9.e+]+)", text, re.M)
                if not found:
                    continue
                revision = float(found.group(1))
                if 0 < revision < self.highest.get(process.name, 0):
                    self.reverted += 1
                    print(f"# reverted: {process.name} {self.highest[process.name]} -> {revision}")
                self.highest[process.name] = max(revision, self.highest.get(process.name, 0))
            time.sleep(0.1)


def inject(d, rng, seconds, windows):
    """Random faults, one or two at a time; every fault is taken back before the end."""
    deadline = time.monotonic() + seconds
    version = 1
    while time.monotonic() < deadline:
        for fault in rng.sample(["kill", "pause", "store_pause", "domain", "race", "rollout"], rng.choice((1, 1, 2))):
            victims = [*d.agents.values(), *d.entries.values()]
            print(f"# fault {fault}", flush=True)
            begun = time.monotonic()
            if fault == "kill":
                victim = rng.choice(victims)
                victim.kill()
                time.sleep(rng.random())
                victim.start()
                windows.append((victim.name, begun, time.monotonic() + 0.5))
            elif fault == "pause":
                victim = rng.choice(victims)
                victim.signal(signal.SIGSTOP)
                time.sleep(PAUSE_SECONDS)
                victim.signal(signal.SIGCONT)
                windows.append((victim.name, begun, time.monotonic() + 0.5))
            elif fault == "store_pause":
                d.standins[0].signal(signal.SIGSTOP)
                time.sleep(PAUSE_SECONDS)
                d.standins[0].signal(signal.SIGCONT)
            elif fault == "domain":
                name = rng.choice(list(REGIONS))
                for state in ("out", "in"):
                    attempt(d, [{"kind": "FailureDomain", "name": name, "spec": {"region": REGIONS[name], "state": state}}])
                    time.sleep(rng.random())
            elif fault == "race":
                racers = [threading.Thread(target=attempt, args=(d, [{"kind": "Account", "name": f"racer-{i}", "spec": {"key": f"k{i}", "weight": i + 1}}], e))
                          for i, e in enumerate(d.entries.values())]
                for racer in racers:
                    racer.start()
                for racer in racers:
                    racer.join()
            else:
                version = 3 - version
                attempt(d, [serving(f"v{version}")])
        time.sleep(rng.random())


def attempt(d, wanted, entry=None):
    try:
        d.apply(wanted, entry, timeout=4)
    except OSError as problem:
        print(f"# apply refused: {str(problem)[:100]}")


def over_limit(d, limits, windows):
    """An agent that was killed or paused is excused: it holds the limit of its endpoint."""
    offset = time.time() - time.monotonic()

    def arrivals(name):
        records = json.loads(request(d.engines[name].address, "GET", "/v1/records")[2])
        calls = records["requests"] if "requests" in records else records["records"]
        return sorted((call["arrived_ms"] / 1000 - offset, name) for call in calls)

    def disturbed(sender, name, begun, ended):
        return any(w == name and b <= ended and begun <= e for w, b, e in windows)
    return limits.violations(arrivals, disturbed)


def check(d, callers, watch, limits, windows):
    counts = {}
    for name, process in d.engines.items():
        if not name.startswith("booking"):
            continue
        for record in json.loads(request(process.address, "GET", "/v1/records")[2])["records"]:
            if record["method"] != "POST":
                continue
            booking = json.loads(record["body"])["booking"]
            counts[booking] = counts.get(booking, 0) + 1
    doubled = [b for b, n in counts.items() if n > 1]
    lost = [b for b, outcomes in callers.attempts.items() if "ok" in outcomes and b not in counts]
    false_not_run = [b for b, outcomes in callers.attempts.items()
                     if b in counts and all(o in ("not_run", "not_sent") for o in outcomes)]
    told = {"doubled": doubled, "lost": lost, "false_not_run": false_not_run}
    found = {name: [f"{b} {callers.attempts.get(b)}" for b in bookings] for name, bookings in told.items()}
    return {**found, "mixed": ["a stream"] * callers.mixed, "reverted": ["a process"] * watch.reverted,
            "over_limit": over_limit(d, limits, windows)}


def run(seed, seconds):
    """Runs the soak; gives the counts of calls and the violations by name."""
    models = ["--model", "notes/v1:262144:1", "--model", "notes/v2:262144:2"]
    with Deployment(seed) as d:
        d.platform(weights=["--chunk-bytes", "32768", *models])
        domains = list(REGIONS)
        for i in range(2):
            d.add_entry(f"entry-{i + 1}", domains[i])
        for domain in domains:
            d.add_engine("drafting", domain, fencing="enforced" if domain != "pri-a" else "ignored",
                         arguments=["--cold-limit", "4", "--fencing", "enforced" if domain != "pri-a" else "ignored"])
            d.add_plain("booking", domain)
        d.start()
        d.apply(resources("v1"))
        d.wait_ready(seconds=40)
        callers, watch = Callers(d, seed), RevisionWatch(d)
        watch.start()
        for thread in callers.threads:
            thread.start()
        def set_limit(name, rate):
            request(d.engines[name].address, "POST", "/v1/fault", {"rate_limit": rate})
        limits, windows = NamedLimits(d.engines, set_limit, seed), []
        limits.start()
        inject(d, random.Random(seed), seconds, windows)
        limits.finish()
        time.sleep(2)
        callers.stop.set()
        for thread in callers.threads:
            thread.join()
        watch.stop.set()
        watch.join()
        return callers.counts, check(d, callers, watch, limits, windows)
