#!/usr/bin/env python3
"""Cost of control of one entry and one agent at several fleet sizes: processor share, memory, bytes a second.

The fleet is idle but for one configuration change every two seconds (the target's 3,500 changes a day are one in 25 s).
Slopes are fitted by least squares over the sizes and projected to the target: 420 entries and 6,700 agents.
Usage: control_cost.py [--seed N] [--sizes 8,24,64] [--seconds 12]
"""
import argparse
import os
import re
import sys
import time

from lib_deployment import Deployment, REGIONS, report, request

TICKS = os.sysconf("SC_CLK_TCK")
TARGET_PROCESSES = 420 + 6700
CORE_SHARE_BOUND, MEMORY_BOUND_MB, BYTES_BOUND = 0.023, 256.0, 4096.0


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as f:
        return int(re.search(r"VmRSS:\s+(\d+)", f.read()).group(1)) / 1024


def control_bytes(process):
    text = request(process.address, "GET", "/metrics")[2]
    return sum(float(v) for v in re.findall(r"^hibiscuswall_control_bytes_(?:sent|received) ([0-9.e+]+)", text, re.M))


def measure(size, seconds, seed):
    entries = max(2, size // 8)
    domains = list(REGIONS)
    with Deployment(seed) as d:
        d.platform()
        for i in range(entries):
            d.add_entry(f"entry-{i + 1}", domains[i % 3])
        for i in range(size - entries):
            d.add_plain("booking", domains[i % 3])
        d.start(60)
        base = [{"kind": "Service", "name": "booking", "spec": {"type": "plain", "routes": []}}]
        base += [{"kind": "FailureDomain", "name": name, "spec": {"region": region, "state": "in"}} for name, region in REGIONS.items()]
        d.apply(base)
        d.wait_ready(seconds=60)
        watched = {"entry": list(d.entries.values()), "agent": list(d.agents.values())}
        before = {p.name: (cpu_seconds(p.handle.pid), control_bytes(p)) for group in watched.values() for p in group}
        began = time.monotonic()
        changes = 0
        while time.monotonic() - began < seconds:
            changes += 1
            d.apply([{"kind": "Account", "name": "office", "spec": {"key": f"key-{changes}", "weight": 1}}])
            time.sleep(2)
        elapsed = time.monotonic() - began
        rows = {}
        for role, group in watched.items():
            cpu = sum(cpu_seconds(p.handle.pid) - before[p.name][0] for p in group) / elapsed / len(group)
            # A client counts what it sends and receives; the same bytes pass once more at the process that served it.
            traffic = 2 * sum(control_bytes(p) - before[p.name][1] for p in group) / elapsed / len(group)
            rows[role] = (cpu, max(memory_mb(p.handle.pid) for p in group), traffic)
        calls = request(d.address("key-value"), "GET", "/v1/stats")[2]
        return rows, calls.strip()


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
    given = parser.parse_args()
    sizes = [int(s) for s in given.sizes.split(",")]
    figures, points = [], {}
    names = ("core_share", "memory_mb", "bytes_per_second")
    bounds = (CORE_SHARE_BOUND, MEMORY_BOUND_MB, BYTES_BOUND)
    for size in sizes:
        rows, calls = measure(size, given.seconds, given.seed)
        for role, row in rows.items():
            for name, value, bound in zip(names, row, bounds):
                points.setdefault((role, name), []).append((size, value))
                figures.append((f"control_cost.{role}.{name}", float(value), bound, value <= bound, f"processes={size} seed={given.seed}"))
        print(f"# processes={size} key_value_stats={calls}")
    for (role, name), series in points.items():
        b, a = slope(series)
        bound = bounds[names.index(name)]
        value = a + b * TARGET_PROCESSES
        figures.append((f"control_cost.{role}.{name}.slope", float(b), None, True, f"per_process intercept={a:.4g}"))
        figures.append((f"control_cost.{role}.{name}.projected", float(value), bound, value <= bound, f"processes={TARGET_PROCESSES} linear_projection"))
    sys.exit(report(figures))


main()
