"""Helpers of the experiments: service documents, load programs, CPU time and statistics."""

import json
import os
import re
import statistics
import subprocess
from pathlib import Path

from deployment import Pool, Topology, call, sha256_hex, token_of

DATA_CENTERS = ["hall-a", "hall-b", "hall-c"]
POOL = "bench-engines"
MODEL = "bench"
LOAD_TIMEOUT_S = 180
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def write_document(folder, name, service_class, share=100, swap="interrupt", bound=1):
    """Writes one service document of an experiment; returns its path."""
    path = Path(folder) / f"{name}.yaml"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(
        f"name: {name}\nteam: bench\nkind: model\npool: {POOL}\nmodel: {MODEL}\n"
        f"share: {share}\nclass: {service_class}\nversions: {{staleness_bound: {bound}}}\n"
        "limits: {max_tokens: 16384, deadline_ms: 600000, concurrency: 20000, "
        "body_bytes: 8388608, queue_length: 20000}\n"
        f"swap: {swap}\n"
        f"callers:\n  - {{name: bench, token_sha256: \"{sha256_hex(token_of(name))}\"}}\n")
    return path


def bench_topology(folder, spec, services, variant=None, seed=1):
    """Topology of an experiment.

    `spec` holds the numbers of engines and entries and the engine options;
    `services` holds the keyword arguments of write_document, one dictionary a service.
    """
    variant = variant or {}
    options = {"version": 1, **spec.get("engine", {})}
    return Topology(
        name="bench", region="bench", data_centers=DATA_CENTERS, latency_ms=1,
        pools=[Pool(POOL, "engine", spec["engines"], DATA_CENTERS, model=MODEL,
                    options=options)],
        documents=[write_document(folder, **service) for service in services],
        entries=spec.get("entries", 1), stand_in_threads=spec.get("stand_in_threads", 2),
        stand_in_seed=seed,
        entry_settings=variant.get("entry", {}), sidecar_settings=variant.get("sidecar", {}))


class LoadProgram:
    """One process of carobbank-bench."""

    def __init__(self, deployment, urls, service="", **options):
        arguments = [str(deployment.binaries / "carobbank-bench")]
        for url in urls:
            arguments += ["--url", url]
        if service:
            arguments += ["--service", service, "--token", token_of(service)]
        else:
            arguments += ["--direct", "--model", MODEL]
        for name, value in options.items():
            arguments += [f"--{name.replace('_', '-')}", str(value)]
        self.process = subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)

    def result(self):
        try:
            output, _ = self.process.communicate(timeout=LOAD_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            raise
        return json.loads(output)


def process_usage(process):
    """CPU seconds used so far and resident bytes of a process."""
    text = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    seconds = (int(text[11]) + int(text[12])) / CLOCK_TICKS_PER_S
    return seconds, int(text[21]) * PAGE_BYTES


def connection_bytes(process):
    """{connection: bytes sent and received} of a process's open TCP connections."""
    output = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True, check=True).stdout
    bytes_by_connection, lines = {}, output.splitlines()
    for socket_line, info_line in zip(lines[::2], lines[1::2]):
        if f"pid={process.pid}," not in socket_line:
            continue
        endpoints = tuple(socket_line.split()[3:5])
        bytes_by_connection[endpoints] = sum(int(number) for number in re.findall(
            r"bytes_(?:sent|received):(\d+)", info_line))
    return bytes_by_connection


def cpu_seconds(deployment, names):
    return sum(process_usage(deployment.processes[name])[0] for name in names)


def served_by_service(deployment):
    """Generated tokens per service, from the sidecars' metrics."""
    served = {}
    for server in deployment.servers:
        _, text = call(f"{server.sidecar_url}/metrics")
        for line in str(text).splitlines():
            if line.startswith("carobbank_served_tokens_total{") and 'phase="generated"' in line:
                service = line.split('service="')[1].split('"')[0]
                served[service] = served.get(service, 0) + float(line.rsplit(" ", 1)[1])
    return served


def median(values):
    return statistics.median(values) if values else float("nan")
