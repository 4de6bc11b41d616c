"""The kinds of experiment.

Each kind is a function of the experiment's description that returns rows:
dictionaries of figures, one for each run.
"""

import threading
import time

from bench_support import (
    LoadProgram, bench_topology, connection_bytes, cpu_seconds, served_by_service, process_usage)
from clients import Trainer

from topologies import prompts

PROMPT_FILE = "scored_scenarios.txt"


def make_groups(seed, step, count, samples, max_tokens=16384):
    lines = prompts(PROMPT_FILE)
    return [{"group_id": f"g{number}", "samples": samples, "max_tokens": max_tokens,
             "prompt": f"{lines[number % len(lines)]} ({seed}.{step}.{number})"}
            for number in range(count)]


def added_latency(spec, make_deployment):
    """Latency of live completions through entry and sidecar, and to the engines directly."""
    rows = []
    with make_deployment("added", spec, [{"name": "live", "service_class": "live"}]) as deployment:
        targets = {"direct": ([server.backend_url for server in deployment.servers], ""),
                   "carobbank": ([entry.url for entry in deployment.entries], "live")}
        entries = [entry.instance for entry in deployment.entries]
        sidecars = [server.instance for server in deployment.servers]
        for seed in spec["seeds"]:
            for way, (urls, service) in targets.items():
                before = [cpu_seconds(deployment, names) for names in (entries, sidecars)]
                result = LoadProgram(deployment, urls, service, seed=seed * 1_000_000,
                                     **spec["load"]).result()
                after = [cpu_seconds(deployment, names) for names in (entries, sidecars)]
                rows.append({"seed": seed, "way": way, **flatten_result(result),
                             "entry_s": after[0] - before[0],
                             "sidecars_s": after[1] - before[1]})
    return rows


def saturation(spec, make_deployment):
    """Throughput of one entry in a closed loop, by concurrency."""
    rows = []
    with make_deployment("saturation", spec,
                         [{"name": "live", "service_class": "live"}]) as deployment:
        entries = [entry.instance for entry in deployment.entries]
        sidecars = [server.instance for server in deployment.servers]
        for seed in spec["seeds"]:
            for concurrency in spec["concurrency"]:
                started = time.monotonic()
                before = [cpu_seconds(deployment, names) for names in (entries, sidecars)]
                result = LoadProgram(deployment, [deployment.entries[0].url], "live",
                                     seed=seed * 1_000_000,
                                     concurrency=concurrency, **spec["load"]).result()
                after = [cpu_seconds(deployment, names) for names in (entries, sidecars)]
                seconds = time.monotonic() - started
                row = {"seed": seed, "concurrency": concurrency, **flatten_result(result)}
                row["requests_per_s"] = row["whole"] / row["measured_seconds"]
                row["tokens_per_s"] = row["tokens"] / row["measured_seconds"]
                row["entry_cores"] = (after[0] - before[0]) / seconds
                row["sidecars_cores"] = (after[1] - before[1]) / seconds
                rows.append(row)
    return rows


def flatten_result(result):
    """One row from the nested result of a load program."""
    row = {f"{kind}_{name}": result[kind][name]
           for kind in ("latency", "first_token") for name in ("p50_us", "p90_us", "p99_us")}
    outcomes = result["outcomes"]
    row.update({name: result[name] for name in
                ("chunks", "tokens", "not_begun", "most_late_us", "measured_seconds")})
    row["whole"] = outcomes.get("whole", 0)
    row["others"] = {name: count for name, count in outcomes.items() if name != "whole"}
    return row


class TrainingLoad:
    """Submits one long step for each service; the steps run until the deployment stops."""

    def __init__(self, deployment, services, seed, groups, samples):
        self.threads = []
        for service in services:
            trainer = Trainer(deployment, service, seed=seed)
            thread = threading.Thread(
                target=self._submit, daemon=True,
                args=(trainer, f"{service}-{seed}", make_groups(seed, service, groups, samples)))
            thread.start()
            self.threads.append(thread)
        for thread in self.threads:
            thread.join()

    @staticmethod
    def _submit(trainer, request_id, groups):
        body = {"service": trainer.service, "request_id": request_id, "step": request_id,
                "named_version": 1, "groups": groups}
        trainer.request_with_retries("/v1/rollouts", "POST", body)


