"""Fault injection over the real programs, with seeded schedules.

A seed selects the sequence of kills, pauses, outages, lost responses, weight swaps,
drains and unresponsive connections. After the last fault is cleared, the trainers must
finish; then the records of trainers, callers and backend servers are compared. Prints
one line per seed; exits with 1 when a guarantee does not hold.
"""

import argparse
import http.client
import json
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
import uuid
from pathlib import Path

from clients import LoadThread, Trainer, authorization, quantile, stream_completion
from deployment import Deployment, call, default_binaries, sha256_hex
from topologies import fault_topology, prompts

FAULTS_S = 12
FINISH_S = 100
SETTLE_S = 2
CRASH_MARKER = "poison-the-engine"
SERVICE, LIVE, PLAIN, MODEL = "scorer-rollouts", "coaching", "dispatch", "scorer"


class Schedule(threading.Thread):
    """Injects seeded faults one after another for FAULTS_S seconds."""

    def __init__(self, deployment, seed, only=None):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.random = random.Random(seed)
        self.executed = []
        self.problems = []
        self.entry_kills = []  # (entry instance, time): kills, which may truncate responses
        self.version = 1
        self.crashed = False
        self.pending_restores = []
        self.lock = threading.Lock()
        faults = [
            self.kill_entry, self.terminate_entry, self.pause_entry, self.kill_sidecar,
            self.terminate_sidecar, self.pause_sidecar, self.crash_engine, self.log_outage,
            self.log_loses_answers, self.list_outage, self.truncate_answers, self.cut_answers,
            self.cross_answers, self.new_version, self.new_version, self.failed_swap,
            self.lost_order, self.leaving_server, self.silent_connections, self.slow_log,
            self.silent_entry_log, self.race_operators,
        ]
        self.faults = [each for each in faults if not only or each.__name__ in only]

    def run(self):
        ends_at = time.monotonic() + FAULTS_S
        while time.monotonic() < ends_at:
            fault = self.random.choice(self.faults)
            try:
                detail = fault()
            except (OSError, http.client.HTTPException) as error:
                # The stand-in is down or truncates responses because of an earlier fault.
                detail = f"control request failed: {error!r}"
            except Exception as error:  # an error of the harness must fail the run
                detail = f"harness error: {error!r}"
                self.problems.append(f"{fault.__name__}: {detail}")
            self.executed.append((round(time.monotonic(), 2), fault.__name__, detail))
            # A delay of 0 lets two faults overlap.
            time.sleep(self.random.choice([0.0, 0.1, 0.3, 0.8]))
        for restore in self.pending_restores:
            restore.join()

    def _restore_after(self, delay_s, restore):
        timer = threading.Timer(delay_s, restore)
        timer.daemon = True
        timer.start()
        self.pending_restores.append(timer)

    def _running(self, instances):
        return [each for each in instances if each.instance in self.deployment.processes
                and each.state == "live"]

    def _pick_running(self, instances, min_remaining=1):
        running = self._running(instances)
        if len(running) <= min_remaining:
            return None
        return self.random.choice(running)

    def _engines(self):
        return [each for each in self.deployment.servers if each.pool.kind == "engine"]

    def _replacement(self, instance, start):
        """Returns a function that starts a new incarnation of the instance at the same address."""
        def restore():
            with self.lock:
                instance.incarnation += 1
                instance.state = "live"
                self.deployment.publish_instances()
                start(instance)
        return restore

    def kill_entry(self):
        entry = self._pick_running(self.deployment.entries)
        if not entry:
            return "none"
        entry.state = "dead"
        now = time.monotonic()
        self.deployment.kill(entry.instance)
        self.entry_kills.append((entry.instance, now))
        self._restore_after(self.random.uniform(0.3, 2),
                            self._replacement(entry, self.deployment.start_entry))
        return entry.instance

    def terminate_entry(self):
        entry = self._pick_running(self.deployment.entries)
        if not entry:
            return "none"
        entry.state = "leaving"
        self.deployment.publish_instances()
        self._terminate_and_replace(entry, self.deployment.start_entry)
        return entry.instance

    def _terminate_and_replace(self, instance, start):
        def end():
            try:
                status = self.deployment.terminate(instance.instance)
            except subprocess.TimeoutExpired:
                self.problems.append(f"{instance.instance} did not exit after SIGTERM")
                return
            if status != 0:
                self.problems.append(
                    f"{instance.instance} exited with status {status} after SIGTERM")
            self._replacement(instance, start)()
        thread = threading.Thread(target=end, daemon=True)
        thread.start()
        self.pending_restores.append(thread)

    def pause_entry(self):
        entry = self._pick_running(self.deployment.entries)
        return self._pause(entry) if entry else "none"

    def _pause(self, instance):
        process = self.deployment.processes[instance.instance]
        process.send_signal(signal.SIGSTOP)
        seconds = self.random.uniform(0.5, 4)
        self._restore_after(seconds, lambda: process.send_signal(signal.SIGCONT))
        return f"{instance.instance} {seconds:.1f} s"

    def kill_sidecar(self):
        server = self._pick_running(self.deployment.servers, min_remaining=3)
        if not server:
            return "none"
        server.state = "dead"
        self.deployment.kill(server.instance)
        self._restore_after(self.random.uniform(0.3, 2),
                            self._replacement(server, self.deployment.start_sidecar))
        return server.instance

    def terminate_sidecar(self):
        return self._drain_server(announced=False)

    def leaving_server(self):
        return self._drain_server(announced=True)

    def _drain_server(self, announced):
        server = self._pick_running(self.deployment.servers, min_remaining=3)
        if not server:
            return "none"
        server.state = "leaving"
        if announced:
            self.deployment.publish_instances()
        self._terminate_and_replace(server, self.deployment.start_sidecar)
        return server.instance

    def pause_sidecar(self):
        server = self._pick_running(self.deployment.servers, min_remaining=3)
        return self._pause(server) if server else "none"

    def _control_random_server(self, servers, command, reset=None):
        server = self.random.choice(servers)
        self.deployment.control(server.backend_url, command)
        if reset:
            self._restore_after(self.random.uniform(1, 4),
                                lambda: self.deployment.control(server.backend_url, reset))
        return server.instance

    def crash_engine(self):
        # A crash that no request causes, at most once per run: two such crashes within
        # seconds while the same prompt runs exclusively can not be told apart from a
        # request that crashes the engine.
        if self.crashed:
            return "skipped: one crash per run"
        self.crashed = True
        return self._control_random_server(self._engines(), {"crash": True})

    def truncate_answers(self):
        return self._control_random_server(self._engines(), {"truncate_answers": 3})

    def cut_answers(self):
        return self._control_random_server(self._engines(), {"cut_answers": 3})

    def cross_answers(self):
        return self._control_random_server(self._engines(), {"cross_answers": 2})

    def silent_connections(self):
        return self._control_random_server(self.deployment.servers,
                                           {"silence_open_connections": True})

    def silent_entry_log(self):
        self.deployment.control(self.deployment.log_url, {"silence_open_connections": True})
        return "log"

    def _control_log(self, command, reset):
        self.deployment.control(self.deployment.log_url, command)
        seconds = self.random.uniform(0.5, 5)
        self._restore_after(seconds,
                            lambda: self.deployment.control(self.deployment.log_url, reset))
        return f"{seconds:.1f} s"

    def log_outage(self):
        return self._control_log({"outage": True}, {"outage": False})

    def slow_log(self):
        return self._control_log({"delay_ms": 300}, {"delay_ms": 0})

    def log_loses_answers(self):
        self.deployment.control(self.deployment.log_url, {"lose_answers": 5})
        return "5"

    def list_outage(self):
        url = self.deployment.instance_list_url
        self.deployment.control(url, {"outage": True})
        self._restore_after(self.random.uniform(1, 4),
                            lambda: self.deployment.control(url, {"outage": False}))
        return ""

    def new_version(self):
        self.version += 1
        self.deployment.put_version(MODEL, self.version)
        for entry in self._running(self.deployment.entries):
            try:
                status, _ = call(f"{entry.url}/v1/models/{MODEL}/versions", "POST",
                                 {"version": self.version}, authorization(SERVICE), 3)
                if status == 202:
                    break
            except OSError:
                pass
        return str(self.version)

    def failed_swap(self):
        name = self._control_random_server(self._engines(), {"fail_orders": 1})
        return f"{name}, {self.new_version()}"

    def lost_order(self):
        name = self._control_random_server(self._engines(), {"lose_order_answers": 1})
        return f"{name}, {self.new_version()}"

    def race_operators(self):
        """Publishes two documents on one base revision; at most one may come into force."""
        status, page = call(f"{self.deployment.log_url}/streams/configuration/records?from=0"
                            "&max=1000&wait_ms=0", timeout=3)
        if status != 200:
            return "skipped: log unavailable"
        base = None
        for record in page["records"]:
            for entry in json.loads(record["payload"])["entries"]:
                if entry.get("service") == LIVE and entry["base_revision"] == (
                        -1 if base is None else base):
                    base = record["offset"]
        document = self.deployment.document_text(LIVE)
        for share in (self.random.randint(101, 500), self.random.randint(501, 900)):
            text = document.replace("share: 100", f"share: {share}")
            entry = {"kind": "document", "service": LIVE, "base_revision": base, "document": text,
                     "publisher": f"operator-{share}", "publish_id": str(uuid.uuid4())}
            call(f"{self.deployment.log_url}/streams/configuration/records", "POST",
                 {"payload": json.dumps({"entries": [entry]})}, timeout=3)
        return f"base {base}"


