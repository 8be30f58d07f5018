"""Open-loop load from several processes: requests leave at their time whether or not earlier ones were answered.

    streams = [Stream("status", rate=10, targets=["127.0.0.1:8080"], method="GET", path="/v1/services/s/status")]
    samples = run(streams, seconds=5, seed=1)     # [Sample(stream, sent, seconds, status, code, late)]

headers may be a function of the request's serial text. late is how long after its due time a request left; a request whose caller would have given up by then is not sent.
"""
import collections
import concurrent.futures
import json
import multiprocessing
import random
import time

from lib_deployment import request

Sample = collections.namedtuple("Sample", "stream sent seconds status code late")
Stream = collections.namedtuple("Stream", "name rate targets method path body headers timeout")
PROCESSES = 4
THREADS = 96


def one(stream, target, serial, due):
    began = time.time()
    late = began - due
    if late > stream.timeout:
        return Sample(stream.name, began, late, 0, 0, late)
    path = stream.path.replace("{n}", str(serial))
    headers = stream.headers(serial) if callable(stream.headers) else stream.headers
    try:
        status, _, text = request(target, stream.method, path, stream.body, headers, stream.timeout)
    except OSError:
        return Sample(stream.name, began, time.time() - due, 0, 0, late)
    try:
        code = json.loads(text).get("code", 0) if status != 200 else 0
    except (ValueError, AttributeError):
        code = 0
    # From when it was due: a late generator must not hide waiting.
    return Sample(stream.name, began, time.time() - due, status, code, late)


def worker(streams, begin, seconds, seed, part, results):
    rng = random.Random(seed * 100 + part)
    plan = []
    for stream in streams:
        rate = stream.rate / PROCESSES
        at, serial = rng.random() / rate, 0
        while at < seconds:
            target = stream.targets[(serial * PROCESSES + part) % len(stream.targets)]
            plan.append((at, stream, target, f"{part}-{serial}"))
            at += rng.uniform(0.5, 1.5) / rate
            serial += 1
    plan.sort(key=lambda item: item[0])
    with concurrent.futures.ThreadPoolExecutor(THREADS) as pool:
        pending = []
        for at, stream, target, serial in plan:
            time.sleep(max(0.0, begin + at - time.time()))
            pending.append(pool.submit(one, stream, target, serial, begin + at))
        results.put([tuple(p.result()) for p in pending])


def start(streams, seconds, seed):
    """Begins the load; finish(handle) gives its samples."""
    context = multiprocessing.get_context("fork")
    results = context.Queue()
    begin = time.time() + 0.2
    processes = [context.Process(target=worker, args=(streams, begin, seconds, seed, part, results)) for part in range(PROCESSES)]
    for process in processes:
        process.start()
    return processes, results, begin


def finish(handle):
    processes, results, _ = handle
    samples = [Sample(*row) for _ in processes for row in results.get(timeout=120)]
    for process in processes:
        process.join()
    return samples


def run(streams, seconds, seed):
    return finish(start(streams, seconds, seed))
