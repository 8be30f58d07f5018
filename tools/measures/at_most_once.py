"""Bookings through killed and frozen agents, cut answers and lost store answers; the services' records are checked.

Usage: at_most_once.py [--seed N]. The baseline is a client without keys that repeats after every error.
"""
import argparse
import json
import random
import signal
import sys
import threading
import time

from lib_deployment import Deployment, request

BOOKINGS, WORKERS, REPEATS = 400, 8, 4
RESOURCES = [
    {"kind": "Account", "name": "office", "spec": {"key": "demo-key", "weight": 1}},
    {"kind": "Policy", "name": "default", "spec": {}},
    {"kind": "Service", "name": "booking", "spec": {
        "type": "plain", "cold_limit": 4, "max_limit": 32, "queue_limit": 64,
        "routes": [{"method": "*", "path_prefix": "/", "class": "booking", "idempotent": False}]}},
]


def book(d, number, mode, entries):
    """Books as a client would, with repeats; gives what it was told in the end."""
    told = []
    for attempt in range(REPEATS):
        headers = {"X-Request-Timeout-Ms": "1500"}
        if mode == "keyed":
            headers["Idempotency-Key"] = f"{mode}-{number}"
        try:
            status, fields, text = d.call("POST", "/v1/services/booking/visits", {"mode": mode, "number": number},
                                       headers=headers, entry=entries[(number + attempt) % len(entries)], timeout=5)
        except OSError:
            told.append("unknown")
            continue
        if status == 200:
            if f'"number": {number}' not in json.loads(text)["body"]:
                print(f"at_most_once: booking {number} got {fields.get('x-call-id')} entry {entries[(number + attempt) % len(entries)]} try {attempt} replayed {fields.get('x-replayed')} {text}", file=sys.stderr)
                return "wrong"
            return "yes"
        told.append(fields.get("x-ran", "unknown"))
        time.sleep(0.05)
    return "no" if all(t == "no" for t in told) else "unknown"


def faults(d, rng, stop):
    agents = list(d.agents.values())
    while not stop.is_set():
        agent = rng.choice(agents)
        service = rng.choice(list(d.engines.values()))
        kind = rng.choice(["kill", "freeze", "cut", "store"])
        if kind == "kill":
            agent.kill()
            stop.wait(0.2)
            agent.start()
        elif kind == "freeze":
            agent.signal(signal.SIGSTOP)
            stop.wait(0.4)
            agent.signal(signal.SIGCONT)
        elif kind == "cut":
            request(service.address, "POST", "/v1/fault", {"cut_answers": 3})
        else:
            request(d.address("key-value"), "POST", "/v1/fault", {"lose_answers": 3})
        stop.wait(0.3)


def run(mode, seed):
    with Deployment(seed=seed) as d:
        d.platform()
        for domain in ("gor-a", "gor-a", "sta-a", "pri-a"):
            d.add_plain("booking", domain, ["--service-ms", 20])
        entries = ["entry-1", "entry-2"]
        d.add_entry(entries[0], "gor-a")
        d.add_entry(entries[1], "sta-a")
        d.start()
        d.apply(RESOURCES)
        time.sleep(3)
        told, todo, stop = {}, list(range(BOOKINGS)), threading.Event()

        def work():
            while todo:
                try:
                    number = todo.pop()
                except IndexError:
                    return
                told[number] = book(d, number, mode, entries)

        breaker = threading.Thread(target=faults, args=(d, random.Random(seed), stop))
        workers = [threading.Thread(target=work) for _ in range(WORKERS)]
        breaker.start()
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        stop.set()
        breaker.join()
        time.sleep(1)
        runs = {}
        for service in d.engines.values():
            for record in json.loads(request(service.address, "GET", "/v1/records")[2])["records"]:
                body = json.loads(record["body"]) if isinstance(record["body"], str) else record["body"]
                runs[body["number"]] = runs.get(body["number"], 0) + 1
        for number in (n for n, t in told.items() if t == "yes" and n not in runs):
            print(f"at_most_once: {mode} booking {number} has an answer but no record", file=sys.stderr)
        return {"doubled": sum(n > 1 for n in runs.values()),
                "false_not_run": sum(t == "no" and runs.get(n, 0) > 0 for n, t in told.items()),
                "lost": sum(t == "yes" and runs.get(n, 0) == 0 for n, t in told.items()),
                "wrong_answers": sum(t == "wrong" for t in told.values()),
                "unknown": sum(t == "unknown" for t in told.values()),
                "answered": sum(t == "yes" for t in told.values())}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    ours, naive = run("keyed", seed), run("naive", seed)
    for name, bound in (("doubled", "0"), ("false_not_run", "0"), ("lost", "0"), ("wrong_answers", "0"),
                        ("unknown", "none"), ("answered", "none")):
        print(f"at_most_once.{name}={ours[name]} baseline={naive[name]} bookings={BOOKINGS} bound={bound} seed={seed}")
    sys.exit(1 if ours["doubled"] or ours["false_not_run"] or ours["lost"] or ours["wrong_answers"] else 0)


main()
