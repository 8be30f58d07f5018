"""One byte of one manifest is spoilt on its way from the origin: it reads as the manifest of another version.

Rule WHOLE: no token is made with a layer that was taken while one of its pieces was of another version.
"""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from fleet import Callers, Fleet, TROUBLE, play  # noqa: E402


class SpoilOnce:
    """Changes one bit of the first manifest of version 1 that is sent: its digit 1 becomes a 3."""

    def __init__(self):
        self.lock, self.done = threading.Lock(), False

    def __call__(self, version, text):
        with self.lock:
            if not TROUBLE or self.done or version != 1:
                return text
            self.done = True
        sent = bytearray(text.encode())
        sent[text.index('"version": 1') + len('"version": ')] ^= 0x02
        return sent.decode()


def case(folder):
    fleet = Fleet(folder, entries=1, engines=2)
    fleet.origin.manifest_filter = spoil = SpoilOnce()
    try:
        fleet.begin()
        callers = Callers(fleet, fleet.entries[0], per_second=20)
        callers.begin()
        time.sleep(4)
        fleet.name_version(2)
        time.sleep(10)
        fleet.name_version(3)
        time.sleep(12)
        callers.end()
        if TROUBLE:
            assert spoil.done, "no manifest of version 1 was asked for"
        wrong = [(each.name, run) for each in fleet.engines for run in each.runs if run[3]]
        runs = sum(len(each.runs) for each in fleet.engines)
        served = sum(1 for status in callers.answers.values() if status == 200)
        fleet.record(f"{runs} runs, {served} answered 200; on weights with pieces that are not right: {len(wrong)}")
        for name, (attempt, _, version, bad) in wrong[:20]:
            fleet.record(f"WHOLE broken: {attempt} ran at {name} on version {version} with {len(bad)} pieces of another version")
        print(f"runs {runs}, served {served}, on pieces of another version {len(wrong)}")
        assert served > 100, "hardly anything was served"
        return bool(wrong)
    finally:
        fleet.end()


if __name__ == "__main__":
    play(case, pathlib.Path(__file__).resolve().parent)
