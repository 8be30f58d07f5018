#!/usr/bin/env python3
"""Goodput, fairness and high-class latency at 1, 2 and 5 times the capacity of three plain endpoints.

Capacity: 3 endpoints x 2 executions at a time / 50 ms = 120 requests a second. One large account sends half of the
drafting load, four small ones an eighth each; status reads come at 10 a second. An answer counts when it is 200 within
1 s of its due time; it counts where it arrives, so that requests still queued at the window's edges do not read as
goodput. "equal" gives all accounts the same weight, "mixed" different ones (Jain's index over answers per weight; at
the capacity itself every account gets what it asks for, so that only 2x and 5x have a bound).
The baseline sends the same load round robin straight to the endpoints, which queue without limit.
After the highest load and 5 s without any, 12 status reads through each entry show how many stay in its failure domain.
Each load prints its figures as soon as it has them. Usage: overload.py [--seed N] [--seconds 6] [--only equal,mixed,baseline]
"""
import argparse
import json
import sys
import time

from lib_deployment import Deployment, REGIONS, percentile, report, request
import lib_load

SERVICE_MS, CONCURRENCY = 50, 2
CAPACITY = 3 * CONCURRENCY * 1000 / SERVICE_MS
DEADLINE = 1.0
CALLER_WAITS = 1.5  # then the caller closes its connection
ACCOUNTS = {"large": 0.5, "small-1": 0.125, "small-2": 0.125, "small-3": 0.125, "small-4": 0.125}
WEIGHTS = {"equal": dict.fromkeys(ACCOUNTS, 1),
           # Every share is below what its account sends from 2x on.
           "mixed": {"large": 4, "small-1": 1, "small-2": 2, "small-3": 1, "small-4": 2}}
STATUS_RATE = 10
READS_AFTER, PAUSE_SECONDS = 12, 5
PLAIN_ARGUMENTS = ("--service-ms", SERVICE_MS, "--concurrency", CONCURRENCY)


def accounts(weights):
    return [{"kind": "Account", "name": n, "spec": {"key": n + "-key", "weight": weights.get(n, 1)}} for n in [*ACCOUNTS, "office"]]


def resources():
    made = [{"kind": "Service", "name": "records", "spec": {
        "type": "plain", "cold_limit": CONCURRENCY, "max_limit": 4, "queue_limit": 16, "routes": [
            {"method": "POST", "path_prefix": "/draft", "class": "drafting", "idempotent": True},
            {"method": "GET", "path_prefix": "/status", "class": "status", "idempotent": True}]}}]
    made += [{"kind": "FailureDomain", "name": n, "spec": {"region": r, "state": "in"}} for n, r in REGIONS.items()]
    return made + accounts(WEIGHTS["equal"])


def streams(load, targets, prefix):
    drafting = load * CAPACITY - STATUS_RATE

    def stream(name, rate, method, path, account):
        headers = {"Authorization": f"Bearer {account}-key", "Content-Type": "application/json", "X-Request-Timeout-Ms": "1000"}
        return lib_load.Stream(name, rate, targets, method, prefix + path, "{}" if method == "POST" else None, headers, CALLER_WAITS)

    made = [stream(name, drafting * share, "POST", "/draft", name) for name, share in ACCOUNTS.items()]
    return [*made, stream("status", STATUS_RATE, "GET", "/status", "office")]


def summary(samples, seconds, warm, weights):
    """Of the answers that arrive between warm and seconds after the load's begin."""
    begin = min(s.sent - s.late for s in samples)
    kept = [s for s in samples if warm <= s.sent - s.late - begin + s.seconds < seconds]
    good = [s for s in kept if s.status == 200 and s.seconds <= DEADLINE]
    served = [sum(1 for s in good if s.stream == name) for name in ACCOUNTS]
    shares = [n / weights[name] for n, name in zip(served, ACCOUNTS)]
    squares = sum(n * n for n in shares)
    status = [s for s in kept if s.stream == "status"]
    return {"goodput": len(good) / (seconds - warm), "jain": sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0,
            "p99": percentile([s.seconds for s in status], 0.99), "failed": sum(s.status != 200 for s in status),
            "served": ",".join(map(str, served)), "late": percentile([s.late for s in samples], 0.99)}


def show(kind, load, row, reference, seed):
    """Prints the figures of one load; gives whether a bound is broken."""
    name = "overload." + ("" if kind == "equal" else kind + ".")
    extra = f"load={load} capacity={CAPACITY:.0f}/s seed={seed}"
    bounded = kind != "baseline" and load > 1
    ratio, p99_ratio = row["goodput"] / max(reference["goodput"], 1e-9), row["p99"] / max(reference["p99"], 1e-9)
    return report([
        (name + "goodput_per_second", row["goodput"], None, True, extra),
        (name + "goodput_ratio", ratio, 0.95 if bounded else None, ratio >= 0.95, extra),
        (name + "jain", row["jain"], 0.95 if bounded else None, row["jain"] >= 0.95, f"{extra} served={row['served']}"),
        (name + "high_class_p99_seconds", row["p99"], None, True, extra),
        (name + "high_class_p99_ratio", p99_ratio, 1.5 if bounded else None, p99_ratio <= 1.5, extra),
        (name + "high_class_failed", row["failed"], None, True, extra),
        (name + "load_late_p99_seconds", row["late"], None, True, extra)])


def near_share(d):
    """Share of status reads, sent one after the other, that the endpoint in the entry's own failure domain ran."""
    def counts():
        return [len(json.loads(request(p.address, "GET", "/v1/records")[2])["records"]) for p in d.engines.values()]

    near = 0
    for i, name in enumerate(d.entries):
        before = counts()
        for _ in range(READS_AFTER):
            d.call("GET", "/v1/services/records/status", account="office-key", entry=name)
        near += counts()[i] - before[i]
    return near / (READS_AFTER * len(d.entries))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--only", default="equal,mixed,baseline")
    given = parser.parse_args()
    warm = given.seconds / 3
    worst, reference = 0, None
    with Deployment(given.seed) as d:
        d.platform()
        for i, domain in enumerate(REGIONS):
            d.add_entry(f"entry-{i + 1}", domain)
            d.add_plain("records", domain, PLAIN_ARGUMENTS)
        d.start()
        d.apply(resources())
        d.wait_ready()
        entries = [d.address(name) for name in d.entries]
        endpoints = [p.address for p in d.engines.values()]
        lib_load.run(streams(0.8, entries, "/v1/services/records"), given.seconds / 2, given.seed)
        for kind in given.only.split(","):
            if kind in WEIGHTS:
                d.apply(accounts(WEIGHTS[kind]))
            targets, prefix = (endpoints, "") if kind == "baseline" else (entries, "/v1/services/records")
            for load in (1, 2, 5):
                samples = lib_load.run(streams(load, targets, prefix), given.seconds, given.seed + load)
                row = summary(samples, given.seconds, warm, WEIGHTS.get(kind, WEIGHTS["equal"]))
                reference = reference or row  # the first kind at its capacity
                worst = max(worst, show(kind, load, row, reference, given.seed))
            if kind != "baseline":
                time.sleep(PAUSE_SECONDS)
                report([(f"overload.{'' if kind == 'equal' else kind + '.'}near_share_after", near_share(d), None, True,
                         f"seed={given.seed}")])
    sys.exit(worst)


main()
