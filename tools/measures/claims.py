#!/usr/bin/env python3
"""Bookings with keys: answers a second, store calls a booking and latency, at several rates and with a slow store.

The keys fall into a few buckets only, so that one bucket sees what it would see at 256 / buckets times the rate. One
entry shows what passing every claim to the bucket's owner could reach at best, several entries what each reaches by
itself. The baseline gives each claim and ending a swap of its own (claims.batch = 1).
Usage: claims.py [--seed N] [--seconds 3] [--rates 50,200,400] [--entries 1,4] [--delays 0,20] [--buckets 16]
"""
import argparse
import hashlib
import base64
import json
import sys

from lib_deployment import Deployment, REGIONS, percentile, report, request
import lib_load

DEADLINE = 2.0
RESOURCES = [
    {"kind": "Account", "name": "office", "spec": {"key": "office-key", "weight": 1}},
    {"kind": "Service", "name": "booking", "spec": {
        "type": "plain", "cold_limit": 64, "max_limit": 256, "queue_limit": 256,
        "routes": [{"method": "*", "path_prefix": "/", "class": "booking", "idempotent": False}]}},
]


def booking(run, buckets):
    """Headers with a key whose bucket is one of the first ones."""
    def headers(serial):
        salt = 0
        while True:
            key = f"{run}-{serial}-{salt}"
            if hashlib.sha256(f"office/{key}".encode()).digest()[0] < buckets:
                return {"Authorization": "Bearer office-key", "Idempotency-Key": key, "X-Request-Timeout-Ms": "2000"}
            salt += 1
    return headers


def store_calls(d):
    return json.loads(request(d.address("key-value"), "GET", "/v1/stats")[2])["calls"]


def bytes_per_claim(d):
    """Of all buckets at the end, kept answers included."""
    items = json.loads(request(d.address("key-value"), "GET", "/kv-range?prefix=claims")[2])["items"]
    kept = [base64.b64decode(item["value"]).decode() for item in items]
    return sum(map(len, kept)) / max(1, sum(len(json.loads(text)) for text in kept)), max(map(len, kept), default=0)


def measure(d, run, rate, given):
    stream = lib_load.Stream("booking", rate, [d.address(n) for n in d.entries], "POST", "/v1/services/booking/visits",
                             "{}", booking(run, given.buckets), DEADLINE)
    before = store_calls(d)
    samples = lib_load.run([stream], given.seconds, given.seed)
    after = store_calls(d)
    good = [s for s in samples if s.status == 200]
    row = {kind: after.get(kind, 0) - before.get(kind, 0) for kind in ("put", "get", "conflict")}
    row["per_second"] = len(good) / given.seconds
    row["failed"] = len(samples) - len(good)
    row["bookings"] = max(1, len(good))
    row["p50"], row["p99"] = (percentile([s.seconds for s in good], share) for share in (0.5, 0.99))
    return row


def show(row, name, extra):
    report([(f"claims.{name}bookings_per_second", row["per_second"], None, True, f"{extra} failed={row['failed']}"),
            (f"claims.{name}store_writes_per_booking", row["put"] / row["bookings"], None, True, f"{extra} conflicts={row['conflict']}"),
            (f"claims.{name}store_reads_per_booking", row["get"] / row["bookings"], None, True, extra),
            (f"claims.{name}latency_p50_seconds", row["p50"], None, True, extra),
            (f"claims.{name}latency_p99_seconds", row["p99"], None, True, extra)])


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3)
    parser.add_argument("--rates", default="50,200,400")
    parser.add_argument("--entries", default="1,4")
    parser.add_argument("--delays", default="0,20", help="of each store call, in milliseconds")
    parser.add_argument("--buckets", type=int, default=16)
    given = parser.parse_args()
    for entries in map(int, given.entries.split(",")):
        for batch, name in ((64, ""), (1, "baseline.")):
            with Deployment(given.seed) as d:
                d.platform()
                for domain in REGIONS:
                    d.add_plain("booking", domain, ("--service-ms", 1, "--concurrency", 64))
                for i in range(entries):
                    d.add_entry(f"entry-{i + 1}", list(REGIONS)[i % len(REGIONS)], {"calls": {"claims": {"batch": batch}}})
                d.start()
                d.apply(RESOURCES)
                d.wait_ready()
                measure(d, "warm", 50, given)
                for delay in map(int, given.delays.split(",")):
                    request(d.address("key-value"), "POST", "/v1/fault", {"delay_ms": delay})
                    for rate in map(int, given.rates.split(",")):
                        row = measure(d, f"{delay}-{rate}", rate, given)
                        show(row, name, f"rate={rate} entries={entries} store_delay_ms={delay} buckets={given.buckets} seed={given.seed}")
                size, largest = bytes_per_claim(d)
                report([(f"claims.{name}bytes_per_claim", size, None, True, f"entries={entries} largest_bucket={largest} seed={given.seed}")])
    sys.exit(0)


main()
