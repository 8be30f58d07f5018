"""Entries of the direct layout, the stand-in store, and recorded endpoints behind a fault proxy each.

    with DirectDeployment(seed) as d:
        d.begin()                          # waits until every entry is ready
        d.listening["e0"]                  # where callers reach it
        d.list_endpoint(0, "draining")
"""
import base64
import json
import pathlib

from back_end import BackEnd
from lib_deployment import Deployment, Process, free_port, request, wait_until

ENTRIES = 3
BACK_ENDS = 4
STOP_MS = 6000


class DirectDeployment(Deployment):
    """Entries, the stand-in store, and endpoints behind a proxy each."""

    def __init__(self, seed):
        super().__init__(seed)
        self.kv = self.standin("store", "standin-kv")
        self.store_proxy = self.proxy("store-proxy", self.kv.address)
        self.back_ends = [BackEnd(f"i-{i}", f"{seed}-{i}") for i in range(BACK_ENDS)]
        self.links = [self.proxy(f"link-{i}", each.address) for i, each in enumerate(self.back_ends)]
        self.listening, self.ready_at, self.version = {}, {}, 0
        for i in range(ENTRIES):
            self.add_direct_entry(f"e{i}")

    def proxy(self, name, target):
        listen, control = (f"127.0.0.1:{free_port()}" for _ in range(2))
        process = Process(name, "fault-proxy", ["--listen", listen, "--target", target, "--control", control], self.folder, control)
        process.relayed = listen
        self.standins.append(process)
        return process

    def add_direct_entry(self, name):
        callers, ready, peers = (f"127.0.0.1:{free_port()}" for _ in range(3))
        settings = {"name": name, "region": "north", "failure_domain": "north-a", "store": self.store_proxy.relayed,
                    "peer_listen": peers, "caller_listen": callers, "ready_listen": ready, "regions": {"north-a": "north"},
                    "stop_time_ms": STOP_MS, "limits": {"repeat_ratio": 0.2, "repeat_reserve": 320}}
        path = pathlib.Path(self.folder) / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.entries[name] = Process(name, "hibiscus-entry", ["--settings", path], self.folder, callers)
        self.listening[name], self.ready_at[name] = callers, ready

    def begin(self):
        for process in self.standins:
            process.start()
        wait_until(lambda: request(self.kv.address, "GET", "/readyz")[0] == 200, 10, "the store")
        self.configure()
        for i in range(BACK_ENDS):
            self.list_endpoint(i, "ready")
        for process in self.entries.values():
            process.start()
        for name in self.entries:
            wait_until(lambda: self.is_ready(name), 10, name)

    def is_ready(self, name):
        return request(self.ready_at[name], "GET", "/", timeout=1)[0] == 200

    def write(self, puts, remove=()):
        rows = [{"key": k, "value": base64.b64encode(json.dumps(v).encode()).decode(), "lease": 0} for k, v in puts.items()]
        body = {"expected": [], "puts": rows, "remove": list(remove)}
        assert request(self.kv.address, "POST", "/kv-txn", body, timeout=10)[0] == 200

    def configure(self):
        self.version += 1
        routes = [{"name": kind, "host": "a.example", "prefix": f"/{kind}/", "kind": name, "timeoutMs": 2000,
                   "targetLatencyMs": 200, "maxAttempts": attempts, "service": "s", "resumable": True}
                  for kind, name, attempts in (("read", "idempotent", 2), ("book", "non_idempotent", 1), ("draft", "streaming", 2))]
        more = [{**routes[0], "name": f"more-{i}", "prefix": f"/more-{i}/"} for i in range(self.version % 3)]
        self.write({"op/config": {"version": self.version, "routes": routes + more,
                                  "services": [{"name": "s", "maxConnections": 50}], "tenants": [{"name": "guild", "apiKeys": ["k1"]}]}})

    def list_endpoint(self, index, state):
        self.write({f"servers/{self.back_ends[index].id}":
                    {"service": "s", "address": self.links[index].relayed, "zone": "north-a", "version": "v1", "slots": 8,
                     "state": state, "sequence": 1}})

    def set_limit(self, index, calls_per_second):
        self.back_ends[index].limit = calls_per_second
