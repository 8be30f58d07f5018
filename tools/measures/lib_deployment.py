"""Starts a whole deployment on 127.0.0.1 for measures: stand-ins, entries and agents as real processes.

    with Deployment(seed=1) as d:
        d.platform()                                   # key-value service, host list, weight store, origin
        d.add_engine("drafting", domain="gor-a")       # stand-in engine and its agent
        d.add_plain("booking", domain="sta-a")         # stand-in service and its agent
        d.add_entry("entry-1", domain="gor-a")
        d.start()                                      # waits until every process is ready
        d.apply([{"kind": "FailureDomain", "name": "gor-a", "spec": {...}}, ...])
        status, headers, body = d.call("POST", "/v1/completions", {...}, account="office")

Every process is ended by its own id when the block ends. Only the standard library is used.
"""
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BIN = pathlib.Path(os.environ.get("HW_BUILD", ROOT / "build")) / "bin"
REGIONS = {"gor-a": "gorenjska", "sta-a": "stajerska", "pri-a": "primorska"}


# Below the ports of outgoing connections (32768 and up): a process that is already running could take the port of one
# that is not started yet. Each measure begins elsewhere, so that two at a time seldom meet.
LISTEN_PORTS = range(12000, 32000)
next_port = LISTEN_PORTS.start + os.getpid() * 251 % len(LISTEN_PORTS)


