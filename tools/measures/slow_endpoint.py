#!/usr/bin/env python3
"""Status reads while one of three plain endpoints stalls now and then (its stand-in is stopped for a part of each second).

Each value of calls.status_timeout_ms has its own run: the attempt is given up after this time and made again elsewhere,
within the retry budget. The default of 1000 ms is the baseline. Extra load: executions over answered reads.
Usage: slow_endpoint.py [--seed N] [--seconds 8] [--timeouts 1000,200,100,50] [--stall-ms 400]
"""
import argparse
import json
import signal
import sys
import threading

from lib_deployment import Deployment, percentile, report, request
import lib_load

RATE = 100
RESOURCES = [
    {"kind": "Account", "name": "office", "spec": {"key": "office-key", "weight": 1}},
    {"kind": "Service", "name": "records", "spec": {
        "type": "plain", "cold_limit": 8, "max_limit": 32, "queue_limit": 64,
        "routes": [{"method": "GET", "path_prefix": "/", "class": "status", "idempotent": True}]}},
]


def stall(process, stall_seconds, stop):
    while not stop.wait(1.0 - stall_seconds):
        process.signal(signal.SIGSTOP)
        stop.wait(stall_seconds)
        process.signal(signal.SIGCONT)


def executions(d):
    return sum(len(json.loads(request(p.address, "GET", "/v1/records")[2])["records"]) for p in d.engines.values())


def measure(timeout_ms, given):
    with Deployment(given.seed) as d:
        d.platform()
        for _ in range(3):
            d.add_plain("records", "gor-a", ("--service-ms", 5))
        d.add_entry("entry-1", "gor-a", {"calls": {"status_timeout_ms": timeout_ms}})
        d.start()
        d.apply(RESOURCES)
        d.wait_ready()
        headers = {"Authorization": "Bearer office-key"}
        stream = lib_load.Stream("status", RATE, [d.address("entry-1")], "GET", "/v1/services/records/status", None, headers, 5.0)
        lib_load.run([stream], 2, given.seed)
        before, stop = executions(d), threading.Event()
        breaker = threading.Thread(target=stall, args=(list(d.engines.values())[0], given.stall_ms / 1000, stop))
        breaker.start()
        samples = lib_load.run([stream], given.seconds, given.seed + 1)
        stop.set()
        breaker.join()
        return samples, executions(d) - before


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--timeouts", default="1000,200,100,50")
    parser.add_argument("--stall-ms", type=int, default=400)
    given = parser.parse_args()
    for timeout_ms in map(int, given.timeouts.split(",")):
        samples, ran = measure(timeout_ms, given)
        good = [s.seconds for s in samples if s.status == 200]
        name = "slow_endpoint." + ("baseline." if timeout_ms == 1000 else "")
        extra = f"status_timeout_ms={timeout_ms} stall_ms={given.stall_ms} reads={len(samples)} seed={given.seed}"
        report([(name + "status_p50_seconds", percentile(good, 0.5), None, True, extra),
                (name + "status_p99_seconds", percentile(good, 0.99), None, True, extra),
                (name + "failed", len(samples) - len(good), None, True, extra),
                (name + "extra_load", ran / max(1, len(good)) - 1, None, True, extra)])
    sys.exit(0)


main()
