"""The machine of a model worker freezes while its agent compares the staged pieces; one piece turns bad meanwhile.

Rule WHOLE: no token is made with a layer that was taken while one of its pieces was spoilt, unless the piece had turned
bad there in the last 3 s.
"""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from fleet import Callers, CHUNKS, Fleet, TROUBLE, pieces_of, play  # noqa: E402

FREEZE_SECONDS = 4.0
READ_UNTIL_FREEZE = 40  # pieces of the comparison that were read when the freeze begins
SPOILT_PIECE = 3


def case(folder):
    fleet = Fleet(folder, entries=1, engines=2)
    engine, frozen = fleet.engines[0], threading.Event()

    def on_stage_read(index):
        whole = len(engine.staged) == CHUNKS and all(engine.staged[i] == each for i, each in enumerate(pieces_of(2)))
        if TROUBLE and whole and index == READ_UNTIL_FREEZE and not frozen.is_set():
            frozen.set()
            threading.Thread(target=fleet.agents[0].freeze, args=(FREEZE_SECONDS,)).start()
            threading.Timer(0.3, engine.turn_bad, (SPOILT_PIECE,)).start()

    engine.on_stage_read = on_stage_read
    try:
        fleet.begin()
        callers = Callers(fleet, fleet.entries[0], per_second=20)
        callers.begin()
        time.sleep(3)
        fleet.name_version(2)
        time.sleep(18)
        callers.end()
        if TROUBLE:
            assert frozen.is_set(), "the agent compared no staged pieces"
        wrong = [(each.name, run) for each in fleet.engines for run in each.runs if run[3]]
        runs = sum(len(each.runs) for each in fleet.engines)
        served = sum(1 for status in callers.answers.values() if status == 200)
        fleet.record(f"{runs} runs, {served} answered 200; on weights with pieces that are not right: {len(wrong)}")
        for name, (attempt, _, version, bad) in wrong[:20]:
            fleet.record(f"WHOLE broken: {attempt} ran at {name} on version {version} with bad pieces {bad}")
        print(f"runs {runs}, served {served}, on spoilt weights {len(wrong)}")
        assert served > 100, "hardly anything was served"
        return bool(wrong)
    finally:
        fleet.end()


if __name__ == "__main__":
    play(case, pathlib.Path(__file__).resolve().parent)
