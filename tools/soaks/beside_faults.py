"""Something that happens again and again beside a soak's faults, in a thread and from a seed of its own.

    class Something(BesideFaults):
        def run(self): ...                     # until self.stop is set; draws from self.rng
    something = Something(f"{seed}-something")
    something.start(); ...; something.finish()
"""
import random
import threading


class BesideFaults:
    def __init__(self, seed):
        self.rng, self.stop = random.Random(seed), threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        self.thread.start()

    def finish(self):
        self.stop.set()
        self.thread.join()

    def run(self):
        raise NotImplementedError
