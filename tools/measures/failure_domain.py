#!/usr/bin/env python3
"""A failure domain is taken out of service and brought back under load.

Two plain endpoints and one engine in each of three failure domains; status reads, bookings and drafts at about a third
of the capacity. Phases of equal length: all in, gor-a out, gor-a back. The baseline sends the same load round robin
straight to the endpoints; its gor-a endpoints are ended and started again, since nothing else takes them out.
Usage: failure_domain.py [--seed N] [--seconds 6]
"""
import argparse
import json
import sys
import time

from lib_deployment import Deployment, REGIONS, percentile, report, request
import lib_load

OUT = "gor-a"
PLAIN_ARGUMENTS = ("--service-ms", 10, "--concurrency", 8)
ENGINE_ARGUMENTS = ("--token-ms", 2, "--prefill-ms", 5, "--cold-limit", 2)
WEIGHTS = ("--model", "snow/v1:1048576:1")
STATUS_RATE, BOOKING_RATE, DRAFT_RATE = 40, 20, 10


def resources(state):
    made = [{"kind": "Service", "name": "booking", "spec": {
        "type": "plain", "cold_limit": 2, "max_limit": 8, "queue_limit": 32, "routes": [
            {"method": "GET", "path_prefix": "/status", "class": "status", "idempotent": True},
            {"method": "POST", "path_prefix": "/book", "class": "booking", "idempotent": False}]}},
        {"kind": "Service", "name": "drafting", "spec": {"type": "engine", "cold_limit": 2, "max_limit": 8, "queue_limit": 32}},
        {"kind": "ModelServing", "name": "snow", "spec": {"model": "snow", "adapter": "", "version": "v1", "service": "drafting",
                                                          "failure_domains": list(REGIONS), "batch": 1}},
        {"kind": "Account", "name": "office", "spec": {"key": "office-key", "weight": 1}}]
    return made + [{"kind": "FailureDomain", "name": n, "spec": {"region": r, "state": state if n == OUT else "in"}} for n, r in REGIONS.items()]


def streams(targets, draft_targets, prefix):
    headers = {"Authorization": "Bearer office-key", "Content-Type": "application/json"}
    draft = json.dumps({"model": "snow", "prompt": "poles on the pass", "max_tokens": 10, "stream": False})
    return [lib_load.Stream("status", STATUS_RATE, targets, "GET", prefix + "/status", None, headers, 10.0),
            lib_load.Stream("booking", BOOKING_RATE, targets, "POST", prefix + "/book", "{}", headers, 10.0),
            lib_load.Stream("drafting", DRAFT_RATE, draft_targets, "POST", "/v1/completions", draft, headers, 10.0)]


def records(process):
    return json.loads(request(process.address, "GET", "/v1/records")[2])


def summary(samples, begin, phase):
    status = {n: [s.seconds for s in samples if s.stream == "status" and begin + n * phase <= s.sent < begin + (n + 1) * phase] for n in range(3)}
    before = percentile(status[0], 0.99)
    during = max(percentile(status[1], 0.99), percentile(status[2], 0.99))
    errors = {}
    for s in samples:
        if s.status != 200:
            errors[f"{s.stream}:{s.status}:{s.code}"] = errors.get(f"{s.stream}:{s.status}:{s.code}", 0) + 1
    return errors, before, during


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--without-engines", action="store_true", help="plain endpoints only; no figure for cold limits")
    given = parser.parse_args()
    phase = given.seconds
    engines_too = not given.without_engines
    with Deployment(given.seed) as d:
        d.platform(weights=WEIGHTS)
        homes = {}
        for i, domain in enumerate(REGIONS):
            d.add_entry(f"entry-{i + 1}", domain)
            for _ in range(2):
                homes[d.add_plain("booking", domain, PLAIN_ARGUMENTS).name] = domain
            if engines_too:
                homes[d.add_engine("drafting", domain, arguments=ENGINE_ARGUMENTS).name] = domain
        d.start()
        d.apply(resources("in"))
        d.wait_ready(seconds=40)
        entries = [d.address(name) for name in d.entries]
        load = streams(entries, entries, "/v1/services/booking")
        load = load if engines_too else load[:2]
        lib_load.run(load, 3, given.seed)

        handle = lib_load.start(load, 3 * phase, given.seed + 1)
        begin = handle[2]
        time.sleep(max(0.0, begin + phase - time.time()))
        d.apply(resources("out"))
        out_at = time.time()
        time.sleep(max(0.0, begin + 2 * phase - time.time()))
        back_at = time.time()
        d.apply(resources("in"))
        samples = lib_load.finish(handle)
        errors, before, during = summary(samples, begin, phase)
        last = 0.0
        for name, domain in homes.items():
            if domain == OUT and name.startswith("booking"):
                started = [r["started_ms"] / 1000 for r in records(d.engines[name])["records"]]
                last = max([last, *[t - out_at for t in started if out_at <= t < back_at]])
        violations = sum(records(d.engines[n])["violations"] for n in homes if n.startswith("drafting"))

        # ---- baseline: round robin straight to the endpoints
        plain = [d.engines[n].address for n in homes if n.startswith("booking")]
        engines = [d.engines[n].address for n in homes if n.startswith("drafting")]
        straight = streams(plain, engines, "")
        handle = lib_load.start(straight if engines_too else straight[:2], 3 * phase, given.seed + 1)
        begin = handle[2]
        time.sleep(max(0.0, begin + phase - time.time()))
        victims = [d.engines[n] for n in homes if homes[n] == OUT and n.startswith("booking")]
        for process in victims:
            process.stop()
        time.sleep(max(0.0, begin + 2 * phase - time.time()))
        for process in victims:
            process.start()
        base_errors, base_before, base_during = summary(lib_load.finish(handle), begin, phase)

    extra = f"seed={given.seed} requests={len(samples)}"
    ratio, base_ratio = during / max(before, 1e-9), base_during / max(base_before, 1e-9)
    total, base_total = sum(errors.values()), sum(base_errors.values())
    sys.exit(report([
        ("failure_domain.errors", total, 0, total == 0, extra + (f" kinds={errors}" if errors else "")),
        ("failure_domain.seconds_to_last_new_request", last, 3, last <= 3, extra),
        ("failure_domain.status_p99_before_seconds", before, None, True, extra),
        ("failure_domain.status_p99_ratio", ratio, 1.5, ratio <= 1.5, extra),
        *([("failure_domain.cold_limit_violations", violations, 0, violations == 0, extra)] if engines_too else []),
        ("failure_domain.baseline.errors", base_total, None, True, extra),
        ("failure_domain.baseline.status_p99_ratio", base_ratio, None, True, extra)]))


main()
