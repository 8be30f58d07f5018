"""Series of faults that overlap, drawn from a seed, over a DirectDeployment.

    faults = Faults(deployment, seed)
    faults.run(seconds)                    # every fault is taken back at the end
    faults.overlaps("e0", begun, ended)    # whether a fault that excuses it disturbed this process
"""
import random
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from direct_deployment import BACK_ENDS, STOP_MS
from lib_deployment import request

LEAVING_SECONDS = 3.0  # calls sent before an entry heard of an endpoint's leaving arrive within it
LINGER_SECONDS = LEAVING_SECONDS + 1.5  # an endpoint that was replaced refuses what was meant for the one before it
LOADING_SECONDS = 0.2  # until main runs, a signal ends any program
LINK_FAULTS = [{"delay_ms": 60}, {"delay_ms": 250}, {"stall": True}, {"hold_answers": True}, {"refuse": True},
               {"drop_answers": 3}, {"cut_after": 300}, {"half_close": True}]
STORE_FAULTS = [{"stall": True}, {"refuse": True}, {"delay_ms": 200}, None]  # None: the process is paused


class Faults:
    """Injects series of faults that overlap; keeps when each process was disturbed."""

    def __init__(self, deployment, seed):
        self.d, self.rng, self.lock = deployment, random.Random(seed), threading.Lock()
        self.windows, self.left, self.exits, self.replaced = [], [], [], 0
        self.locks = {name: threading.Lock() for name in (*deployment.entries, "store", *(f"link-{i}" for i in range(BACK_ENDS)))}

    def run(self, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            series = [self.draw() for _ in range(self.rng.choice((1, 1, 2, 3)))]
            with ThreadPoolExecutor() as pool:
                injected = []
                for each in series:
                    injected.append(pool.submit(each))
                    time.sleep(self.rng.random() * 0.4)
            for each in injected:
                each.result()  # a fault that could not be injected or taken back ends the run
            time.sleep(self.rng.random() * 0.5)

    def draw(self):
        name = self.rng.choice(("kill", "stop", "reload", "pause", "store", "link", "link", "cut", "leave", "configure"))
        victim, length = self.rng.choice(list(self.d.entries)), 0.2 + self.rng.random() * 2.3
        index, fault = self.rng.randrange(BACK_ENDS), self.rng.choice(LINK_FAULTS)
        store_fault = self.rng.choice(STORE_FAULTS)
        work = {"kill": lambda: self.kill(victim, length), "stop": lambda: self.stop(victim), "reload": lambda: self.reload(victim),
                "pause": lambda: self.pause(victim, length), "store": lambda: self.store(store_fault, length),
                "link": lambda: self.link(index, fault, length), "cut": lambda: self.cut(index),
                "leave": lambda: self.leave(index), "configure": self.d.configure}[name]
        target = {"store": "store", "link": f"link-{index}", "cut": f"link-{index}", "leave": f"link-{index}"}.get(name, victim)
        print(f"# fault {name} {'' if name == 'configure' else target} {fault if name == 'link' else ''}", flush=True)

        def exclusive():
            with self.locks[target]:
                work()
        return work if name == "configure" else exclusive

    def window(self, what, begun, grace=0.0):
        with self.lock:
            self.windows.append((what, begun, time.monotonic() + grace))

    def start(self, name):
        self.d.entries[name].start()
        time.sleep(LOADING_SECONDS)

    def kill(self, name, length):
        begun = time.monotonic()
        self.d.entries[name].kill()
        time.sleep(length / 4)
        self.start(name)
        self.window(name, begun, 0.5)

    def stop(self, name):
        process, begun = self.d.entries[name], time.monotonic()
        process.signal(signal.SIGTERM)
        code = process.handle.wait(STOP_MS / 1000 + 4)
        if code != 0:
            self.exits.append(f"{name} ended with {code} after SIGTERM")
        self.start(name)
        self.window(f"stop-{name}", begun, 0.5)

    def reload(self, name):
        self.d.entries[name].signal(signal.SIGHUP)

    def pause(self, name, length):
        begun = time.monotonic()
        self.d.entries[name].signal(signal.SIGSTOP)
        time.sleep(length)
        self.d.entries[name].signal(signal.SIGCONT)
        self.window(name, begun, 0.5)

    def store(self, fault, length):
        begun = time.monotonic()
        if fault is None:
            self.d.kv.signal(signal.SIGSTOP)
        else:
            request(self.d.store_proxy.address, "POST", "/v1/faults", fault)
        time.sleep(length)
        if fault is None:
            self.d.kv.signal(signal.SIGCONT)
        else:
            request(self.d.store_proxy.address, "POST", "/v1/clear", {})
        self.window("store", begun, LEAVING_SECONDS)

    def link(self, index, fault, length):
        begun = time.monotonic()
        request(self.d.links[index].address, "POST", "/v1/faults", fault)
        time.sleep(length)
        request(self.d.links[index].address, "POST", "/v1/clear", {})
        self.window(f"link-{index}", begun, 0.5)

    def cut(self, index):
        request(self.d.links[index].address, "POST", "/v1/cut", {})

    def leave(self, index, rng=None):
        """The endpoint leaves, and another one takes its address: soon, or so late that calls after the bound show."""
        begun, rng = time.monotonic(), rng or self.rng
        self.d.list_endpoint(index, "draining")
        left_at, old = time.monotonic(), self.d.back_ends[index].id
        time.sleep(rng.random() * 0.5 + (LINGER_SECONDS if index % 2 == 0 else 0))
        with self.lock:
            self.left.append((old, index, left_at))
            self.replaced += 1
            new = f"i-{index}-{self.replaced}"
        self.d.write({}, [f"servers/{old}"])
        with self.d.back_ends[index].lock:
            self.d.back_ends[index].id = new
        self.d.list_endpoint(index, "ready")
        self.window(f"leave-{index}", begun, 0.5)

    def overlaps(self, what, begun, ended):
        return any(w == what and b <= ended and begun <= e for w, b, e in self.windows)
