"""An entry host and the machine of a model worker freeze just before new weights are named, and wake 5 s later.

Rule VERSION: later than version_ms after the acknowledgement no request begins on the older version, if a machine in
touch sent it on. The frozen front counts as in touch from stableWindowMs after it woke.
"""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from fleet import BOUNDS, Callers, Fleet, TROUBLE, play  # noqa: E402

FREEZE_SECONDS = 5.0
LEAD_SECONDS = 0.3  # the freeze begins so long before the declaration


def case(folder):
    fleet = Fleet(folder, entries=2, engines=4)
    try:
        fleet.begin()
        callers = [Callers(fleet, each, per_second=25, name=name) for each, name in zip(fleet.entries, "ab")]
        for each in callers:
            each.begin()
        time.sleep(3)
        if TROUBLE:
            frozen = [fleet.entries[0], fleet.agents[0]]
            freezes = [threading.Thread(target=each.freeze, args=(FREEZE_SECONDS,)) for each in frozen]
            for each in freezes:
                each.start()
            time.sleep(LEAD_SECONDS)
        named = fleet.name_version(2)
        woke = named - LEAD_SECONDS + FREEZE_SECONDS if TROUBLE else named - 10
        time.sleep(16)
        for each in callers:
            each.end()
        in_touch = {"a": woke + BOUNDS["stableWindowMs"] / 1000, "b": named}
        bound = named + BOUNDS["version_ms"] / 1000
        late = [(attempt, at - named) for engine in fleet.engines for attempt, at, version, _ in engine.runs
                if version < 2 and at > bound and callers[0 if attempt[0] == "a" else 1].sent[attempt] > in_touch[attempt[0]]]
        runs = sum(len(engine.runs) for engine in fleet.engines)
        served = sum(1 for each in callers for status in each.answers.values() if status == 200)
        fleet.record(f"{runs} runs, {served} answered 200; begun on version 1 later than 8 s after its successor was acknowledged: {len(late)}")
        for attempt, after in late:
            fleet.record(f"VERSION broken: {attempt} began on version 1, {after:.3f} s after version 2 was acknowledged")
        print(f"runs {runs}, served {served}, late on the old version {len(late)}")
        assert served > 100, "hardly anything was served"
        return bool(late)
    finally:
        fleet.end()


if __name__ == "__main__":
    play(case, pathlib.Path(__file__).resolve().parent)
