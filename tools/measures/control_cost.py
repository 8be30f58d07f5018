#!/usr/bin/env python3
"""Cost of control of one entry and one agent at several fleet sizes: processor share, memory, bytes a second.

The fleet is idle but for configuration changes: one in two seconds, then one in 25 s (3,500 changes a day).
A process counts the bytes that its HTTP client sends and receives by purpose. What it serves to peers is taken as
the fleet's mean of what is asked of peers, since peers are chosen evenly. Forwarded requests, weights, claims and the
polling of the endpoint on the same host are no control traffic; operators' questions are left out as well.
Slopes are fitted by least squares over the sizes and projected to the target: 420 entries and 6,700 agents.
Usage: control_cost.py [--seed N] [--sizes 8,24,64] [--seconds 12] [--change-every 2,25] [--failure-domains 3]
"""
import argparse
import os
import re
import sys
import time

from lib_deployment import Deployment, REGIONS, report, request

TICKS = os.sysconf("SC_CLK_TCK")
TARGET_PROCESSES = 420 + 6700
PEER_PURPOSES = ("peer.exchange", "config.push", "config.fetch", "weights.status", "endpoint.status")
PLATFORM_PURPOSES = ("host_list", "key_value_watch", "key_value")
CORE_SHARE_BOUND, MEMORY_BOUND_MB, BYTES_BOUND = 0.023, 256.0, 4096.0


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as f:
        return int(re.search(r"VmRSS:\s+(\d+)", f.read()).group(1)) / 1024


def bytes_by_purpose(process):
    text = request(process.address, "GET", "/metrics")[2]
    counts = {}
    for labels, value in re.findall(r"^hibiscuswall_client_bytes\{([^}]*)\} ([0-9.e+]+)", text, re.M):
        purpose = re.search(r'purpose="([^"]*)"', labels).group(1)
        counts[purpose] = counts.get(purpose, 0.0) + float(value)
    return counts


def regions_of(failure_domains):
    if failure_domains == len(REGIONS):
        return REGIONS
    return {f"domain-{i + 1}": f"region-{i % 3 + 1}" for i in range(failure_domains)}


def sample(processes):
    return {p.name: (cpu_seconds(p.handle.pid), bytes_by_purpose(p)) for p in processes}


def rates(group, before, after, elapsed):
    """Mean of a group: core share, then bytes a second for each purpose."""
    cpu = sum(after[p.name][0] - before[p.name][0] for p in group) / elapsed / len(group)
    purposes = {purpose for p in group for purpose in after[p.name][1]}
    split = {purpose: sum(after[p.name][1].get(purpose, 0.0) - before[p.name][1].get(purpose, 0.0) for p in group)
             / elapsed / len(group) for purpose in purposes}
    return cpu, split


def measure_phase(d, watched, every, seconds):
    everyone = [p for group in watched.values() for p in group]
    before, began, changes = sample(everyone), time.monotonic(), 0
    while time.monotonic() - began < max(seconds, every):
        changes += 1
        d.apply([{"kind": "Account", "name": "office", "spec": {"key": f"key-{every}-{changes}", "weight": 1}}])
        time.sleep(every)
    after, elapsed = sample(everyone), time.monotonic() - began
    _, fleet = rates(everyone, before, after, elapsed)
    rows = {}
    for role, group in watched.items():
        cpu, own = rates(group, before, after, elapsed)
        split = {purpose: own.get(purpose, 0.0) + fleet.get(purpose, 0.0) for purpose in PEER_PURPOSES}
        split.update((purpose, own.get(purpose, 0.0)) for purpose in PLATFORM_PURPOSES)
        memory = max(memory_mb(p.handle.pid) for p in group)
        rows[role] = ((cpu, memory, sum(split.values())), {k: v for k, v in split.items() if v > 0})
    return rows


def measure(size, given):
    entries = max(2, size // 8)
    regions = regions_of(given.failure_domains)
    domains = list(regions)
    with Deployment(given.seed, regions) as d:
        d.platform()
        for i in range(entries):
            d.add_entry(f"entry-{i + 1}", domains[i % len(domains)])
        for i in range(size - entries):
            d.add_plain("booking", domains[i % len(domains)])
        d.start(60)
        base = [{"kind": "Service", "name": "booking", "spec": {"type": "plain", "routes": []}}]
        base += [{"kind": "FailureDomain", "name": name, "spec": {"region": region, "state": "in"}} for name, region in regions.items()]
        d.apply(base)
        d.wait_ready(seconds=60)
        time.sleep(given.settle)
        watched = {"entry": list(d.entries.values()), "agent": list(d.agents.values())}
        phases = {every: measure_phase(d, watched, every, given.seconds) for every in given.intervals}
        calls = request(d.address("key-value"), "GET", "/v1/stats")[2]
        return phases, calls.strip()


def slope(points):
    n = len(points)
    mx, my = sum(x for x, _ in points) / n, sum(y for _, y in points) / n
    spread = sum((x - mx) ** 2 for x, _ in points)
    b = sum((x - mx) * (y - my) for x, y in points) / spread if spread else 0.0
    return b, my - b * mx


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", default="8,24,64")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--change-every", default="2,25", help="seconds between configuration changes, one phase each")
    parser.add_argument("--failure-domains", type=int, default=3)
    parser.add_argument("--settle", type=float, default=0, help="seconds between the start and the first phase")
    given = parser.parse_args()
    given.intervals = [float(s) for s in given.change_every.split(",")]
    sizes = [int(s) for s in given.sizes.split(",")]
    figures, points = [], {}
    names = ("core_share", "memory_mb", "bytes_per_second")
    bounds = (CORE_SHARE_BOUND, MEMORY_BOUND_MB, BYTES_BOUND)
    for size in sizes:
        phases, calls = measure(size, given)
        for every, rows in phases.items():
            note = f"processes={size} change_every={every:g} seed={given.seed}"
            for role, (row, split) in rows.items():
                for name, value, bound in zip(names, row, bounds):
                    points.setdefault((role, name, every), []).append((size, value))
                    figures.append((f"control_cost.{role}.{name}", float(value), bound, value <= bound, note))
                for purpose, value in sorted(split.items()):
                    figures.append((f"control_cost.{role}.bytes.{purpose}", float(value), None, True, note))
        print(f"# processes={size} key_value_stats={calls}")
    for (role, name, every), series in points.items():
        b, a = slope(series)
        bound = bounds[names.index(name)]
        value = a + b * TARGET_PROCESSES
        figures.append((f"control_cost.{role}.{name}.slope", float(b), None, True, f"per_process intercept={a:.4g} change_every={every:g}"))
        figures.append((f"control_cost.{role}.{name}.projected", float(value), bound, value <= bound, f"processes={TARGET_PROCESSES} change_every={every:g} linear_projection"))
    sys.exit(report(figures))


main()