class ConfigurationOffsetMonitor(threading.Thread):
    """Polls the entries' configuration offsets and records each one that decreases."""

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.stopping = threading.Event()
        self.highest = {}
        self.reverted = []

    def run(self):
        while not self.stopping.wait(0.2):
            for entry in self.deployment.entries:
                key = (entry.instance, entry.incarnation)
                try:
                    _, status = call(f"{entry.url}/status", timeout=1)
                except OSError:
                    continue
                if not isinstance(status, dict) or status.get("instance") != entry.instance:
                    continue
                if key != (entry.instance, entry.incarnation):
                    continue
                offset = status["offset"]
                if offset < self.highest.get(key, -1):
                    self.reverted.append((key, offset))
                self.highest[key] = max(offset, self.highest.get(key, -1))

    def finish(self):
        self.stopping.set()
        self.join()


class FaultRun:
    """One seed: applies load and faults, clears the faults and checks the results."""

    def __init__(self, deployment, seed, only=None):
        self.deployment = deployment
        self.seed = seed
        self.random = random.Random(seed * 7919)
        self.schedule = Schedule(deployment, seed, only)
        self.trainers = [Trainer(deployment, SERVICE, seed=seed * 10 + each) for each in range(2)]
        self.stop_training = threading.Event()
        self.problems = []
        self.keyed_results = {}  # key -> list of (status, execution)
        self.unkeyed_results = {}
        self.live_calls = []

    def run(self):
        monitor = ConfigurationOffsetMonitor(self.deployment)
        monitor.start()
        trainers = [threading.Thread(target=self._train, args=(each,), daemon=True)
                    for each in self.trainers]
        loads = [LoadThread(self._call_live, 0.1), LoadThread(self._call_keyed, 0.1),
                 LoadThread(self._call_unkeyed, 0.1), LoadThread(self._call_with_crash_marker, 4)]
        for thread in [*trainers, *loads]:
            thread.start()
        self.schedule.start()
        self.schedule.join()
        self.stop_training.set()
        self._clear_faults()
        for load in loads:
            load.finish()
        for trainer in trainers:
            trainer.join(FINISH_S)
            if trainer.is_alive():
                self.problems.append("a trainer did not finish its step")
        monitor.finish()
        self._check_results(monitor)
        return self.problems

    def _clear_faults(self):
        self.deployment.control(self.deployment.log_url, {"outage": False, "delay_ms": 0})
        self.deployment.control(self.deployment.instance_list_url, {"outage": False})
        time.sleep(SETTLE_S)

    def _train(self, trainer):
        number = 0
        lines = prompts("scored_scenarios.txt")
        while not self.stop_training.is_set():
            number += 1
            groups = [{"group_id": f"g{index}", "prompt": lines[(number + index) % len(lines)],
                       "samples": 6, "max_tokens": 300} for index in range(4)]
            name = f"seed{self.seed}-t{id(trainer) % 997}-{number}"
            try:
                trainer.run_step(name, max(1, self.schedule.version), groups, FINISH_S)
            except Exception as error:
                self.problems.append(f"trainer: {error!r}")
                return

    def _random_entry(self):
        return self.random.choice(self.deployment.entries)

    def _call_live(self, number):
        entry = self._random_entry()
        lines = prompts("scored_scenarios.txt")
        started = time.monotonic()
        record = stream_completion(entry, LIVE, lines[number % len(lines)], 60, timeout=30,
                                   seed=number)
        self.live_calls.append((entry.instance, started, time.monotonic(), record))
        return record

    def _call_with_crash_marker(self, number):
        """Sends the same request, which crashes each engine that runs it, on each call."""
        return stream_completion(self._random_entry(), LIVE, f"{CRASH_MARKER} {self.seed}", 20,
                                 timeout=30)

    def _call_plain(self, path, headers):
        try:
            status, response = call(f"{self._random_entry().url}/plain/{PLAIN}{path}", "POST", {},
                                    {**authorization(PLAIN), **headers}, 10)
            execution = response.get("execution", "") if isinstance(response, dict) else ""
            return status, execution if status != 200 else "ran"
        except OSError:
            return 0, "unknown"
        except Exception:
            return 0, "unknown"

    def _call_keyed(self, number):
        key = f"key-{self.seed}-{number}"
        headers = {"Idempotency-Key": key,
                   "Idempotency-Key-Issued": str(int(time.time() * 1000))}
        results = self.keyed_results.setdefault(key, [])
        for _ in range(3):
            results.append(self._call_plain(f"/slots/{key}", headers))
            if results[-1][1] == "ran" and self.random.random() < 0.7:
                break
            time.sleep(0.05)

    def _call_unkeyed(self, number):
        path = f"/slots/unkeyed-{self.seed}-{number}"
        self.unkeyed_results[path] = self._call_plain(path, {})

    # Checks

    def _check_results(self, monitor):
        self.problems += self.schedule.problems
        for name, status in self.deployment.unexpected_exits().items():
            self.problems.append(f"{name} exited unexpectedly with status {status}; see its log")
        for reverted in monitor.reverted:
            self.problems.append(f"configuration reverted: {reverted}")
        self._check_steps()
        self._check_plain()
        self._check_live()
        self._check_configuration()
        self._check_crashes()

    def _check_steps(self):
        for trainer in self.trainers:
            for step in trainer.reports:
                if step.lost or step.failed:
                    self.problems.append(
                        f"{step.request_id}: samples lost {step.lost}, failed {step.failed}")
                if step.duplicates:
                    self.problems.append(f"{step.request_id}: {step.duplicates} duplicate samples")
                if step.stale:
                    self.problems.append(
                        f"{step.request_id}: {step.stale} samples beyond the staleness bound")
                for problem in step.problems[:3]:
                    self.problems.append(f"{step.request_id}: {problem}")

    def _executions(self):
        by_key, by_target = {}, {}
        for server in self.deployment.servers:
            if server.pool.kind != "plain":
                continue
            _, record = call(f"{server.backend_url}/record")
            for execution in record["executions"]:
                key, target = execution["key"], execution["target"]
                if key:
                    by_key[key] = by_key.get(key, 0) + 1
                by_target[target] = by_target.get(target, 0) + 1
        return by_key, by_target

    def _check_plain(self):
        by_key, by_target = self._executions()
        for key, results in self.keyed_results.items():
            ran = by_key.get(key, 0)
            if ran > 1:
                self.problems.append(f"{key} ran {ran} times: {results}")
            if ran == 0 and any(execution == "ran" for _, execution in results):
                self.problems.append(f"{key} has a successful response but never ran: {results}")
            if ran == 1 and all(execution == "not_run" for _, execution in results):
                self.problems.append(f"{key} ran though refused as not_run: {results}")
        for target, (status, execution) in self.unkeyed_results.items():
            ran = by_target.get(target, 0)
            if ran > 1:
                self.problems.append(f"{target} ran {ran} times")
            if ran and execution == "not_run":
                self.problems.append(f"{target} ran though refused as not_run ({status})")

    def _check_live(self):
        for instance, started, ended, record in self.live_calls:
            if record.outcome == "whole" and record.problems:
                self.problems.append(f"invalid live response at {instance}: {record.problems}")
            killed = any(name == instance and started <= killed_at <= ended
                         for name, killed_at in self.schedule.entry_kills)
            if record.outcome == "cut" and not killed:
                self.problems.append(
                    f"live response truncated at {instance} without a kill: {record.problems}")

    def _check_configuration(self):
        digests = set()
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            try:
                digests = {call(f"{entry.url}/status")[1]["digest"]
                           for entry in self.deployment.entries}
            except OSError as error:
                digests = {repr(error)}
            if len(digests) == 1 and "error" not in str(digests):
                return
            time.sleep(0.5)
        self.problems.append(f"entries disagree on the configuration: {digests}")

    def _check_crashes(self):
        crashed = set()
        crashing_digest = sha256_hex(f"{CRASH_MARKER} {self.seed}")
        for server in self.deployment.servers:
            if server.pool.kind != "engine":
                continue
            _, record = call(f"{server.backend_url}/record")
            for generation in record["generations"]:
                if (generation["prompt_digest"] == crashing_digest
                    and generation["ended"] == "crashed"):
                    crashed.add(server.instance)
        if len(crashed) > 2:
            self.problems.append(f"one request crashed more than two engines: {sorted(crashed)}")

    def summary(self):
        reports = [step for trainer in self.trainers for step in trainer.reports]
        completed = sum(record.outcome == "whole" for _, _, _, record in self.live_calls)
        seconds = [step.ended - step.started for step in reports]
        return (f"steps {len(reports)} samples {sum(len(step.samples) for step in reports)} "
                f"longest {max(seconds, default=0):.1f} s, "
                f"live {completed}/{len(self.live_calls)} whole, "
                f"keyed {len(self.keyed_results)}, faults {len(self.schedule.executed)}")


