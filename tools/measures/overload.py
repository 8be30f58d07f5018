#!/usr/bin/env python3
"""Goodput, fairness and high-class latency at 1, 2 and 5 times the capacity of three plain endpoints.

Capacity: 3 endpoints x 2 executions at a time / 50 ms = 120 requests a second. One large account sends half of the
drafting load, four small ones an eighth each; status reads come at 10 a second. An answer counts when it is 200 within
1 s. The baseline sends the same load round robin straight to the endpoints, which queue without limit.
Usage: overload.py [--seed N] [--seconds 6]
"""
import argparse
import sys

from lib_deployment import Deployment, REGIONS, percentile, report
import lib_load

SERVICE_MS, CONCURRENCY = 50, 2
CAPACITY = 3 * CONCURRENCY * 1000 / SERVICE_MS
DEADLINE = 1.0
ACCOUNTS = {"large": 0.5, "small-1": 0.125, "small-2": 0.125, "small-3": 0.125, "small-4": 0.125}
STATUS_RATE = 10
PLAIN_ARGUMENTS = ("--service-ms", SERVICE_MS, "--concurrency", CONCURRENCY)


def resources():
    made = [{"kind": "Service", "name": "records", "spec": {
        "type": "plain", "cold_limit": CONCURRENCY, "max_limit": 4, "queue_limit": 16, "routes": [
            {"method": "POST", "path_prefix": "/draft", "class": "drafting", "idempotent": True},
            {"method": "GET", "path_prefix": "/status", "class": "status", "idempotent": True}]}}]
    made += [{"kind": "FailureDomain", "name": n, "spec": {"region": r, "state": "in"}} for n, r in REGIONS.items()]
    made += [{"kind": "Account", "name": n, "spec": {"key": n + "-key", "weight": 1}} for n in [*ACCOUNTS, "office"]]
    return made


def streams(load, targets, prefix):
    drafting = load * CAPACITY - STATUS_RATE

    def stream(name, rate, method, path, account):
        headers = {"Authorization": f"Bearer {account}-key", "Content-Type": "application/json", "X-Request-Timeout-Ms": "1000"}
        return lib_load.Stream(name, rate, targets, method, prefix + path, "{}" if method == "POST" else None, headers, 3.0)

    made = [stream(name, drafting * share, "POST", "/draft", name) for name, share in ACCOUNTS.items()]
    return [*made, stream("status", STATUS_RATE, "GET", "/status", "office")]


def summary(samples, seconds, warm):
    first = min(s.sent for s in samples)
    kept = [s for s in samples if s.sent >= first + warm]
    good = [s for s in kept if s.status == 200 and s.seconds <= DEADLINE]
    served = [sum(1 for s in good if s.stream == name) for name in ACCOUNTS]
    squares = sum(n * n for n in served)
    jain = sum(served) ** 2 / (len(served) * squares) if squares else 0.0
    status = [s.seconds for s in kept if s.stream == "status"]
    failed_status = sum(1 for s in kept if s.stream == "status" and s.status != 200)
    return len(good) / (seconds - warm), jain, percentile(status, 0.99), failed_status, served


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6)
    given = parser.parse_args()
    warm = given.seconds / 3
    rows = {}
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
        for kind, targets, prefix in (("", entries, "/v1/services/records"), ("baseline.", endpoints, "")):
            for load in (1, 2, 5):
                samples = lib_load.run(streams(load, targets, prefix), given.seconds, given.seed + load)
                rows[kind, load] = summary(samples, given.seconds, warm)
                print(f"# {kind}load={load} served={rows[kind, load][4]}", flush=True)
    figures = []
    for (kind, load), (goodput, jain, p99, failed_status, _) in rows.items():
        extra = f"load={load} capacity={CAPACITY:.0f}/s seed={given.seed}"
        reference, _, reference_p99, _, _ = rows["", 1]
        bounded = not kind and load > 1
        ratio, p99_ratio = goodput / max(reference, 1e-9), p99 / max(reference_p99, 1e-9)
        figures.append((f"overload.{kind}goodput_per_second", goodput, None, True, extra))
        figures.append((f"overload.{kind}goodput_ratio", ratio, 0.95 if bounded else None, ratio >= 0.95, extra))
        figures.append((f"overload.{kind}jain", jain, 0.95 if bounded else None, jain >= 0.95, extra))
        figures.append((f"overload.{kind}high_class_p99_seconds", p99, None, True, extra))
        figures.append((f"overload.{kind}high_class_p99_ratio", p99_ratio, 1.5 if bounded else None, p99_ratio <= 1.5, extra))
        figures.append((f"overload.{kind}high_class_failed", failed_status, None, True, extra))
    sys.exit(report(figures))


main()
