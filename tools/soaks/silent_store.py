"""Open connections to the store that go silent for good while new ones work, and an endpoint that leaves just after.

    silences = SilentStore(deployment, faults, seed)
    silences.start(); ...; silences.finish()
    silences.within(begun, ended)              # whether connections went silent between these times
"""
import time

from beside_faults import BesideFaults
from direct_deployment import BACK_ENDS
from lib_deployment import request

PAUSE_SECONDS = (0.5, 3.0)
LEAVES_AFTER_SECONDS = (0.0, 0.4)


class SilentStore(BesideFaults):
    def __init__(self, deployment, faults, seed):
        super().__init__(f"{seed}-silent-store")
        self.d, self.faults = deployment, faults
        self.silent_at = []

    def run(self):
        while not self.stop.wait(self.rng.uniform(*PAUSE_SECONDS)):
            index = self.rng.randrange(0, BACK_ENDS, 2)  # of those whose address stays free for a while
            print(f"# connections to the store go silent, endpoint {index} leaves", flush=True)
            with self.faults.locks[f"link-{index}"]:
                request(self.d.store_proxy.address, "POST", "/v1/silence", {})
                self.silent_at.append(time.monotonic())
                time.sleep(self.rng.uniform(*LEAVES_AFTER_SECONDS))
                self.faults.leave(index, self.rng)

    def within(self, begun, ended):
        return any(begun < at <= ended for at in self.silent_at)