def save_evidence(deployment, folder):
    """Writes the status and timeline of each process, and the log's record, for diagnosis."""
    evidence = {}
    for name, url in [(each.instance, each.url) for each in deployment.entries] + [
            (each.instance, each.sidecar_url) for each in deployment.servers]:
        for page in ("status", "timeline?after=0"):
            try:
                evidence[f"{name}/{page}"] = call(f"{url}/{page}", timeout=5)[1]
            except OSError as error:
                evidence[f"{name}/{page}"] = repr(error)
    (folder / "evidence.json").write_text(json.dumps(evidence))
    _, record = call(f"{deployment.log_url}/record")
    (folder / "log.json").write_text(json.dumps(record))


def run_seed(seed, binaries, folder, only=None):
    deployment = Deployment(fault_topology(CRASH_MARKER, seed), binaries, folder)
    with deployment:
        run = FaultRun(deployment, seed, only)
        problems = run.run()
        if problems:
            save_evidence(deployment, Path(folder))
        (Path(folder) / "schedule.json").write_text(json.dumps(run.schedule.executed, indent=1))
        summary = run.summary()
    return problems, summary


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="range of seeds, first-last")
    parser.add_argument("--only", nargs="*", help="names of the faults to inject")
    parser.add_argument("--binaries", default=default_binaries())
    parser.add_argument("--folder",
                        help="folder for settings and logs; default: a new temporary one")
    arguments = parser.parse_args()
    folder = Path(arguments.folder or tempfile.mkdtemp(prefix="carobbank-faults-"))
    first, _, last = arguments.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        problems, summary = run_seed(seed, arguments.binaries, folder / f"seed-{seed}",
                                     arguments.only)
        failed += bool(problems)
        print(f"seed {seed}: {'BROKEN' if problems else 'held'}; {summary}", flush=True)
        for problem in problems[:12]:
            print(f"  {problem}", flush=True)
    print(f"{failed} seeds with broken promises; logs in {folder}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
