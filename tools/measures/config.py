#!/usr/bin/env python3
"""Distribution of the configuration at several fleet sizes: seconds from accepted to in force on every process,
reverts, and calls a second at the key-value service.

In force is the revision that a process itself reports (rpc config.fetch); all processes are asked in parallel.
Between the changes the store goes down for a while, loses answers of writes, and one process is restarted.
Usage: config.py [--seed N] [--sizes 8,24,64] [--changes 12]
"""
import argparse
import concurrent.futures
import json
import random
import sys
import time

from lib_deployment import Deployment, REGIONS, percentile, report, request, wait_until

IN_FORCE_BOUND = 4.0  # seconds, goal 1
GROWTH_BOUND = 1.5    # store calls a second at the largest size compared with the smallest


def revision_of(process):
    body = {"jsonrpc": "2.0", "id": 1, "method": "config.fetch", "params": {"have_revision": 1 << 60}}
    try:
        answer = json.loads(request(process.address, "POST", "/rpc", body, {"Content-Type": "application/json"}, 1.0)[2])
        return answer.get("result", {}).get("revision", 0)
    except (OSError, ValueError):
        return None


class Watcher:
    """Highest revision that each process reported, and how often one reported less than before."""

    def __init__(self, processes, pool):
        self.processes, self.pool = processes, pool
        self.highest, self.reverts = {}, 0

    def look(self):
        seen = dict(zip([p.name for p in self.processes], self.pool.map(revision_of, self.processes)))
        for name, revision in seen.items():
            if revision is None:
                continue
            if revision < self.highest.get(name, 0):
                self.reverts += 1
            self.highest[name] = max(revision, self.highest.get(name, 0))
        return seen

    def in_force(self, revision, limit=20.0):
        began = time.monotonic()
        while time.monotonic() - began < limit:
            if all(r is not None and r >= revision for r in self.look().values()):
                return time.monotonic() - began
            time.sleep(0.02)
        return float("inf")


def store_calls(d):
    calls = json.loads(request(d.address("key-value"), "GET", "/v1/stats")[2])["calls"]
    return sum(n for kind, n in calls.items() if kind in ("get", "put", "delete", "list", "watch"))


def fault(d, **fields):
    request(d.address("key-value"), "POST", "/v1/fault", fields)


def change(d, number, entry):
    return d.apply([{"kind": "Account", "name": "office", "spec": {"key": f"key-{number}", "weight": 1}}], entry)["revision"]


def measure(size, changes, seed):
    random.seed(seed)
    domains = list(REGIONS)
    entries = max(2, size // 8)
    with Deployment(seed) as d, concurrent.futures.ThreadPoolExecutor(16) as pool:
        d.platform()
        for i in range(entries):
            d.add_entry(f"entry-{i + 1}", domains[i % 3])
        for i in range(size - entries):
            d.add_plain("booking", domains[i % 3])
        d.start(60)
        processes = [*d.entries.values(), *d.agents.values()]
        d.apply([{"kind": "FailureDomain", "name": n, "spec": {"region": r, "state": "in"}} for n, r in REGIONS.items()])
        watcher = Watcher(processes, pool)
        watcher.in_force(1, 30)
        before, began = store_calls(d), time.monotonic()
        time.sleep(6)
        idle_calls = (store_calls(d) - before) / (time.monotonic() - began)
        times = []
        for number in range(changes):
            entry = random.choice(list(d.entries.values()))
            step = number % 4
            if step == 1:
                fault(d, lose_answers=1)
            if step == 2:  # an outage between two writes must not take anything back
                fault(d, unavailable=True)
                time.sleep(1)
                watcher.look()
                fault(d)
            if step == 3:  # a restarted process must come back with the newest
                restarted = random.choice([p for p in processes if p is not entry])
                restarted.kill()
                restarted.start()
                wait_until(lambda p=restarted: revision_of(p), 10, restarted.name)
            revision = change(d, number, entry)
            if step == 2:
                fault(d, unavailable=True)  # after the write: peers must carry it on
            times.append(watcher.in_force(revision))
            fault(d)
        return times, watcher.reverts, idle_calls


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", default="8,24,64")
    parser.add_argument("--changes", type=int, default=12)
    options = parser.parse_args()
    sizes = [int(s) for s in options.sizes.split(",")]
    figures, calls = [], []
    for size in sizes:
        times, reverts, idle = measure(size, options.changes, options.seed)
        extra = f"processes={size} changes={len(times)} seed={options.seed}"
        p50, worst = percentile(times, 0.5), max(times)
        figures += [("config.seconds_to_in_force_p50", p50, IN_FORCE_BOUND, p50 <= IN_FORCE_BOUND, extra),
                    ("config.seconds_to_in_force_max", worst, IN_FORCE_BOUND, worst <= IN_FORCE_BOUND, extra),
                    ("config.reverts", reverts, 0, reverts == 0, extra),
                    ("config.store_calls_per_second", idle, None, True, extra)]
        calls.append(idle)
    growth = calls[-1] / max(calls[0], 0.1)
    figures.append(("config.store_calls_growth", growth, GROWTH_BOUND, growth <= GROWTH_BOUND,
                    f"processes={sizes[0]}..{sizes[-1]} seed={options.seed}"))
    sys.exit(report(figures))


main()
