"""Endpoints that name the rate of calls that they take, at times drawn from a seed of its own.

    limits = NamedLimits(names, set_limit, seed)  # set_limit(name, calls a second, or None)
    limits.start(); ...; limits.finish()
    limits.violations(arrivals, disturbed)        # first time of each limit at which its endpoint got too many calls
"""
import time

from beside_faults import BesideFaults

RATES = (0.5, 2.0, 5.0, 20.0)  # calls a second, from all entries together
LENGTH_SECONDS = (4.0, 9.0)
PAUSE_SECONDS = (0.5, 2.0)
COMPLY_SECONDS = 3.0  # after an endpoint first named its limit
WINDOW_SECONDS = 4.0
TOLD_SECONDS = 1.0  # after which an entry that was started or went on knows the limits again


class NamedLimits(BesideFaults):
    def __init__(self, names, set_limit, seed):
        super().__init__(f"{seed}-limits")
        self.names, self.set_limit = list(names), set_limit
        self.named = []  # (name, rate, begun, ended)

    def run(self):
        while not self.stop.wait(self.rng.uniform(*PAUSE_SECONDS)):
            name, rate = self.rng.choice(self.names), self.rng.choice(RATES)
            length = self.rng.uniform(*LENGTH_SECONDS)
            print(f"# limit {rate} at {name} for {length:.1f} s", flush=True)
            begun = time.monotonic()
            self.set_limit(name, rate)
            self.stop.wait(length)
            self.set_limit(name, None)
            self.named.append((name, rate, begun, time.monotonic()))

    def violations(self, arrivals, disturbed):
        found = []
        for name, rate, begun, ended in self.named:
            calls = [call for call in arrivals(name) if begun - WINDOW_SECONDS <= call[0] <= ended]
            first = next((at for at, _ in calls if at >= begun), ended)
            for at, _ in calls:
                since = at - WINDOW_SECONDS - TOLD_SECONDS
                if at < first + COMPLY_SECONDS or disturbed(None, name, since, at):
                    continue
                sound = {sender for _, sender in calls if not disturbed(sender, name, since, at)}
                count = sum(at - WINDOW_SECONDS < each <= at and sender in sound for each, sender in calls)
                if count > 6 * rate + 5:
                    found.append({"endpoint": name, "limit": rate, "calls": count, "after": round(at - begun, 2)})
                    break
        return found
