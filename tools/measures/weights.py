#!/usr/bin/env python3
"""Time to N replicas, bytes drawn from the origin, and service meanwhile, on real processes at 127.0.0.1.

    tools/measures/weights.py [--hosts 16,48,96] [--faults killed,stalled,corrupted|none] [--agents] [--seed 1]

Link speeds are in the ratio origin 4 copies, host 2 copies in the window; the bound is the copy size over the slower of
the host's link and a region's share of the origin's link, plus one pipeline fill (a chunk over the origin's link, then one
hop per doubling of holders). Without --agents the hosts run the weights service alone in one region and live requests go to
them directly; with --agents they are whole agents in three regions and live requests go through an entry in each.
Faults, begun at 0.3 of the bound: a host killed; a host whose link stalls (--agents: a paused agent); chunks corrupted on
the way from one host (--agents: eight chunks from the origin).
The baseline lets every host fetch from the origin; it is stopped after --baseline-seconds and projected from the bytes that
arrived until then (projected=yes).
"""
import argparse
import math
import os
import sys
import time

from lib_deployment import percentile, report
from lib_weights import CHUNK, COPY, HOST_RATE, ORIGIN_RATE, AgentRun, HostRun, LinkRun


def bound(count, regions=1):
    hops = math.ceil(math.log2(max(2, count // regions)))
    return max(COPY / HOST_RATE, regions * COPY / ORIGIN_RATE) + CHUNK / ORIGIN_RATE + hops * CHUNK / HOST_RATE


def measure(run, fault=""):
    count, seed = run.count, run.seed
    ideal = bound(count, run.regions)
    run.start()
    run.declare("v1")
    if not run.wait_active("v1", run.hosts, 120):
        raise TimeoutError("v1")
    run.live_for(2)
    idle = run.live_for(4)
    before, cpu_before, load_before = run.origin_bytes(), run.cpu_seconds(), os.getloadavg()[0]
    stop, threads, results = run.live_for()
    begun = time.time()
    run.declare("v2")
    if fault:
        time.sleep(ideal * 0.3)
        run.begin_fault()
    done = run.wait_active("v2", run.counted(), ideal * 5 + 30)
    ended = time.time()
    cores = (run.cpu_seconds() - cpu_before) / (ended - begun)
    stop.set()
    for t in threads:
        t.join()
    times = [run.verified_at(h, "v2") for h in run.counted()]
    copies = (run.origin_bytes() - before) / COPY / run.regions
    seconds = max(t for t in times) - begun if done and all(times) else math.inf
    median = percentile([t - begun for t in times if t], 0.5)
    p99 = [percentile([r[0] for r in s if r], 0.99) for s in (idle, results)]
    prefix, limit = ("weights", 1.25) if not fault else ("weights_faults", 2.0)
    where = f"n={count} seed={seed}" + (f" fault={fault}" if fault else "") + (f" agents regions={run.regions}" if run.regions > 1 else "")
    ratio, wrong = p99[1] / p99[0] if p99[0] else math.inf, run.wrong_answers(results)
    return [(f"{prefix}.time_over_bound", seconds / ideal, limit, seconds / ideal <= limit,
             f"{where} seconds={seconds:.2f} median={median:.2f} ideal={ideal:.2f} active={ended - begun:.2f} "
             f"host_cores={cores:.2f} load={load_before:.0f},{os.getloadavg()[0]:.0f} failures={run.failures()}"),
            (f"{prefix}.origin_copies", copies, 1.1, copies <= 1.1, f"{where} of each region that draws"),
            (f"{prefix}.mixed_or_partial_answers", wrong, 0, wrong == 0, f"{where} answers={len(results)} missing={sum(r is None for r in results)} refusals={run.refusals}"),
            (f"{prefix}.live_p99_ratio", ratio, 1.5, ratio <= 1.5, f"{where} p99_idle={p99[0]:.3f} p99_transfer={p99[1]:.3f}")]


def baseline(count, seed, limit):
    with HostRun(count, seed, peers=False) as run:
        run.start()
        begun = time.time()
        run.declare("v2")
        done = run.wait_active("v2", run.hosts, limit)
        seconds = max(run.verified_at(h, "v2") for h in run.hosts) - begun if done else \
            (time.time() - begun) * COPY * count / max(1, run.origin_bytes())
        return [("weights.baseline_time_over_bound", seconds / bound(count), None, True,
                 f"n={count} seed={seed} seconds={seconds:.1f} projected={'no' if done else 'yes'}"),
                ("weights.baseline_origin_copies", run.origin_bytes() / COPY, None, True, f"n={count} seed={seed}")]


def live_link(count, seed):
    """Live requests to one host whose link has a rate, without and with their bytes charged to that link."""
    rows = []
    for charged in (False, True):
        with LinkRun(count, seed, charged) as run:
            run.start()
            run.declare("v1")
            run.wait_active("v1", run.hosts, 120)
            run.live_for(2)
            idle = run.live_for(4)
            stop, threads, results = run.live_for()
            begun = time.time()
            run.declare("v2")
            done = run.wait_active("v2", run.hosts[1:], 90)
            stop.set()
            for t in threads:
                t.join()
            times = [run.verified_at(h, "v2") for h in run.hosts[1:]]
            seconds = max(times) - begun if done and all(times) else math.inf
            p99 = [percentile([r[0] for r in s if r], 0.99) for s in (idle, results)]
            ratio = p99[1] / p99[0] if p99[0] else math.inf
            rows.append(("weights_live_link.p99_ratio" if charged else "weights_live_link.baseline_p99_ratio", ratio,
                         1.5 if charged else None, ratio <= 1.5,
                         f"n={count} seed={seed} p99_idle={p99[0]:.3f} p99_transfer={p99[1]:.3f} answers={len(results)} "
                         f"wrong={run.wrong_answers(results)} transfer_seconds={seconds:.1f} load={os.getloadavg()[0]:.0f}"))
    return rows


def names(text):
    return [part for part in text.split(",") if part not in ("", "none")]


def main():
    options = argparse.ArgumentParser()
    options.add_argument("--hosts", default="16,48,96", help="or none")
    options.add_argument("--faults", default="killed,stalled,corrupted", help="or none")
    options.add_argument("--fault-hosts", type=int, default=16)
    options.add_argument("--agents", action="store_true", help="whole agents in three regions")
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--baseline-seconds", type=float, default=20)
    options.add_argument("--live-link", type=int, default=0, metavar="N", help="N hosts, one with a rate-limited link")
    given = options.parse_args()
    kind = AgentRun if given.agents else HostRun
    worst = 0
    for count in [int(n) for n in names(given.hosts)]:
        with kind(count, given.seed) as run:
            worst |= report(measure(run))
        if given.baseline_seconds > 0 and not given.agents:
            worst |= report(baseline(count, given.seed, given.baseline_seconds))
    for fault in names(given.faults):
        with kind(given.fault_hosts, given.seed, fault=fault) as run:
            worst |= report(measure(run, fault))
    if given.live_link > 0:
        worst |= report(live_link(given.live_link, given.seed))
    return worst


if __name__ == "__main__":
    sys.exit(main())
