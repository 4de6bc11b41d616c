"""Runs both deployments for a short time and checks the guarantees that users rely on.

Checks that every sample arrives once, correctly labelled and within the staleness
bound, that live requests succeed, and that confirmations run exactly once.
Prints a table; exits with 1 when a guarantee does not hold.
"""

import argparse
import json
import sys
import tempfile
import threading
import time
import uuid
from pathlib import Path

from clients import LoadThread, Trainer, authorization, quantile, stream_completion
from deployment import Deployment, call, default_binaries
from topologies import gulf_reach, prompts, ruta_clara

GROUPS_PER_STEP = 6
SAMPLES_PER_GROUP = 12
MAX_TOKENS = 600


class DeploymentRun:
    """Training steps and live load on one deployment, with a weight change in the first step."""

    def __init__(self, deployment, plan):
        self.deployment = deployment
        self.plan = plan
        self.trainer = Trainer(deployment, plan["training"], seed=7)
        self.loads = {}
        self.sent_keys = []

    def run(self):
        for name, send_request, interval_s in self.plan["loads"](self):
            self.loads[name] = LoadThread(send_request, interval_s)
            self.loads[name].start()
        groups = [{"group_id": f"g{number}", "prompt": prompt,
                   "samples": SAMPLES_PER_GROUP, "max_tokens": MAX_TOKENS}
                  for number, prompt in enumerate(prompts(self.plan["prompts"])[:GROUPS_PER_STEP])]
        weight_change = threading.Timer(1.0, self._change_weights)
        weight_change.start()
        self.trainer.run_step("step-1", 1, groups)
        weight_change.join()
        self.trainer.run_step("step-2", 2, groups)
        for load in self.loads.values():
            load.finish()

    def _change_weights(self):
        status, response = self.deployment.announce(self.plan["training"], self.plan["model"], 2)
        if status != 202:
            raise RuntimeError(f"announcement of the weight version failed: {status} {response}")

    def completion(self, service, prompt_file):
        lines = prompts(prompt_file)

        def send_request(number):
            entry = self.deployment.entries[number % len(self.deployment.entries)]
            return stream_completion(entry, service, lines[number % len(lines)], 40, seed=number)
        return send_request

    def plain(self, service, method, path, keyed=False):
        def send_request(number):
            entry = self.deployment.entries[number % len(self.deployment.entries)]
            headers = authorization(service)
            if keyed:
                key = str(uuid.uuid4())
                headers["Idempotency-Key"] = key
                headers["Idempotency-Key-Issued"] = str(int(time.time() * 1000))
                self.sent_keys.append(key)
            started = time.monotonic()
            body = {"slot": number} if method == "POST" else None
            statuses = [call(f"{entry.url}/plain/{service}{path}", method, body, headers)[0]]
            if keyed:
                # The caller repeats the request with the same key at another entry.
                other_entry = self.deployment.entries[(number + 1) % len(self.deployment.entries)]
                statuses.append(
                    call(f"{other_entry.url}/plain/{service}{path}", method, body, headers)[0])
            seconds = (time.monotonic() - started) / len(statuses)
            return {"seconds": seconds, "statuses": statuses}
        return send_request

    def executions(self):
        by_key = {}
        for server in self.deployment.servers:
            if server.pool.kind != "plain":
                continue
            _, record = call(f"{server.backend_url}/record")
            for execution in record["executions"]:
                key = execution.get("key")
                if key:
                    by_key[key] = by_key.get(key, 0) + 1
        return by_key


