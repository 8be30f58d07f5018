#!/usr/bin/env python3
"""Latency and processor time that entry and agent add to a request and to a streamed event.

Requests: one connection, one after the other; the baseline is a direct call of the service. Streams: --streams at a
time through one entry and one agent, each event after --token-ms at the engine (0: as fast as the engine sends).
Usage: hot_path.py [--seed N] [--streams 24] [--events 1000] [--token-ms 2]
"""
import argparse
import http.client
import json
import os
import socket
import statistics
import threading
import time

from lib_deployment import Deployment

REQUESTS, WARM_UP = 2000, 200
WEIGHTS = ("--model", "snow/v1:1048576:1")
RESOURCES = [
    {"kind": "Account", "name": "office", "spec": {"key": "demo-key", "weight": 1}},
    {"kind": "Policy", "name": "default", "spec": {}},
    {"kind": "FailureDomain", "name": "gor-a", "spec": {"region": "gorenjska", "state": "in"}},
    {"kind": "Service", "name": "drafting", "spec": {"type": "engine", "cold_limit": 64, "max_limit": 64, "queue_limit": 64}},
    {"kind": "ModelServing", "name": "snow", "spec": {"model": "snow", "adapter": "", "version": "v1", "service": "drafting",
                                                      "failure_domains": ["gor-a"], "batch": 1}},
    {"kind": "Service", "name": "records", "spec": {
        "type": "plain", "cold_limit": 4, "max_limit": 32, "queue_limit": 64,
        "routes": [{"method": "*", "path_prefix": "/", "class": "status", "idempotent": True}]}},
]


def cpu_seconds(*processes):
    """User and system time of the processes."""
    total = 0
    for process in processes:
        with open(f"/proc/{process.handle.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        total += int(fields[11]) + int(fields[12])
    return total / os.sysconf("SC_CLK_TCK")


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


def stream(address, number, count, results):
    """Reads one event stream to its end marker; keeps the number of events."""
    body = json.dumps({"model": "snow", "prompt": f"poles {number}", "max_tokens": count, "stream": True})
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=60) as s:
        s.sendall((f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer demo-key\r\n"
                   f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode())
        data = bytearray()
        while not data.endswith(b"\r\n0\r\n\r\n"):
            piece = s.recv(65536)
            if not piece:
                break
            data += piece
    results[number] = data.count(b"data: {\"text\"") if b"event: done" in data else -1


def stream_figures(address, processes, given):
    results = {}
    threads = [threading.Thread(target=stream, args=(address, n, given.events, results)) for n in range(given.streams)]
    before, begun = cpu_seconds(*processes), time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    took = time.perf_counter() - begun
    events = sum(results.values())
    if any(count != given.events for count in results.values()) or len(results) != given.streams:
        raise SystemExit(f"hot_path: streams are not whole: {results}")
    return events / took, (cpu_seconds(*processes) - before) * 1e6 / events


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--streams", type=int, default=24)
    parser.add_argument("--events", type=int, default=1000)
    parser.add_argument("--token-ms", type=int, default=2)
    given = parser.parse_args()
    seed = given.seed
    with Deployment(seed=seed) as d:
        d.platform(weights=WEIGHTS)
        agent = d.add_plain("records", "gor-a", ["--service-ms", 0])
        engine_agent = d.add_engine("drafting", "gor-a", arguments=(
            "--token-ms", given.token_ms, "--prefill-ms", 0, "--cold-limit", 64, "--max-running", 64))
        entry = d.add_entry("entry-1", "gor-a")
        d.start()
        d.apply(RESOURCES)
        d.wait_ready()
        time.sleep(3)
        service = d.engines[agent.name]
        path, headers = "/v1/services/records/crews", {"Authorization": "Bearer demo-key"}
        times_us(d.address("entry-1"), path, headers, WARM_UP)
        direct = statistics.median(times_us(service.address, "/crews", {}, REQUESTS))
        before = cpu_seconds(entry, agent)
        routed = statistics.median(times_us(d.address("entry-1"), path, headers, REQUESTS))
        cpu = (cpu_seconds(entry, agent) - before) * 1e6 / REQUESTS
        print(f"hot_path.added_p50_us={routed - direct:.0f} routed={routed:.0f} baseline={direct:.0f} "
              f"requests={REQUESTS} bound=none seed={seed}", flush=True)
        print(f"hot_path.cpu_us_per_request={cpu:.0f} requests={REQUESTS} bound=none seed={seed}", flush=True)
        rate, event_cpu = stream_figures(d.address("entry-1"), (entry, engine_agent), given)
    offered = f"{given.streams * 1000 / given.token_ms:.0f}" if given.token_ms else "unlimited"
    extra = f"streams={given.streams} events={given.streams * given.events} offered={offered} bound=none seed={seed}"
    print(f"hot_path.events_per_second={rate:.0f} {extra}")
    print(f"hot_path.cpu_us_per_event={event_cpu:.1f} {extra}")


main()
