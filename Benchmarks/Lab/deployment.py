"""Runs a deployment on loopback: stand-ins, sidecars and entries as processes.

Used by the demo, the fault runs and the experiments. Settings files are written as
JSON, which is valid YAML. Each process is stopped by its own process id.
"""

import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

READY_TIMEOUT_S = 30
# Longer than the longest time that a sidecar keeps an unresponsive stream open (30 s).
STOP_TIMEOUT_S = 45
PEER_SECRET = "loopback-peer-secret-of-at-least-32-characters"


def token_of(service):
    """The bearer token that the documents of the lab list for a service."""
    return f"{service}-token"


def sha256_hex(text):
    return hashlib.sha256(text.encode()).hexdigest()


def free_ports(count):
    """Distinct ports that were free at the time of the call.

    The ports are below the ephemeral range, so that no outgoing connection can occupy
    one between this check and its use.
    """
    candidates = list(range(10_000, 32_000))
    random.SystemRandom().shuffle(candidates)
    sockets, ports = [], []
    while len(ports) < count:
        each = socket.socket()
        try:
            each.bind(("127.0.0.1", candidates[-1]))
            ports.append(candidates[-1])
            sockets.append(each)
        except OSError:
            each.close()
        candidates.pop()
    for each in sockets:
        each.close()
    return ports


