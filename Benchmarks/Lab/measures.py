"""The kinds of experiment. Each is a function of the experiment's description and
returns rows: dictionaries of figures, one for each run."""

import threading
import time

from bench_support import (
    LoadProgram, bench_topology, connection_bytes, processor_seconds, served_by_service, usage)
from clients import Trainer

from topologies import prompts

PROMPT_FILE = "scored_scenarios.txt"


def groups_of(seed, step, count, samples, max_tokens=16384):
    lines = prompts(PROMPT_FILE)
    return [{"group_id": f"g{number}", "samples": samples, "max_tokens": max_tokens,
             "prompt": f"{lines[number % len(lines)]} ({seed}.{step}.{number})"}
            for number in range(count)]


def added_latency(spec, deployment_of):
    """Live completions through entry and sidecar against the engines directly."""
    rows = []
    with deployment_of("added", spec, [{"name": "live", "service_class": "live"}]) as lab:
        ways = {"direct": ([server.backend_url for server in lab.servers], ""),
                "carobbank": ([entry.url for entry in lab.entries], "live")}
        entries = [entry.instance for entry in lab.entries]
        sidecars = [server.instance for server in lab.servers]
        for seed in spec["seeds"]:
            for way, (urls, service) in ways.items():
                before = [processor_seconds(lab, names) for names in (entries, sidecars)]
                result = LoadProgram(lab, urls, service, seed=seed * 1_000_000,
                                     **spec["load"]).result()
                after = [processor_seconds(lab, names) for names in (entries, sidecars)]
                rows.append({"seed": seed, "way": way, **flat(result),
                             "entry_s": after[0] - before[0],
                             "sidecars_s": after[1] - before[1]})
    return rows


def saturation(spec, deployment_of):
    """Requests a second of one entry in a closed loop, by concurrency."""
    rows = []
    with deployment_of("saturation", spec, [{"name": "live", "service_class": "live"}]) as lab:
        entries = [entry.instance for entry in lab.entries]
        sidecars = [server.instance for server in lab.servers]
        for seed in spec["seeds"]:
            for concurrency in spec["concurrency"]:
                started = time.monotonic()
                before = [processor_seconds(lab, names) for names in (entries, sidecars)]
                result = LoadProgram(lab, [lab.entries[0].url], "live", seed=seed * 1_000_000,
                                     concurrency=concurrency, **spec["load"]).result()
                after = [processor_seconds(lab, names) for names in (entries, sidecars)]
                seconds = time.monotonic() - started
                row = {"seed": seed, "concurrency": concurrency, **flat(result)}
                row["requests_per_s"] = row["whole"] / row["measured_seconds"]
                row["tokens_per_s"] = row["tokens"] / row["measured_seconds"]
                row["entry_cores"] = (after[0] - before[0]) / seconds
                row["sidecars_cores"] = (after[1] - before[1]) / seconds
                rows.append(row)
    return rows


def flat(result):
    """A load program's result as one row."""
    row = {f"{kind}_{name}": result[kind][name]
           for kind in ("latency", "first_token") for name in ("p50_us", "p90_us", "p99_us")}
    outcomes = result["outcomes"]
    row.update({name: result[name] for name in
                ("chunks", "tokens", "not_begun", "most_late_us", "measured_seconds")})
    row["whole"] = outcomes.get("whole", 0)
    row["others"] = {name: count for name, count in outcomes.items() if name != "whole"}
    return row


class TrainingLoad:
    """Trainers that submit one long step each; ended with the deployment."""

    def __init__(self, lab, services, seed, groups, samples):
        self.threads = []
        for service in services:
            trainer = Trainer(lab, service, seed=seed)
            thread = threading.Thread(
                target=self._submit, daemon=True,
                args=(trainer, f"{service}-{seed}", groups_of(seed, service, groups, samples)))
            thread.start()
            self.threads.append(thread)
        for thread in self.threads:
            thread.join()

    @staticmethod
    def _submit(trainer, request_id, groups):
        body = {"service": trainer.service, "request_id": request_id, "step": request_id,
                "named_version": 1, "groups": groups}
        trainer._exchange("/v1/rollouts", "POST", body)


def live_isolation(spec, deployment_of):
    """Live completions alone, then beside saturating training, on the same engines."""
    rows = []
    services = [{"name": "live", "service_class": "live"},
                {"name": "rollouts", "service_class": "training"}]
    for seed in spec["seeds"]:
        with deployment_of(f"live-{seed}", spec, services, seed=seed) as lab:
            urls = [entry.url for entry in lab.entries]
            alone = LoadProgram(lab, urls, "live", seed=seed * 1_000_000, **spec["load"]).result()
            TrainingLoad(lab, ["rollouts"], seed, spec["groups"], spec["samples"])
            time.sleep(1)
            before = served_by_service(lab)
            beside = LoadProgram(lab, urls, "live", seed=seed * 2_000_000,
                                 **spec["load"]).result()
            after = served_by_service(lab)
            trained = after["rollouts"] - before.get("rollouts", 0)
            for way, result in (("alone", alone), ("beside_training", beside)):
                rows.append({"seed": seed, "way": way, **flat(result),
                             "training_tokens": trained if way != "alone" else 0})
    return rows