def live_isolation(spec, make_deployment):
    """Live completions without other load, then beside saturating training, on the same engines."""
    rows = []
    services = [{"name": "live", "service_class": "live"},
                {"name": "rollouts", "service_class": "training"}]
    for seed in spec["seeds"]:
        with make_deployment(f"live-{seed}", spec, services, seed=seed) as deployment:
            urls = [entry.url for entry in deployment.entries]
            without_training = LoadProgram(deployment, urls, "live", seed=seed * 1_000_000,
                                           **spec["load"]).result()
            TrainingLoad(deployment, ["rollouts"], seed, spec["groups"], spec["samples"])
            time.sleep(1)
            before = served_by_service(deployment)
            with_training = LoadProgram(deployment, urls, "live", seed=seed * 2_000_000,
                                        **spec["load"]).result()
            after = served_by_service(deployment)
            training_tokens = after["rollouts"] - before.get("rollouts", 0)
            for way, result in (("alone", without_training), ("beside_training", with_training)):
                rows.append({"seed": seed, "way": way, **flatten_result(result),
                             "training_tokens": training_tokens if way != "alone" else 0})
    return rows


def fair_share(spec, make_deployment):
    """Fraction of the tokens that each backlogged training service receives, by window."""
    shares = spec["shares"]
    services = [{"name": f"share-{share}", "service_class": "training", "share": share}
                for share in shares]
    rows = []
    for seed in spec["seeds"]:
        with make_deployment(f"share-{seed}", spec, services, seed=seed) as deployment:
            names = [service["name"] for service in services]
            TrainingLoad(deployment, names, seed, spec["groups"], spec["samples"])
            time.sleep(spec["settle_s"])
            snapshots = []
            end = time.monotonic() + spec["measure_s"]
            while time.monotonic() < end:
                snapshots.append((time.monotonic(), served_by_service(deployment)))
                time.sleep(0.5)
            rows += share_rows(seed, shares, snapshots, spec["window_s"])
    return rows


def share_rows(seed, shares, snapshots, window_s):
    rows = []
    for window_index, (start, before) in enumerate(snapshots):
        window_ends = [snapshot for snapshot in snapshots[window_index:]
                       if snapshot[0] >= start + window_s]
        if not window_ends:
            break
        served = {share: window_ends[0][1].get(f"share-{share}", 0)
                  - before.get(f"share-{share}", 0)
                  for share in shares}
        total = sum(served.values())
        for share in shares:
            due = share / sum(shares)
            rows.append({"seed": seed, "share": share, "window": window_index, "due": due,
                         "got": served[share] / total, "tokens": served[share],
                         "deviation": served[share] / total / due - 1})
    return rows


def trainer_idle(spec, make_deployment):
    """Idle time of two trainers whose steps start together; variants interleaved over the seeds."""
    rows = []
    services = [{"name": name, "service_class": "training"} for name in ("first", "second")]
    for seed in spec["seeds"]:
        for name, variant in spec["variants"].items():
            with make_deployment(f"idle-{seed}-{name}", spec, services, variant,
                                 seed) as deployment:
                trainers = [Trainer(deployment, service["name"], seed=seed) for service in services]
                bound = 0.0
                for step in range(spec["steps"]):
                    reports = run_steps_together(trainers, seed, step, spec)
                    bound += idle_lower_bound(reports, spec)
                reports = [report for trainer in trainers for report in trainer.reports]
                idle = sum(trainer.idle_s for trainer in trainers)
                rows.append({
                    "seed": seed, "variant": name, "idle_s": idle, "bound_s": bound,
                    "over_bound": idle / bound,
                    "tokens": sum(sample["tokens"] for report in reports
                                  for sample in report.samples.values()),
                    "lost": sum(report.lost + len(report.failed) for report in reports),
                    "stale": sum(report.stale for report in reports),
                    "problems": sum(len(report.problems) for report in reports)})
    return rows


