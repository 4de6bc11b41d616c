"""Measures the served tokens of backlogged services at one engine, for each strategy.

Three services with shares 1:2:4 and different output lengths keep one stand-in
engine backlogged. Prints each service's fraction of the served tokens, in units of
the smallest share, for each window, and again for each of the three seconds after
the service with the largest share returns from an idle period.
"""

import argparse
import tempfile
import threading
import time
from pathlib import Path

from clients import stream_completion
from deployment import Deployment, call, default_binaries, sha256_hex, token_of
from topologies import Pool, Topology

SHARES = {"one": 100, "two": 200, "four": 400}
MAX_TOKENS = {"one": 90, "two": 40, "four": 40}
CALLERS_PER_SERVICE = 24
WARM_UP_S = 4
IDLE_S = 6


def write_document(folder, name):
    path = folder / f"{name}.yaml"
    path.write_text(
        f"name: {name}\nteam: team-{name}\nkind: model\npool: lm\nmodel: m\n"
        f"class: background\nshare: {SHARES[name]}\n"
        f"callers: [{{name: c, token_sha256: {sha256_hex(token_of(name))}}}]\n")
    return path


class Backlog:
    """Callers that keep each active service backlogged."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.active = dict.fromkeys(SHARES, True)
        self.stopped = False
        self.failed_calls = 0

    def start(self):
        for name in SHARES:
            for caller in range(CALLERS_PER_SERVICE):
                threading.Thread(target=self._call, args=(name, caller), daemon=True).start()

    def _call(self, name, caller):
        entries = self.deployment.entries
        number = 0
        while not self.stopped:
            if not self.active[name]:
                time.sleep(0.02)
                continue
            number += 1
            record = stream_completion(entries[caller % len(entries)], name,
                                       f"drill {caller} of {name}", MAX_TOKENS[name],
                                       seed=1000 * caller + number)
            if record.outcome != "whole":
                self.failed_calls += 1
                time.sleep(0.05)


def served_tokens(deployment):
    _, status = call(deployment.servers[0].sidecar_url + "/status")
    return {row["service"]: row["served_tokens"] for row in status["services"]}


def measure_window(deployment, seconds):
    """Fractions of the tokens served within `seconds`, in units of the smallest share."""
    before = served_tokens(deployment)
    time.sleep(seconds)
    after = served_tokens(deployment)
    tokens = {name: after[name] - before[name] for name in SHARES}
    units = sum(SHARES.values()) / min(SHARES.values())
    total = max(1, sum(tokens.values()))
    return {name: round(units * count / total, 3) for name, count in tokens.items()}


def measure(strategy, arguments, folder):
    topology = Topology(
        name="shares", region="r", data_centers=["a"], latency_ms=1,
        pools=[Pool("lm", "engine", 1, ["a"], model="m",
                    options={"time_scale": arguments.time_scale, "version": 1})],
        documents=[write_document(folder, name) for name in SHARES], entries=2,
        sidecar_settings={"scheduling": {"strategy": strategy}})
    with Deployment(topology, arguments.binaries, folder / strategy) as deployment:
        backlog = Backlog(deployment)
        backlog.start()
        time.sleep(WARM_UP_S)
        for _ in range(arguments.windows):
            print(f"{strategy}: {arguments.seconds} s: "
                  f"{measure_window(deployment, arguments.seconds)}",
                  flush=True)
        backlog.active["four"] = False
        time.sleep(IDLE_S)
        backlog.active["four"] = True
        for second in range(1, 4):
            print(f"{strategy}: second {second} after the return: {measure_window(deployment, 1)}",
                  flush=True)
        backlog.stopped = True
        print(f"{strategy}: responses that were not whole: {backlog.failed_calls}", flush=True)
        time.sleep(1)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default=default_binaries())
    parser.add_argument("--strategies", default="fair_share,fifo")
    parser.add_argument("--windows", type=int, default=3)
    parser.add_argument("--seconds", type=int, default=10)
    parser.add_argument("--time-scale", type=float, default=0.5)
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="carobbank-shares-"))
    for strategy in arguments.strategies.split(","):
        measure(strategy, arguments, folder)


if __name__ == "__main__":
    main()
