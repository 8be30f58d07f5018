"""Soak of entries that call the endpoints themselves, on a platform with a shared store: see tools/soak.

Faults, one to three at a time, in overlapping series: entries killed, stopped (SIGTERM), told to reload (SIGHUP) and
paused; the store paused, refused and silent; links to endpoints delayed, reset, cut one way or both ways, broken off
within an answer; endpoints that leave and are replaced at their address; configurations; beside them connections to the
store that go silent for good. The violations:
  doubled        a booking that ran twice
  lost           a booking answered 200 that no endpoint ran
  false_not_run  a call whose answer says "not run" but that ran
  denied         404 or 401 for a known route and key
  foreign        an answer or a stream of another call, or a stream that looks whole but misses events
  cut            a call that ran, whose connection an entry closed without an answer though it was not killed or paused
  held           an answer later than the caller's deadline and the grace after it
  after_leaving  a call that reached an endpoint later than the bound after it had left
  exits          an entry that ended by itself
  over_limit     an endpoint that got more calls in 4 s than the limit allows that it named
  not_recovered  an entry that does not serve soon after all faults are taken back
"""
import http.client
import random
import re
import threading
import time

from back_end import EVENTS
from direct_deployment import DirectDeployment
from direct_faults import Faults, LEAVING_SECONDS
from lib_deployment import request, wait_until
from named_limits import NamedLimits
from silent_store import SilentStore

CALLERS = 8
DEADLINE_SECONDS = 1.5
GRACE_SECONDS = 1.0  # answers later than the deadline by more are late
RECOVERY_SECONDS = 8.0
NOT_RUN = (401, 404, 408, 421, 429, 503)
KINDS = {"read": "GET", "book": "POST", "draft": "POST"}

# ---- callers