def run_steps_together(trainers, seed, step, spec):
    threads = [threading.Thread(target=trainer.run_step, args=(
        f"{trainer.service}-{step}", 1,
        make_groups(seed, f"{trainer.service}{step}", spec["groups"], spec["samples"])))
        for trainer in trainers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return [trainer.reports[-1] for trainer in trainers]


def idle_lower_bound(reports, spec):
    """Lower bound on the sum of the idle times of two steps that start together.

    One step finishes first; the other can not finish before all tokens of both steps
    are generated.
    """
    lengths = [[sample["tokens"] for sample in report.samples.values()] for report in reports]
    return (min(step_lower_bound(each, spec) for each in lengths)
            + step_lower_bound([one for each in lengths for one in each], spec))


def step_lower_bound(lengths, spec):
    """Same bound as LibRouting's StepTimeLowerBound, with the engine's time per batch size."""
    engine = spec["engine"]
    fixed = engine.get("token_interval_us", 20_000)
    each = engine.get("token_interval_per_sequence_us", 500)
    batch = engine.get("max_batch", 16)
    scale = engine["time_scale"] / 1e6
    longest_sample_bound = max(lengths, default=0) * (fixed + each) * scale
    throughput_bound = sum(lengths) * (fixed + batch * each) * scale / (batch * spec["engines"])
    return max(longest_sample_bound, throughput_bound)


def control_slopes(spec, make_deployment):
    """CPU time, memory and traffic on open connections of processes without load."""
    rows = []
    for size in spec["sizes"]:
        sized_spec = {**spec, "engines": size["engines"], "entries": size["entries"]}
        services = [{"name": f"service-{number}", "service_class": "live"}
                    for number in range(size["services"])]
        with make_deployment(f"slope-{len(rows)}", sized_spec, services) as deployment:
            add_absent_servers(deployment, size.get("absent", 0))
            time.sleep(spec["settle_s"])
            observed = {"entry": deployment.entries[0].instance,
                        "sidecar": deployment.servers[0].instance}
            before = {role: observe_process(deployment.processes[name])
                      for role, name in observed.items()}
            time.sleep(spec["measure_s"])
            for role, name in observed.items():
                rows.append({"role": role, **{"absent": 0, **size},
                             **usage_rates(before[role],
                                           observe_process(deployment.processes[name]))})
    return rows


def add_absent_servers(deployment, count):
    """Adds servers to the instance list whose addresses no process listens on."""
    if count == 0:
        return
    pool = deployment.servers[0].pool
    absent = [{"id": f"absent-{number}", "role": "backend_server", "state": "live",
               "data_center": deployment.topology.data_centers[number % 3], "pool": pool.name,
               "address": f"127.0.{1 + number // 250}.{1 + number % 250}:9", "incarnation": 1}
              for number in range(count)]
    present = [deployment._row(server, "backend_server", pool.name, server.sidecar_port)
               for server in deployment.servers]
    present += [deployment._row(entry, "entry", "", entry.port) for entry in deployment.entries]
    deployment.control(deployment.instance_list_url, {"set": present + absent})


def observe_process(process):
    seconds, memory = process_usage(process)
    return time.monotonic(), seconds, memory, connection_bytes(process)


def usage_rates(before, after):
    seconds = after[0] - before[0]
    transferred = sum(count - before[3].get(endpoints, 0) for endpoints, count in after[3].items())
    return {"core_percent": 100 * (after[1] - before[1]) / seconds,
            "memory_mib": after[2] / 2**20, "bytes_per_s": transferred / seconds,
            "connections": len(after[3])}


KINDS = {
    "added_latency": added_latency,
    "saturation": saturation,
    "live_isolation": live_isolation,
    "fair_share": fair_share,
    "trainer_idle": trainer_idle,
    "control_slopes": control_slopes,
}