def report(name, run):
    """Prints the table of one deployment; returns one line per failed check."""
    failures = []
    reports = run.trainer.reports
    requested = sum(each.requested for each in reports)
    delivered = sum(len(each.samples) for each in reports)
    duplicate = sum(each.duplicates for each in reports)
    problems = [problem for each in reports for problem in each.problems]
    stale = sum(each.stale for each in reports)
    print(f"\n{name}")
    print(f"  samples asked {requested}, delivered {delivered}, duplicate {duplicate}, "
          f"mislabelled {len(problems)}, stale {stale}")
    steps = ", ".join(f"{each.ended - each.started:.2f} s" for each in reports)
    print(f"  trainer idle {run.trainer.idle_s:.2f} s (steps: {steps})")
    if delivered != requested or duplicate or problems or stale:
        failures.append(f"{name}: samples: {problems[:3]}")
    for load_name, load in run.loads.items():
        if load.records and not isinstance(load.records[0], dict):
            failed_calls = [each for each in load.records
                            if each.outcome != "whole" or each.problems]
            times = [each.seconds for each in load.records]
        else:
            failed_calls = [each for each in load.records
                            if any(status != 200 for status in each["statuses"])]
            times = [each["seconds"] for each in load.records]
        print(f"  live {load_name}: {len(load.records)} calls, {len(failed_calls)} not whole, "
              f"p50 {1000 * quantile(times, 0.5):.1f} ms, "
              f"p99 {1000 * quantile(times, 0.99):.1f} ms")
        if failed_calls or not load.records:
            failures.append(f"{name}: {load_name}: {failed_calls[:2]}")
    if run.sent_keys:
        executions = run.executions()
        duplicated = [key for key in run.sent_keys if executions.get(key, 0) > 1]
        lost = [key for key in run.sent_keys if executions.get(key, 0) == 0]
        print(f"  confirmations {len(run.sent_keys)}, run twice {len(duplicated)}, "
              f"lost {len(lost)}")
        if duplicated or lost:
            failures.append(f"{name}: confirmations twice {duplicated} lost {lost}")
    for service, tokens in sorted(served_tokens(run.deployment).items()):
        print(f"  served {service}: {tokens} tokens")
    return failures


def served_tokens(deployment):
    """Generated tokens per service, from the sidecars' metrics."""
    served = {}
    for server in deployment.servers:
        if server.pool.kind != "engine":
            continue
        _, text = call(f"{server.sidecar_url}/metrics")
        for line in str(text).splitlines():
            if line.startswith("carobbank_served_tokens_total{") and 'phase="generated"' in line:
                service = line.split('service="')[1].split('"')[0]
                served[service] = served.get(service, 0) + int(float(line.rsplit(" ", 1)[1]))
    return served


def save_timeline(deployment, path):
    """Writes the timeline events of all processes to one JSON file."""
    pages = {}
    urls = [entry.url for entry in deployment.entries] + [
        server.sidecar_url for server in deployment.servers]
    for url in urls:
        _, pages[url] = call(f"{url}/timeline?after=0")
    Path(path).write_text(json.dumps(pages))


RUTA_CLARA = {
    "training": "scorer-rollouts", "model": "scorer", "prompts": "scored_scenarios.txt",
    "loads": lambda run: [
        ("coaching", run.completion("coaching", "scored_scenarios.txt"), 0.1),
        ("records", run.plain("records", "GET", "/drivers/17/certificates"), 0.02),
    ],
}
GULF_REACH = {
    "training": "transfer-rollouts", "model": "policy", "prompts": "crew_transfers.txt",
    "loads": lambda run: [
        ("dispatch", run.plain("dispatch", "POST", "/slots/b2/confirm", keyed=True), 0.05),
        ("roster", run.plain("roster", "GET", "/crew/platform-7"), 0.05),
    ],
}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default=default_binaries())
    parser.add_argument("--folder",
                        help="folder for settings and logs; default: a new temporary one")
    parser.add_argument("--time-scale", type=float, default=0.1,
                        help="factor on the stand-in engines' times; 1 is a real engine's speed")
    arguments = parser.parse_args()
    folder = Path(arguments.folder or tempfile.mkdtemp(prefix="carobbank-demo-"))
    failures = []
    for make_topology, plan in ((ruta_clara, RUTA_CLARA), (gulf_reach, GULF_REACH)):
        topology = make_topology(arguments.time_scale)
        with Deployment(topology, arguments.binaries, folder / topology.name) as deployment:
            run = DeploymentRun(deployment, plan)
            run.run()
            failures += report(topology.name, run)
            path = folder / f"{topology.name}-timeline.json"
            save_timeline(deployment, path)
            print(f"  timeline: {path}")
    for each in failures:
        print("BROKEN", each)
    print("\nevery promise held" if not failures else f"\n{len(failures)} promises broken")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
