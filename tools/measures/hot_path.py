"""Latency and processor time that entry and agent add to a request, compared with a direct call of the service.

Usage: hot_path.py [--seed N]. One connection, requests one after the other; the baseline is the direct call.
"""
import argparse
import http.client
import os
import statistics
import time

from lib_deployment import Deployment

REQUESTS, WARM_UP = 2000, 200
RESOURCES = [
    {"kind": "Account", "name": "office", "spec": {"key": "demo-key", "weight": 1}},
    {"kind": "Policy", "name": "default", "spec": {}},
    {"kind": "Service", "name": "records", "spec": {
        "type": "plain", "cold_limit": 4, "max_limit": 32, "queue_limit": 64,
        "routes": [{"method": "*", "path_prefix": "/", "class": "status", "idempotent": True}]}},
]


def cpu_seconds(process):
    """User and system time of a process."""
    with open(f"/proc/{process.handle.pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def times_us(address, path, headers, count):
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    taken = []
    for _ in range(count):
        begun = time.perf_counter()
        connection.request("GET", path, headers=headers)
        answer = connection.getresponse()
        answer.read()
        taken.append((time.perf_counter() - begun) * 1e6)
        if answer.status != 200:
            raise SystemExit(f"hot_path: status {answer.status} from {address}{path}")
    connection.close()
    return taken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    with Deployment(seed=seed) as d:
        d.platform()
        agent = d.add_plain("records", "gor-a", ["--service-ms", 0])
        entry = d.add_entry("entry-1", "gor-a")
        d.start()
        d.apply(RESOURCES)
        time.sleep(3)
        service = next(iter(d.engines.values()))
        path, headers = "/v1/services/records/crews", {"Authorization": "Bearer demo-key"}
        times_us(d.address("entry-1"), path, headers, WARM_UP)
        direct = statistics.median(times_us(service.address, "/crews", {}, REQUESTS))
        before = cpu_seconds(entry) + cpu_seconds(agent)
        routed = statistics.median(times_us(d.address("entry-1"), path, headers, REQUESTS))
        cpu = (cpu_seconds(entry) + cpu_seconds(agent) - before) * 1e6 / REQUESTS
    print(f"hot_path.added_p50_us={routed - direct:.0f} routed={routed:.0f} baseline={direct:.0f} "
          f"requests={REQUESTS} bound=none seed={seed}")
    print(f"hot_path.cpu_us_per_request={cpu:.0f} requests={REQUESTS} bound=none seed={seed}")


main()