def fair_share(spec, deployment_of):
    """Backlogged training services; their part of the tokens over each window."""
    shares = spec["shares"]
    services = [{"name": f"share-{share}", "service_class": "training", "share": share}
                for share in shares]
    rows = []
    for seed in spec["seeds"]:
        with deployment_of(f"share-{seed}", spec, services, seed=seed) as lab:
            names = [service["name"] for service in services]
            TrainingLoad(lab, names, seed, spec["groups"], spec["samples"])
            time.sleep(spec["settle_s"])
            points = []
            end = time.monotonic() + spec["measure_s"]
            while time.monotonic() < end:
                points.append((time.monotonic(), served_by_service(lab)))
                time.sleep(0.5)
            rows += share_rows(seed, shares, points, spec["window_s"])
    return rows


def share_rows(seed, shares, points, window_s):
    rows = []
    for begin, (start, before) in enumerate(points):
        later = [point for point in points[begin:] if point[0] >= start + window_s]
        if not later:
            break
        served = {share: later[0][1].get(f"share-{share}", 0) - before.get(f"share-{share}", 0)
                  for share in shares}
        total = sum(served.values())
        for share in shares:
            due = share / sum(shares)
            rows.append({"seed": seed, "share": share, "window": begin, "due": due,
                         "got": served[share] / total, "tokens": served[share],
                         "deviation": served[share] / total / due - 1})
    return rows


def trainer_idle(spec, deployment_of):
    """Two trainers whose steps begin together; variants interleaved over the seeds."""
    rows = []
    services = [{"name": name, "service_class": "training"} for name in ("first", "second")]
    for seed in spec["seeds"]:
        for name, variant in spec["variants"].items():
            with deployment_of(f"idle-{seed}-{name}", spec, services, variant, seed) as lab:
                trainers = [Trainer(lab, service["name"], seed=seed) for service in services]
                bound = 0.0
                for step in range(spec["steps"]):
                    reports = run_together(trainers, seed, step, spec)
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


def run_together(trainers, seed, step, spec):
    threads = [threading.Thread(target=trainer.run_step, args=(
        f"{trainer.service}-{step}", 1,
        groups_of(seed, f"{trainer.service}{step}", spec["groups"], spec["samples"])))
        for trainer in trainers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return [trainer.reports[-1] for trainer in trainers]


def idle_lower_bound(reports, spec):
    """Least sum of the idle times of steps that begin together: one of them ends
    first, the other not before all tokens of both are generated."""
    lengths = [[sample["tokens"] for sample in report.samples.values()] for report in reports]
    return (min(step_lower_bound(each, spec) for each in lengths)
            + step_lower_bound([one for each in lengths for one in each], spec))


def step_lower_bound(lengths, spec):
    """As LibRouting's StepTimeLowerBound, with the engine's time for each batch size."""
    engine = spec["engine"]
    fixed = engine.get("token_interval_us", 20_000)
    each = engine.get("token_interval_per_sequence_us", 500)
    batch = engine.get("max_batch", 16)
    scale = engine["time_scale"] / 1e6
    longest = max(lengths, default=0) * (fixed + each) * scale
    together = sum(lengths) * (fixed + batch * each) * scale / (batch * spec["engines"])
    return max(longest, together)


def control_slopes(spec, deployment_of):
    """Processor time, memory and open connections' bytes of processes without load."""
    rows = []
    for size in spec["sizes"]:
        shape = {**spec, "engines": size["engines"], "entries": size["entries"]}
        services = [{"name": f"service-{number}", "service_class": "live"}
                    for number in range(size["services"])]
        with deployment_of(f"slope-{len(rows)}", shape, services) as lab:
            add_absent_servers(lab, size.get("absent", 0))
            time.sleep(spec["settle_s"])
            watched = {"entry": lab.entries[0].instance, "sidecar": lab.servers[0].instance}
            before = {role: observe(lab.processes[name]) for role, name in watched.items()}
            time.sleep(spec["measure_s"])
            for role, name in watched.items():
                rows.append({"role": role, **{"absent": 0, **size},
                             **difference(before[role], observe(lab.processes[name]))})
    return rows


def add_absent_servers(lab, count):
    """Rows of the instance list whose addresses nobody listens on."""
    if count == 0:
        return
    pool = lab.servers[0].pool
    absent = [{"id": f"absent-{number}", "role": "backend_server", "state": "live",
               "data_center": lab.topology.data_centers[number % 3], "pool": pool.name,
               "address": f"127.0.{1 + number // 250}.{1 + number % 250}:9", "incarnation": 1}
              for number in range(count)]
    present = [lab._row(server, "backend_server", pool.name, server.sidecar_port)
               for server in lab.servers]
    present += [lab._row(entry, "entry", "", entry.port) for entry in lab.entries]
    lab.control(lab.list_url, {"set": present + absent})


def observe(process):
    seconds, memory = usage(process)
    return time.monotonic(), seconds, memory, connection_bytes(process)


def difference(before, after):
    seconds = after[0] - before[0]
    sent = sum(count - before[3].get(ends, 0) for ends, count in after[3].items())
    return {"core_percent": 100 * (after[1] - before[1]) / seconds,
            "memory_mib": after[2] / 2**20, "bytes_per_s": sent / seconds,
            "connections": len(after[3])}


KINDS = {
    "added_latency": added_latency,
    "saturation": saturation,
    "live_isolation": live_isolation,
    "fair_share": fair_share,
    "trainer_idle": trainer_idle,
    "control_slopes": control_slopes,
}