class Callers:
    """Call until told to stop. A connection is used until the entry closes it or the process is gone."""

    def __init__(self, deployment, seed):
        self.d, self.seed = deployment, seed
        self.stop, self.lock = threading.Event(), threading.Lock()
        self.counts, self.calls = {}, []
        self.threads = [threading.Thread(target=self.run, args=(i,), daemon=True) for i in range(CALLERS)]

    def finish(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def run(self, index):
        rng, number, open_to, connection = random.Random(f"{self.seed}-caller-{index}"), 0, None, None
        while not self.stop.is_set():
            if connection is None:
                open_to = rng.choice(list(self.d.entries))
                host, port = self.d.listening[open_to].split(":")
                connection = http.client.HTTPConnection(host, int(port), timeout=DEADLINE_SECONDS + 4)
            number += 1
            kind = rng.choice(list(KINDS))
            call = self.call(connection, open_to, kind, f"{kind}-{index}-{number}")
            with self.lock:
                self.calls.append(call)
                key = (kind, str(call["status"]))
                self.counts[key] = self.counts.get(key, 0) + 1
            if call["closed"]:
                connection.close()
                connection = None
            time.sleep(rng.random() * 0.03)

    @staticmethod
    def call(connection, entry, kind, attempt):
        call = {"kind": kind, "attempt": attempt, "entry": entry, "begun": time.monotonic(), "text": "", "closed": True}
        headers = {"Host": "a.example", "X-Hibiscuswall-Attempt-Id": attempt, "X-Hibiscuswall-Key": "k1",
                   "X-Hibiscuswall-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000))}
        try:
            connection.request(KINDS[kind], f"/{kind}/{attempt}", "visit" if kind == "book" else None, headers)
            answer = connection.getresponse()
            call["status"] = answer.status
            call["text"] = answer.read().decode()
            call["closed"] = answer.will_close
        except ConnectionRefusedError:
            call["status"] = "refused"
        except http.client.IncompleteRead:
            call["status"] = "broken"
        except (OSError, http.client.HTTPException):
            call["status"] = "none"
        call["ended"] = time.monotonic()
        return call


# ---- checks


def check(d, callers, faults, limits, silences, not_recovered):
    runs = {}
    for back_end in d.back_ends:
        for run in back_end.runs:
            runs.setdefault(run.attempt, []).append(run)
    found = {name: [] for name in ("doubled", "lost", "false_not_run", "denied", "foreign", "cut", "held")}
    for call in callers.calls:
        ran = runs.get(call["attempt"], [])
        for name in violations(call, ran, faults):
            found[name].append({**call, "text": call["text"][:200], "runs": ran})
    found["after_leaving"] = [late for each in faults.left for late in late_calls(d, callers, faults, silences, *each)]
    return {**found, "over_limit": over_limit(d, callers, faults, limits), "exits": faults.exits, "not_recovered": not_recovered}


def late_calls(d, callers, faults, silences, identity, index, left_at):
    """An entry that was disturbed meanwhile is excused; links of other endpoints delay nothing here."""
    entry_of, bound = {call["attempt"]: call["entry"] for call in callers.calls}, left_at + LEAVING_SECONDS
    if any(faults.overlaps(what, left_at, bound) for what in ("store", f"link-{index}")):
        return
    for run in d.back_ends[index].runs:
        entry = entry_of.get(run.attempt)
        excused = faults.overlaps(entry, left_at, bound) or silences.within(run.at - LEAVING_SECONDS, run.at)
        if run.endpoint == identity and run.at > bound and not excused:
            yield {"endpoint": identity, "entry": entry, "after": round(run.at - left_at, 3), "run": run}


def over_limit(d, callers, faults, limits):
    """An entry that was killed, stopped or paused is excused, and so is what a broken link held up."""
    entry_of = {call["attempt"]: call["entry"] for call in callers.calls}

    def arrivals(index):
        return [(at, entry_of.get(attempt)) for at, attempt in d.back_ends[index].arrivals]

    def disturbed(entry, index, begun, ended):
        names = (f"link-{index}", f"leave-{index}") if entry is None else (entry, f"stop-{entry}")
        return any(faults.overlaps(name, begun, ended) for name in names)
    return limits.violations(arrivals, disturbed)


def violations(call, ran, faults):
    status, disturbed = call["status"], faults.overlaps(call["entry"], call["begun"], call["ended"])
    if call["kind"] == "book" and len(ran) > 1:
        yield "doubled"
    if call["kind"] == "book" and status == 200 and not ran:
        yield "lost"
    if status in NOT_RUN and ran:
        yield "false_not_run"
    if status in (401, 404):
        yield "denied"
    if status == 200 and not is_own(call):
        yield "foreign"
    if status == "none" and ran and not disturbed:
        yield "cut"
    if call["ended"] - call["begun"] > DEADLINE_SECONDS + GRACE_SECONDS and not disturbed:
        yield "held"


def is_own(call):
    if call["kind"] != "draft":
        return call["text"].startswith(call["attempt"] + " ")
    ids = [int(each) for each in re.findall(r"^id: (\d+)$", call["text"], re.M)]
    owners = set(re.findall(r"^data: (\S+)$", call["text"], re.M))
    return ids == list(range(1, EVENTS + 1)) and owners == {call["attempt"]}


def recovered(d, name):
    """Twenty reads in a row are answered."""
    headers = {"Host": "a.example", "X-Hibiscuswall-Key": "k1", "X-Hibiscuswall-Deadline-Ms": "1500"}
    answers = [request(d.listening[name], "GET", "/read/x", headers={**headers, "X-Hibiscuswall-Attempt-Id": f"after-{i}"}, timeout=3)[0]
               for i in range(20)]
    return answers.count(200) == len(answers)


def run(seed, seconds):
    """Runs the soak; gives the counts of calls and the violations by name."""
    with DirectDeployment(seed) as d:
        callers = Callers(d, seed)
        try:
            d.begin()
            faults = Faults(d, seed)
            limits = NamedLimits(range(len(d.back_ends)), d.set_limit, seed)
            silences = SilentStore(d, faults, seed)
            for thread in callers.threads:
                thread.start()
            limits.start()
            silences.start()
            faults.run(seconds)
            silences.finish()
            limits.finish()
            callers.finish()
            return callers.counts, check(d, callers, faults, limits, silences, look_after(d, faults))
        finally:
            callers.stop.set()
            for back_end in d.back_ends:
                back_end.stop()


def look_after(d, faults):
    """Notes the entries that ended; gives those that do not serve again."""
    not_recovered = []
    for name, process in d.entries.items():
        if process.handle.poll() is not None:
            faults.exits.append(f"{name} ended with {process.handle.returncode}")
        try:
            wait_until(lambda: recovered(d, name), RECOVERY_SECONDS, name)
        except TimeoutError:
            not_recovered.append(name)
    return not_recovered