def free_port():
    global next_port
    while True:
        port, next_port = next_port, next_port + 1 if next_port + 1 in LISTEN_PORTS else LISTEN_PORTS.start
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def request(address, method, path, body=None, headers=None, timeout=10.0):
    """One HTTP request; gives (status, headers, text). Raises OSError when there is no whole answer."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, text, headers or {})
        answer = connection.getresponse()
        data = answer.read()
        return answer.status, dict((k.lower(), v) for k, v in answer.getheaders()), data.decode("utf-8", "replace")
    except http.client.HTTPException as problem:
        raise OSError(str(problem)) from problem
    finally:
        connection.close()


def wait_until(check, seconds, what):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if check():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise TimeoutError(what)


class Process:
    def __init__(self, name, program, arguments, folder, address):
        self.name, self.program, self.arguments, self.address = name, program, arguments, address
        self.log_path = pathlib.Path(folder) / (name + ".log")
        self.handle = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.handle = subprocess.Popen([str(BIN / self.program), *map(str, self.arguments)],
                                           stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.handle.send_signal(number)

    def kill(self):
        self.handle.kill()
        self.handle.wait()

    def stop(self, seconds=10):
        if self.handle is None or self.handle.poll() is not None:
            return self.handle.returncode if self.handle else None
        self.handle.send_signal(signal.SIGCONT)
        self.handle.terminate()
        try:
            return self.handle.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Deployment:
    def __init__(self, seed=1, regions=None):
        self.seed = seed
        self.regions = regions or REGIONS
        self.folder = tempfile.mkdtemp(prefix="hibiscuswall-")
        self.standins, self.agents, self.entries = [], {}, {}
        self.engines, self.hosts = {}, []
        self.addresses = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        everyone = [*self.entries.values(), *self.agents.values(), *self.standins]
        for process in everyone:
            if process.handle is not None and process.handle.poll() is None:
                process.handle.kill()
        for process in everyone:
            if process.handle is not None:
                process.handle.wait()

    def address(self, key):
        return self.addresses.setdefault(key, f"127.0.0.1:{free_port()}")

    def standin(self, name, program, *arguments):
        where = self.address(name)
        process = Process(name, program, ["--listen", where, *arguments], self.folder, where)
        self.standins.append(process)
        return process

    def platform(self, weights=(), store_arguments=(), origin_arguments=()):
        self.standin("key-value", "standin-kv")
        self.hosts_file = pathlib.Path(self.folder) / "hosts.json"
        self.standin("host-list", "standin-hosts", "--hosts", self.hosts_file)
        self.standin("weight-store", "standin-weights", *weights, *store_arguments)
        self.standin("origin", "standin-weights", *weights, *origin_arguments)

    def platform_settings(self):
        return {"key_value": [self.address("key-value")], "host_list": self.address("host-list"),
                "weight_store": self.address("weight-store"), "origin": self.address("origin")}

    def settings_file(self, name, settings):
        path = pathlib.Path(self.folder) / (name + ".json")
        path.write_text(json.dumps(settings))
        return path

    def add_agent(self, name, domain, endpoint, extra=None):
        where = self.address(name)
        settings = {"name": name, "region": self.regions[domain], "failure_domain": domain, "listen": where,
                    "platform": self.platform_settings(), "endpoint": endpoint}
        settings.update(extra or {})
        path = self.settings_file(name, settings)
        self.agents[name] = Process(name, "hibiscus-agent", ["--settings", path, "--seed", self.seed], self.folder, where)
        self.hosts.append({"name": name, "role": "agent", "address": where, "region": self.regions[domain],
                           "failure_domain": domain, "service": endpoint["service"], "state": "live"})
        return self.agents[name]

    def add_engine(self, service, domain, fencing="enforced", arguments=(), extra=None):
        name = f"{service}-{len(self.agents) + 1}"
        engine = self.standin("engine-" + name, "standin-engine", *arguments)
        self.engines[name] = engine
        return self.add_agent(name, domain, {"type": "engine", "address": engine.address, "service": service,
                                             "fencing": fencing}, extra)

    def add_plain(self, service, domain, arguments=(), extra=None):
        name = f"{service}-{len(self.agents) + 1}"
        plain = self.standin("service-" + name, "standin-service", *arguments)
        self.engines[name] = plain
        return self.add_agent(name, domain, {"type": "plain", "address": plain.address, "service": service}, extra)

    def add_entry(self, name, domain, extra=None):
        control = self.address(name + "-control")
        settings = {"name": name, "region": self.regions[domain], "failure_domain": domain,
                    "client_listen": self.address(name), "control_listen": control,
                    "platform": self.platform_settings()}
        settings.update(extra or {})
        path = self.settings_file(name, settings)
        self.entries[name] = Process(name, "hibiscus-entry", ["--settings", path, "--seed", self.seed], self.folder, control)
        self.hosts.append({"name": name, "role": "entry", "address": control, "region": self.regions[domain],
                           "failure_domain": domain, "service": "", "state": "live"})
        return self.entries[name]

    def start(self, seconds=20):
        self.hosts_file.write_text(json.dumps({"hosts": self.hosts}))
        for process in self.standins:
            process.start()
        for process in self.standins:
            wait_until(lambda p=process: socket.create_connection(p.address.split(":"), 1).close() or True, seconds, process.name)
        for process in [*self.entries.values(), *self.agents.values()]:
            process.start()
        for process in [*self.entries.values(), *self.agents.values()]:
            wait_until(lambda p=process: request(p.address, "GET", "/healthz", timeout=1)[0] == 200, seconds, process.name)

    def apply(self, resources, entry=None, timeout=10.0):
        entry = entry or next(iter(self.entries.values()))
        status, _, body = request(entry.address, "POST", "/v1/apply", {"resources": resources}, timeout=timeout)
        if status != 200:
            raise OSError(f"apply: {status} {body}")
        return json.loads(body)

    def call(self, method, path, body=None, account="demo-key", headers=None, entry=None, timeout=10.0):
        name = entry or next(iter(self.entries))
        return request(self.address(name), method, path, body,
                       {"Authorization": "Bearer " + account, "Content-Type": "application/json", **(headers or {})}, timeout)

    def wait_ready(self, names=None, seconds=30):
        """Until every agent's endpoint takes work (rpc endpoint.status) and every entry is ready."""
        for name, process in {**self.agents, **self.entries}.items():
            if names is not None and name not in names:
                continue
            wait_until(lambda p=process: request(p.address, "GET", "/readyz", timeout=1)[0] == 200, seconds, name + " ready")


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def report(figures):
    """Prints name=value seed= bound= verdict= lines; gives the exit code. figures: (name, value, bound, holds, extra)."""
    worst = 0
    for name, value, bound, holds, extra in figures:
        text = f"{value:.4g}" if isinstance(value, float) else str(value)
        verdict = "none" if bound is None else ("ok" if holds else "broken")
        worst = max(worst, int(verdict == "broken"))
        print(f"{name}={text} bound={bound if bound is not None else 'none'} verdict={verdict} {extra}".rstrip(), flush=True)
    return worst