def call(url, method="GET", body=None, headers=None, timeout=10):
    """Sends one request; returns (status, parsed JSON or text)."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            status, text = response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read().decode()
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


@dataclass
class Pool:
    """Backend servers of one kind."""

    name: str
    kind: str  # "engine" or "plain"
    count: int
    data_centers: list
    model: str = ""
    checks_fencing: bool = True
    options: dict = field(default_factory=dict)


@dataclass
class Topology:
    """Description of a deployment: data centers, pools, documents and settings."""

    name: str
    region: str
    data_centers: list
    latency_ms: float
    pools: list
    documents: list  # paths of service documents
    entries: int = 3
    log_options: dict = field(default_factory=dict)
    instance_list_options: dict = field(default_factory=dict)
    entry_settings: dict = field(default_factory=dict)
    sidecar_settings: dict = field(default_factory=dict)
    stand_in_threads: int = 2
    stand_in_seed: int = 1


@dataclass
class BackendServer:
    """One backend server and its sidecar."""

    instance: str
    pool: Pool
    data_center: str
    backend_port: int
    sidecar_port: int
    incarnation: int = 1
    state: str = "live"

    @property
    def sidecar_url(self):
        return f"http://127.0.0.1:{self.sidecar_port}"

    @property
    def backend_url(self):
        return f"http://127.0.0.1:{self.backend_port}"


@dataclass
class EntryInstance:
    instance: str
    data_center: str
    port: int
    incarnation: int = 1
    state: str = "live"

    @property
    def url(self):
        return f"http://127.0.0.1:{self.port}"


class Deployment:
    """A running topology. Use it as a context manager."""

    def __init__(self, topology, binaries, folder):
        self.topology = topology
        self.binaries = Path(binaries)
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes = {}
        self.servers = []
        self.entries = []
        self._assign_ports()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def _assign_ports(self):
        topology = self.topology
        servers = sum(pool.count for pool in topology.pools)
        ports = iter(free_ports(3 + 2 * servers + topology.entries))
        self.log_port, self.instance_list_port, self.weights_port = (next(ports) for _ in range(3))
        for pool in topology.pools:
            for number in range(pool.count):
                data_center = pool.data_centers[number % len(pool.data_centers)]
                instance = f"{data_center}-{pool.name}-{number}"
                self.servers.append(
                    BackendServer(instance, pool, data_center, next(ports), next(ports)))
        for number in range(topology.entries):
            data_center = topology.data_centers[number % len(topology.data_centers)]
            self.entries.append(
                EntryInstance(f"{data_center}-entry-{number}", data_center, next(ports)))

    @property
    def log_url(self):
        return f"http://127.0.0.1:{self.log_port}"

    @property
    def instance_list_url(self):
        return f"http://127.0.0.1:{self.instance_list_port}"

    @property
    def weights_url(self):
        return f"http://127.0.0.1:{self.weights_port}"

    def start(self):
        self._start_stand_ins()
        self.publish_instances()
        for server in self.servers:
            self.start_sidecar(server)
        for entry in self.entries:
            self.start_entry(entry)
        for document in self.topology.documents:
            self.publish(document)
        self.wait_ready()

    # Processes

    def spawn(self, name, arguments):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [str(self.binaries / arguments[0]), *arguments[1:]],
            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        return self.processes[name]

    def _start_stand_ins(self):
        rows = [
            {"role": "log", "port": self.log_port, "options": self.topology.log_options},
            {"role": "instances", "port": self.instance_list_port,
             "options": self.topology.instance_list_options},
            {"role": "weights", "port": self.weights_port},
        ]
        for server in self.servers:
            options = dict(server.pool.options)
            if server.pool.kind == "engine":
                options.setdefault("model", server.pool.model)
                options.setdefault("checks_fencing", server.pool.checks_fencing)
            rows.append({"role": server.pool.kind, "port": server.backend_port,
                         "options": options})
        settings = {"address": "127.0.0.1", "seed": self.topology.stand_in_seed,
                    "threads": self.topology.stand_in_threads, "stand_ins": rows}
        path = self._write("stand-ins.yaml", settings)
        self.spawn("stand-ins", ["carobbank-stand-in", "all", "--settings", str(path)])
        self._wait_until(lambda: call(f"{self.instance_list_url}/instances", timeout=2)[0] == 200,
                         "the stand-ins to respond")
        for pool in self.topology.pools:
            if pool.kind == "engine":
                self.put_version(pool.model, int(pool.options.get("version", 1)))

    def start_sidecar(self, server):
        settings = {
            "place": self._place_settings(server, server.sidecar_port),
            "pool": server.pool.name,
            "backend": {"url": server.backend_url, "kind": server.pool.kind},
            "platform": self._platform(),
            "peer": {"secret": PEER_SECRET},
            **self.topology.sidecar_settings,
        }
        if server.pool.kind == "engine":
            settings["backend"]["model"] = server.pool.model
            settings["backend"]["checks_fencing"] = server.pool.checks_fencing
        path = self._write(f"{server.instance}.yaml", settings)
        return self.spawn(server.instance, ["carobbank-sidecar", "--settings", str(path)])

    def start_entry(self, entry):
        others = [each for each in self.topology.data_centers if each != entry.data_center]
        settings = {
            "place": self._place_settings(entry, entry.port),
            "platform": self._platform(),
            "peer": {"secret": PEER_SECRET},
            "data_centers": [
                {"name": other, "region": self.topology.region,
                 "latency_ms": self.topology.latency_ms} for other in others],
            **self.topology.entry_settings,
        }
        path = self._write(f"{entry.instance}.yaml", settings)
        return self.spawn(entry.instance, ["carobbank", "run", "--settings", str(path)])

    def _place_settings(self, instance, port):
        return {"instance": instance.instance, "data_center": instance.data_center,
                "region": self.topology.region, "address": "127.0.0.1", "port": port}

    def _platform(self):
        return {"log_url": self.log_url, "instance_list_url": self.instance_list_url,
                "weight_store_url": self.weights_url}

    def _write(self, name, value):
        path = self.folder / name
        path.write_text(json.dumps(value, indent=1))
        return path

    def unexpected_exits(self):
        """Exit status by name of each process that exited without being stopped."""
        return {name: process.poll() for name, process in self.processes.items()
                if process.poll() is not None}

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def terminate(self, name):
        """Sends SIGTERM and waits; returns the exit status."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=STOP_TIMEOUT_S)

    def stop(self):
        """Stops all processes, the stand-ins last; returns the names that needed SIGKILL."""
        killed = []
        stand_ins = [name for name in self.processes if name == "stand-ins"]
        services = [name for name in self.processes if name != "stand-ins"]
        for names in (services, stand_ins):
            for name in names:
                self.processes[name].send_signal(signal.SIGCONT)
                self.processes[name].terminate()
            for name in names:
                process = self.processes.pop(name)
                try:
                    process.wait(timeout=STOP_TIMEOUT_S)
                except subprocess.TimeoutExpired:
                    killed.append(name)
                    process.kill()
                    process.wait()
        return killed

    # Platform

    def publish_instances(self):
        rows = []
        for server in self.servers:
            rows.append(self._row(server, "backend_server", server.pool.name,
                                  server.sidecar_port))
        for entry in self.entries:
            rows.append(self._row(entry, "entry", "", entry.port))
        self.control(self.instance_list_url, {"set": rows})

    @staticmethod
    def _row(instance, role, pool, port):
        return {"id": instance.instance, "role": role, "state": instance.state,
                "data_center": instance.data_center, "pool": pool,
                "address": f"127.0.0.1:{port}", "incarnation": instance.incarnation}

    def control(self, url, command):
        """Sends a control command to one stand-in, such as a fault to inject."""
        status, response = call(f"{url}/control", "POST", command)
        if status != 200:
            raise RuntimeError(f"{url}/control {command}: {status} {response}")
        return response

    def put_version(self, model, version):
        self.control(self.weights_url, {"put": {"model": model, "version": version}})

    def publish(self, document):
        """Puts one document in force with the `publish` subcommand."""
        arguments = [str(self.binaries / "carobbank"), "publish", "--log", self.log_url,
                     str(document)]
        completed = subprocess.run(arguments, capture_output=True, text=True, timeout=60,
                                   check=False)
        if completed.returncode != 0:
            raise RuntimeError(f"publish {document}: {completed.stdout}{completed.stderr}")

    def document_text(self, service):
        """Text of a service's document from the topology; KeyError when there is none."""
        for document in self.topology.documents:
            if Path(document).stem == service:
                return Path(document).read_text()
        raise KeyError(service)

    def announce(self, service, model, version, entry=0):
        """Puts a weight version in the weight store and announces it, as a trainer does."""
        self.put_version(model, version)
        return call(f"{self.entries[entry].url}/v1/models/{model}/versions", "POST",
                    {"version": version},
                    {"Authorization": f"Bearer {token_of(service)}"})

    # Waiting

    def wait_ready(self):
        for entry in self.entries:
            self._wait_until(lambda entry=entry: self._ready(entry.url),
                             f"{entry.instance} to be ready")
        for server in self.servers:
            self._wait_until(lambda server=server: self._ready(server.sidecar_url),
                             f"{server.instance} to be ready")
        for entry in self.entries:
            self._wait_until(lambda entry=entry: self._routes_to_all_servers(entry.url),
                             f"{entry.instance} to route to every backend server")

    @staticmethod
    def _ready(url):
        return call(f"{url}/readyz", timeout=2)[0] == 200

    def _routes_to_all_servers(self, url):
        _, status = call(f"{url}/status", timeout=2)
        routable = [row for row in status["servers"] if row["takes_new_work"]]
        return len(routable) == len(self.servers)

    @staticmethod
    def _wait_until(condition, awaited):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"timed out after {READY_TIMEOUT_S} s waiting for {awaited}; "
                           "see the logs in the folder")


def default_binaries():
    """Folder of the programs: $CAROBBANK_BIN, or else the release build's."""
    root = Path(__file__).resolve().parents[2]
    return os.environ.get("CAROBBANK_BIN", str(root / "Build" / "release" / "bin"))
