"""Soak of real gateway processes against stand-ins of the store and of backend servers.

A seed fixes the plan of faults; processes and sockets are real, so interleavings differ between
runs. Prints what was injected, what callers saw, and each violated limit; exits with 1 when a
limit was violated.
"""

import argparse
import asyncio
import base64
import collections
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import checks
import streams
from http_io import RunningTasks, fetch, read_body, read_headers, status_of, write_request
from servers import Fleet
from store import Store

HOST = "soak.example"
TOUCH_S = 3.0
BASE_PORT = 12000
LAST_PORT = 32000
PORTS_OF_GATEWAY = 4
# For ports that other programs hold.
SPARE_PORTS = 50
ZONES = ["zone-a", "zone-b", "zone-c"]
CALL_DEADLINE_S = 1.5
MAX_CALL_ATTEMPTS = 2
MAX_SAMPLE_ATTEMPTS = 3
ABANDON_AFTER_S = 12
DUE_S = 7.5
STEP_PERIOD_S = 4.0
GROUP_SIZE = 4
SHARE_OF_GROUPS = 0.9
KEPT_CONNECTIONS = 4
STOP_GRACE_S = 8
# Of unsafe calls that are sent to a gateway after its SIGTERM, on connections opened before.
LONG_CALL_GAP_S = 0.2
LONG_CALL_DEADLINE_S = 9
START_TIMEOUT_S = 20.0

ROUTES = [
    {"name": "app", "path_prefix": "/app/", "route_kind": "safe", "timeout_ms": 2000,
     "sla_ms": 150, "service": "app", "max_attempts": MAX_CALL_ATTEMPTS},
    {"name": "once", "path_prefix": "/once/", "route_kind": "unsafe", "timeout_ms": 2000,
     "sla_ms": 150, "service": "app", "max_attempts": MAX_CALL_ATTEMPTS},
    {"name": "score", "path_prefix": "/score/", "route_kind": "safe", "timeout_ms": 3000,
     "sla_ms": 800, "service": "app", "max_attempts": 4},
    {"name": "train", "path_prefix": "/train/", "route_kind": "rollout", "timeout_ms": 5000,
     "sla_ms": 1000, "due_ms": DUE_S * 1000, "retention_s": ABANDON_AFTER_S, "service": "llm",
     "max_attempts": MAX_SAMPLE_ATTEMPTS},
    {"name": "long", "path_prefix": "/long/", "route_kind": "unsafe", "timeout_ms": 10000,
     "sla_ms": 2000, "service": "app", "max_attempts": MAX_CALL_ATTEMPTS},
    {"name": "chat", "path_prefix": "/chat/", "route_kind": "streaming", "resumable": True,
     "timeout_ms": 5000, "sla_ms": 500, "service": "chat", "max_attempts": MAX_CALL_ATTEMPTS},
]


def configuration(version):
    return {"version": version,
            "routes": [route | {"host": HOST, "priority": 1} for route in ROUTES],
            "services": [{"name": "app", "health_path": "/health", "max_conns": 200},
                         {"name": "chat", "health_path": "/health", "max_conns": 200},
                         {"name": "llm", "health_path": "/health", "max_conns": 200,
                          "engine": {"slots": 8, "models": [{"name": "m"}]}}],
            "limits": {}}


class GatewayProcess:
    """One gateway process, its settings and its signals."""

    def __init__(self, program, folder, name, zone, ports, store_port):
        self.program = program
        self.name = name
        self.port, self.ready_port, self.peer_port, _ = ports
        self.store_port = store_port
        self.zone = zone
        self.settings = folder / f"{name}.yaml"
        self.log_path = folder / f"{name}.log"
        self.process = None
        self.freezes = 0
        self.stopping = False

    def write_settings(self, peers, log_level):
        self.settings.write_text(
            f"instance: {self.name}\ndata_center: {self.zone}\n"
            f"listen: \"127.0.0.1:{self.port}\"\nready_listen: \"127.0.0.1:{self.ready_port}\"\n"
            f"platform_address: \"127.0.0.1:{self.store_port}\"\n"
            f"peer_listen: \"127.0.0.1:{self.peer_port}\"\npeers: \"{peers}\"\n"
            "machine: {cores: 0.5, link_mbps: 1000, memory_mb: 270}\njob_partitions: 8\n"
            f"results_kept_s: 120\norder_lease_ms: 3000\nshutdown_grace_s: {STOP_GRACE_S}\n"
            f"log: {{level: {log_level}}}\n")

    def start(self):
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [str(self.program), "gateway"], stdout=log, stderr=log,
                env=os.environ | {"CAROBBANK_CONFIG": str(self.settings)})
        self.stopping = False

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_end(self, timeout_s):
        end = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll() is not None

    async def ready(self):
        response = await fetch(self.ready_port, "GET", "/v1/readiness", {}, timeout_s=0.5)
        return response is not None and response.status == 200


class Soak:
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.traffic_random = random.Random(options.seed + 1_000_000)
        self.folder = Path(tempfile.mkdtemp(prefix="carobbank-soak-"))
        self.store = Store(random.Random(options.seed + 2_000_000))
        self.fleet = Fleet(self.store, random.Random(options.seed + 3_000_000))
        self.gateways = []
        self.ports = None
        self.history = checks.History(TOUCH_S, sample_max_attempts=MAX_SAMPLE_ATTEMPTS)
        self.injected = collections.Counter()
        self.version = 1
        self.calls = collections.Counter()
        self.long_calls = collections.Counter()
        self.samples = collections.Counter()
        self.sample_states = {}
        self.ids = itertools.count(1)
        self.tasks = []
        self.stopped = False

    async def run(self):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.record_error)
        # Ends the gateways too when the soak is ended.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await self.start()
            traffic_end = time.monotonic() + self.options.seconds
            self.spawn(self.call_continuously(traffic_end))
            self.spawn(self.train_continuously(traffic_end))
            self.spawn(self.repeat_fatal_calls(traffic_end))
            if self.options.streams_per_s > 0:
                self.spawn(streams.call_streams(self, HOST, self.options.streams_per_s,
                                                traffic_end))
            for gateway in self.gateways:
                for _ in range(KEPT_CONNECTIONS):
                    self.spawn(self.call_on_kept_connections(gateway, traffic_end))
            await self.inject_faults(traffic_end)
            await asyncio.gather(*self.tasks)
        finally:
            await self.stop()
        return self.report()

    def record_error(self, _loop, context):
        error = context.get("exception")
        self.history.errors.append(f"{context['message']}: {error!r}")

    def spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def start(self):
        names = [f"gateway-{index}" for index in range(self.options.gateways)]
        self.ports = PortBlocks(SPARE_PORTS + self.options.gateways * (
            PORTS_OF_GATEWAY + 3 * self.options.servers))
        for index, name in enumerate(names):
            own = [self.ports.next_free() for _ in range(PORTS_OF_GATEWAY)]
            await self.store.listen(name, own[3])
            self.gateways.append(GatewayProcess(
                self.options.program, self.folder, name, ZONES[index % len(ZONES)], own, own[3]))
        self.store.put("keyed.op", "config", json.dumps(configuration(1)).encode())
        services = [("app", 6), ("llm", 12)]
        if self.options.streams_per_s > 0:
            services.append(("chat", 12))
        for service, slots in services:
            for index in range(self.options.servers):
                await self.fleet.add(f"{service}-{index}", service, ZONES[index % len(ZONES)],
                                     slots, {name: self.ports.next_free() for name in names},
                                     new_ids=service == "chat" and not self.options.same_ids)
        peers = ",".join(f"127.0.0.1:{g.peer_port}" for g in self.gateways[:3])
        for gateway in self.gateways:
            gateway.write_settings(peers, self.options.log_level)
            gateway.start()
        await self.wait_ready()

    async def wait_ready(self):
        end = time.monotonic() + START_TIMEOUT_S
        while not all([await gateway.ready() for gateway in self.gateways]):
            if time.monotonic() > end:
                raise RuntimeError(f"gateways did not become ready; see {self.folder}")
            await asyncio.sleep(0.1)

    async def stop(self):
        self.stopped = True
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.signal(signal.SIGKILL)
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.wait()
        self.fleet.close()
        self.store.close()
        if self.ports is not None:
            self.ports.close()

    # Callers.

    def any_gateway(self):
        """A gateway as the load balancer picks it; frozen ones are noticed late."""
        serving = [g for g in self.gateways if not g.stopping and g.process.poll() is None]
        return self.traffic_random.choice(serving or self.gateways)

    async def call(self, target, body, attempts):
        """Sends a request, and again on failure. Returns the last status, 0 for no response."""
        status = 0
        for _ in range(attempts):
            request_id = f"r{next(self.ids)}"
            now = time.monotonic()
            gateway = self.any_gateway()
            self.history.attempts[request_id] = checks.Attempt(
                request_id, now, CALL_DEADLINE_S, MAX_CALL_ATTEMPTS, gateway.name)
            response = await fetch(
                gateway.port, "POST", target,
                {"Host": HOST, "X-Request-Id": request_id,
                 "X-Deadline-Ms": str(int(CALL_DEADLINE_S * 1000))},
                body.encode(), timeout_s=CALL_DEADLINE_S + 0.5)
            status = response.status if response is not None else 0
            if response is not None:
                self.history.answers[request_id] = (status, response.body)
            if response is not None and "server-leaving" in response.headers:
                server_id = response.headers["x-server-stamp"].removeprefix("s.")
                self.history.leaving_told.append(
                    (time.monotonic(), self.fleet.run_of(request_id, server_id)))
            if status == 200:
                return status
            if response is not None and b"quarantined" in response.body:
                status = -1
            retry_after = float(response.headers.get("retry-after", 0)) if response else 0
            await asyncio.sleep(min(retry_after, CALL_DEADLINE_S / 3))
        return status

    async def call_continuously(self, end):
        running = RunningTasks()
        while time.monotonic() < end:
            running.start(self.sound_call())
            await asyncio.sleep(self.traffic_random.expovariate(self.options.calls_per_s))
        await running.wait()

    async def sound_call(self):
        number = next(self.ids)
        draw = self.traffic_random.random()
        if draw < 0.1:
            status = await self.call("/once/x", f"sound {number}", 1)
        elif draw < 0.12:
            await self.call("/app/x", f"fails {number}", 2)
            return
        else:
            status = await self.call("/app/x", f"sound {number}", 3)
        key = {200: "served", -1: "refused as quarantined", 503: "refused", 0: "no response"}
        self.calls[key.get(status, f"status {status}")] += 1

    async def call_on_kept_connections(self, gateway, end):
        """Sends calls on one connection, which stays open until the gateway closes it."""
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            try:
                while time.monotonic() < end:
                    sent_at = time.monotonic()
                    head = await asyncio.wait_for(
                        self.exchange_on_kept(gateway, reader, writer), CALL_DEADLINE_S + 1)
                    if head is None:
                        # A close that crosses a request is no loss.
                        if not reader.at_eof() or time.monotonic() - sent_at > 0.2:
                            self.history.lost_on_kept.append((time.monotonic(), gateway.name))
                        break
                    if head[1].get("connection", "").lower() == "close":
                        break
                    # Idle most of the time.
                    await asyncio.sleep(self.traffic_random.expovariate(1.0))
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                self.history.lost_on_kept.append((time.monotonic(), gateway.name))
            finally:
                writer.close()
            await asyncio.sleep(self.traffic_random.expovariate(2.0))

    async def exchange_on_kept(self, gateway, reader, writer):
        number = next(self.ids)
        self.history.gateways_asked[f"k{number}"] = gateway.name
        body = f"sound {number}".encode()
        await write_request(
            writer, "POST", "/app/x",
            {"Host": HOST, "X-Request-Id": f"k{number}",
             "X-Deadline-Ms": int(CALL_DEADLINE_S * 1000)}, body)
        head = await read_headers(reader)
        if head is not None:
            await read_body(reader, head[1])
        return head

    async def repeat_fatal_calls(self, end):
        while time.monotonic() < end:
            if self.options.fatal:
                target = "/app/x" if self.traffic_random.random() < 0.7 else "/once/x"
                await self.call(target, f"fatal call {self.traffic_random.randrange(2)}", 1)
            await asyncio.sleep(self.traffic_random.uniform(0.05, 0.5))

    # Trainers.

    async def train_continuously(self, end):
        carried, running = [], RunningTasks()
        step = 0
        while time.monotonic() < end:
            groups = carried + [self.new_group(step, index)
                                for index in range(self.options.groups - len(carried))]
            carried = []
            running.start(self.train_step(step, groups, carried))
            step += 1
            await asyncio.sleep(STEP_PERIOD_S)
            carried = carried[:self.options.groups // 2]
        await running.wait()

    def new_group(self, step, index):
        return [self.new_sample(f"s{step}g{index}", number) for number in range(GROUP_SIZE)]

    def new_sample(self, group, number):
        sample_id = f"{group}n{number}"
        draw = self.traffic_random.random()
        share = self.options.bad_samples
        kinds = ["fails", "unprocessable", "fatal"] if self.options.fatal else [
            "fails", "unprocessable"]
        rewards = ["fails", "missing", "unprocessable"]
        body, reward = f"sound {sample_id}", f"sound reward {sample_id}"
        if draw < share:
            body = f"{self.traffic_random.choice(kinds)} {sample_id}"
        elif draw < 2 * share:
            reward = f"{self.traffic_random.choice(rewards)} {sample_id}"
        return {"id": sample_id, "path": f"/train/{sample_id}",
                "headers": {"X-Model": "m", "X-Token-Count": "100,60"},
                "body": base64.b64encode(body.encode()).decode(), "tokens": 160, "group": group,
                "scorer": {"id": f"w{sample_id}", "host": HOST, "path": f"/score/{sample_id}",
                           "body": base64.b64encode(reward.encode()).decode()}}

    async def train_step(self, step, groups, carried):
        """Runs one step; appends the groups that were not complete to `carried`."""
        job_id = f"job{step}"
        items = [sample for group in groups for sample in group]
        body = json.dumps({"step": step, "model": "m", "min_version": 1,
                           "target_groups": int(len(groups) * SHARE_OF_GROUPS),
                           "items": items}).encode()
        begin = time.monotonic()
        headers = {"Host": HOST, "X-Request-Id": job_id, "Content-Type": "application/json"}
        for sample in items:
            self.history.job_submissions[sample["scorer"]["id"]].append(begin)
        accepted = False
        while not accepted and time.monotonic() < begin + ABANDON_AFTER_S:
            response = await fetch(self.any_gateway().port, "POST", f"/train/{job_id}", headers,
                                   body, timeout_s=2.0)
            accepted = response is not None and response.status == 202
            if not accepted:
                await asyncio.sleep(0.1)
        listed = await self.read_results(job_id, groups, begin)
        for group in groups:
            if not all(sample["id"] in listed for sample in group):
                carried.append(group)
        for sample in items:
            self.count_sample(sample, listed.get(sample["id"]))
        ended = False
        while not ended and not self.stopped and time.monotonic() < begin + 2 * ABANDON_AFTER_S:
            response = await fetch(self.any_gateway().port, "DELETE", f"/v1/lots/{job_id}",
                                   {"Host": HOST}, timeout_s=2.0)
            ended = response is not None and response.status == 200
            if not ended:
                await asyncio.sleep(0.1)

    def count_sample(self, sample, state):
        body = base64.b64decode(sample["body"]).decode()
        reward = base64.b64decode(sample["scorer"]["body"]).decode()
        kind = "sound" if body.startswith("sound") and reward.startswith("sound") else "bad"
        if state == "completed" or self.sample_states.get(sample["id"], (kind, None))[1] is None:
            self.sample_states[sample["id"]] = (kind, state)

    async def read_results(self, job_id, groups, begin):
        """Reads until nine groups in ten are complete, or the step is due."""
        position, listed = 0, {}
        while time.monotonic() < begin + DUE_S:
            response = await fetch(
                self.any_gateway().port, "GET", f"/v1/lots/{job_id}?after={position}",
                {"Host": HOST, "X-Wait-Ms": "300"}, timeout_s=1.0)
            if response is not None and response.status == 200:
                page = json.loads(response.body)
                position = page["next_token"]
                listed |= {result["id"]: result["state"] for result in page["results"]}
                self.history.outputs |= {result["id"]: result["output"]
                                         for result in page["results"]
                                         if result["state"] == "completed"}
                complete = sum(all(sample["id"] in listed for sample in group)
                               for group in groups)
                if complete >= SHARE_OF_GROUPS * len(groups):
                    break
            await asyncio.sleep(0.2)
        return listed

    # Faults.

    async def inject_faults(self, end):
        """Injects faults one after the other without waiting for their end, so they overlap."""
        named = self.options.faults or FAULTS.keys() - ONLY_IF_NAMED
        kinds = [name for name in FAULTS if name in named]
        while time.monotonic() < end - TOUCH_S:
            await asyncio.sleep(self.random.expovariate(1 / self.options.fault_gap_s))
            kind = self.random.choice(kinds)
            # Faults draw from generators of their own, so that the plan is the seed's.
            fault_random = random.Random(self.random.getrandbits(64))
            self.injected[kind] += 1
            self.spawn(FAULTS[kind](self, fault_random))
        await asyncio.sleep(max(0.0, end - time.monotonic()))

    async def disrupt(self, gateway, action):
        """Records the span of `action`, which restarts or freezes the gateway."""
        begin = time.monotonic()
        span = (begin, float("inf"))
        lists = (self.history.gateway_disruptions[gateway.name],
                 self.history.restarts[gateway.name])
        for spans in lists:
            spans.append(span)
        await action
        for spans in lists:
            spans.remove(span)
            spans.append((begin, time.monotonic()))

    async def open_connections_for_stop(self, gateway):
        """Opens connections on which unsafe calls are sent until the end of the grace."""
        connections = []
        try:
            for _ in range(int(STOP_GRACE_S / LONG_CALL_GAP_S)):
                connections.append(await asyncio.open_connection("127.0.0.1", gateway.port))
        except OSError:  # The gateway has been killed, or has not started yet.
            pass
        stop = checks.PlannedStop(gateway.name, time.monotonic(), STOP_GRACE_S)
        self.history.planned_stops.append(stop)
        for number, connection in enumerate(connections):
            self.spawn(self.call_beside_stop(stop, number * LONG_CALL_GAP_S, *connection))

    async def call_beside_stop(self, stop, delay_s, reader, writer):
        request_id = f"l{next(self.ids)}"
        self.history.gateways_asked[request_id] = stop.gateway
        sent_at = stop.at + delay_s
        try:
            await asyncio.sleep(sent_at - time.monotonic())
            await write_request(
                writer, "POST", "/long/x",
                {"Host": HOST, "X-Request-Id": request_id,
                 "X-Deadline-Ms": LONG_CALL_DEADLINE_S * 1000}, f"sound {request_id}".encode())
            head = await asyncio.wait_for(read_headers(reader), LONG_CALL_DEADLINE_S + 1)
            if head is None:
                raise ConnectionError
            body = await read_body(reader, head[1])
            code = json.loads(body)["code"] if body.startswith(b"{") else ""
            self.long_calls[f"status {status_of(head)} {code}".strip()] += 1
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            stop.unanswered.append((sent_at, request_id))
            self.long_calls["no response"] += 1
        finally:
            writer.close()

    async def restart(self, gateway, number, pause_s):
        if gateway.stopping or self.stopped:
            return
        gateway.stopping = True
        freezes = gateway.freezes
        gateway.signal(signal.SIGCONT)
        if number == signal.SIGTERM:
            await self.open_connections_for_stop(gateway)
        gateway.signal(number)
        if not await gateway.wait_end(STOP_GRACE_S + 2):
            if number == signal.SIGTERM and gateway.freezes == freezes:
                self.history.slow_stops.append(gateway.name)
            gateway.signal(signal.SIGKILL)
            await gateway.wait_end(STOP_GRACE_S)
        await asyncio.sleep(pause_s)
        if not self.stopped:
            gateway.start()

    async def kill(self, rng):
        gateway = rng.choice(self.gateways)
        await self.disrupt(gateway, self.restart(gateway, signal.SIGKILL, rng.uniform(0.1, 2)))

    async def kill_all(self, rng):
        """Kills all gateways at once; they start again at different times."""
        for gateway in self.gateways:
            self.spawn(self.disrupt(
                gateway, self.restart(gateway, signal.SIGKILL, rng.uniform(0.1, 1))))

    async def kill_owners(self, rng):
        """Kills each owner of job partitions soon after it became one, several times."""
        for _ in range(rng.randrange(2, 6)):
            owners = {member.rsplit("@", 1)[0] for group in self.store.groups.values()
                      for member in group.owners.values()}
            named = [g for g in self.gateways if any(g.name in owner for owner in owners)]
            for gateway in named[:2]:
                self.spawn(self.disrupt(
                    gateway, self.restart(gateway, signal.SIGKILL, rng.uniform(0.1, 1))))
            await asyncio.sleep(rng.uniform(0.3, 2.0))

    async def terminate(self, rng):
        gateway = rng.choice(self.gateways)
        await self.disrupt(gateway, self.restart(gateway, signal.SIGTERM, rng.uniform(0.1, 1)))

    async def terminate_in_turn(self, rng):
        """Restarts several gateways one after the other; their stops overlap."""
        for gateway in rng.sample(self.gateways, rng.randrange(2, len(self.gateways) + 1)):
            self.spawn(self.disrupt(
                gateway, self.restart(gateway, signal.SIGTERM, rng.uniform(0.1, 0.5))))
            await asyncio.sleep(rng.uniform(0.2, 2.0))

    async def hang_up(self, rng):
        for gateway in rng.sample(self.gateways, rng.randrange(1, len(self.gateways) + 1)):
            gateway.signal(signal.SIGHUP)

    async def configure(self, rng):
        """Publishes several configurations in series."""
        for _ in range(rng.randrange(1, 4)):
            self.version += 1
            self.store.put("keyed.op", "config",
                           json.dumps(configuration(self.version)).encode())
            await asyncio.sleep(rng.uniform(0.05, 1.0))

    async def freeze(self, rng):
        gateway = rng.choice(self.gateways)

        async def stop_and_continue():
            gateway.freezes += 1
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.3, 6))
            gateway.signal(signal.SIGCONT)
        await self.disrupt(gateway, stop_and_continue())

    async def disturb_store(self, rng):
        mode = rng.choice(["busy", "reset", "silent", "slow", "lost"])
        everywhere = rng.random() < 0.5
        names = [g.name for g in self.gateways]
        names = names if everywhere else rng.sample(names, max(1, len(names) // 3))
        begin, until = time.monotonic(), rng.uniform(0.5, 6)
        span = (begin, float("inf"))
        lists = ([self.history.store_disruptions] if everywhere else
                 [self.history.gateway_disruptions[name] for name in names])
        for spans in lists:
            spans.append(span)
        for name in names:
            faults = self.store.faults[name]
            if mode == "slow":
                faults.delay_s = 0.2
            elif mode == "lost":
                faults.lose_answers = 0.3
            else:
                faults.mode = mode
                self.store.listeners[name].drop_connections()
        await asyncio.sleep(until)
        for name in names:
            faults = self.store.faults[name]
            faults.mode, faults.delay_s, faults.lose_answers = "up", 0.004, 0.0
        for spans in lists:
            spans.remove(span)
            spans.append((begin, time.monotonic()))

    async def deal_partitions_anew(self, _rng):
        for group in self.store.groups.values():
            group.deal_anew()

    async def crash_servers(self, rng):
        for server in rng.sample(list(self.fleet.servers.values()), rng.randrange(1, 4)):
            server.crash(rng.uniform(0.3, 6))

    async def leave(self, rng):
        """Servers say that they leave; gateways that are cut off from the store as well."""
        if rng.random() < 0.7:
            self.spawn(self.disturb_store(rng))
        chosen = rng.sample(list(self.fleet.servers.values()), rng.randrange(1, 4))
        await asyncio.gather(*[server.leave(rng.uniform(3, 6), rng.uniform(0.3, 2))
                               for server in chosen if server.up])

    async def make_streams_grey(self, rng):
        await self.make_grey(rng, ("chat",))

    async def make_grey(self, rng, services=("app", "llm")):
        service = rng.choice(services)
        servers = self.fleet.of(service)
        chosen = rng.sample(servers, rng.randrange(1, len(servers) + 1))
        mode = rng.choice(["errors", "shed", "reset", "hang", "endless", "status"])
        share = rng.uniform(0.1, 0.8)
        for server in chosen:
            server.grey_mode, server.grey = mode, share
        await asyncio.sleep(rng.uniform(0.5, 4))
        for server in chosen:
            server.grey = 0.0

    async def make_slow(self, rng):
        chosen = rng.sample(list(self.fleet.servers.values()), 3)
        factor = rng.uniform(3, 30)
        for server in chosen:
            server.work_s *= factor
        await asyncio.sleep(rng.uniform(0.5, 4))
        for server in chosen:
            server.work_s /= factor

    async def limit(self, rng):
        """Servers of a service name a limit, some of them no valid one."""
        servers = self.fleet.of(rng.choice(["app", "llm"]))
        for server in rng.sample(servers, rng.randrange(1, len(servers) + 1)):
            if server.up:
                malformed = rng.random() < 0.1
                server.name_limit(rng.choice(["-1", "1e400", "many"]) if malformed else
                                  f"{rng.uniform(0.5, 8):.2f}")
        await asyncio.sleep(rng.uniform(4, 9))
        for server in servers:
            server.name_no_limit()

    async def change_software(self, rng):
        """Servers crash and start again under their ids, each at one of two versions."""
        self.fleet.software_changes = True
        await self.crash_servers(rng)

    async def reset_connections(self, rng):
        for server in rng.sample(list(self.fleet.servers.values()), 4):
            for listener in server.listeners:
                listener.drop_connections(rng.random() < 0.5)

    # Report.

    def report(self):
        self.history.runs = self.fleet.runs
        self.history.limit_spans = [span for server in self.fleet.servers.values()
                                    for span in server.limit_spans]
        states = [state for kind, state in self.sample_states.values() if kind == "sound"]
        self.history.sound_samples = len(states)
        self.history.completed_samples = states.count("completed")
        self.samples = collections.Counter(
            f"{kind} {state or 'not listed'}" for kind, state in self.sample_states.values())
        print(f"seed {self.options.seed}: {len(self.gateways)} gateways, "
              f"{len(self.fleet.servers)} servers, {len(self.fleet.runs)} requests at servers, "
              f"{self.store.calls} calls to the store")
        print("  injected:", dict(sorted(self.injected.items())))
        print("  sound calls:", dict(self.calls))
        print("  calls beside planned stops:", dict(self.long_calls))
        print("  samples:", dict(sorted(self.samples.items())))
        print("  streams:", streams.summary(self.history.streams))
        violated = False
        for name, check in checks.CHECKS.items():
            found = check(self.history)
            violated = violated or bool(found)
            print(f"  {name}: {len(found)} violations")
            for line in found[:4]:
                print(f"    {line}")
        if violated or self.options.keep_logs:
            print(f"  logs of the gateways: {self.folder}")
        else:
            shutil.rmtree(self.folder)
        return not violated


FAULTS = {
    "kill": Soak.kill,
    "kill_owners": Soak.kill_owners,
    "terminate": Soak.terminate,
    "terminate_in_turn": Soak.terminate_in_turn,
    "hang_up": Soak.hang_up,
    "configure": Soak.configure,
    "freeze": Soak.freeze,
    "store": Soak.disturb_store,
    "deal_anew": Soak.deal_partitions_anew,
    "crash": Soak.crash_servers,
    "leave": Soak.leave,
    "grey": Soak.make_grey,
    "grey_streams": Soak.make_streams_grey,
    "slow": Soak.make_slow,
    "reset": Soak.reset_connections,
    "limit": Soak.limit,
    "software": Soak.change_software,
    "kill_all": Soak.kill_all,
}
# Jobs may get too few results for the checks then, or there are no streams.
ONLY_IF_NAMED = {"kill_all", "grey_streams"}


class PortBlocks:
    """Ports below the ephemeral range that other soaks on the machine leave alone.

    The first port of each block stays bound as a claim on the block, because a server that is
    down does not hold its own ports.
    """

    BLOCK = 400

    def __init__(self, count):
        blocks = -(-count // (self.BLOCK - 1))
        while True:
            first = random.SystemRandom().randrange(BASE_PORT, LAST_PORT - blocks * self.BLOCK)
            first -= first % self.BLOCK
            self.claims = []
            try:
                for block in range(blocks):
                    self.claims.append(socket.socket())
                    self.claims[-1].bind(("127.0.0.1", first + block * self.BLOCK))
                break
            except OSError:
                self.close()
        self.ports = iter(port for port in range(first, first + blocks * self.BLOCK)
                          if port % self.BLOCK != 0)

    def close(self):
        for claim in self.claims:
            claim.close()

    def next_free(self):
        while True:
            port = next(self.ports)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue


def parse_seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", type=Path, default=Path("Build/release/bin/carobbank"))
    parser.add_argument("--seeds", type=parse_seeds, default=range(1, 3), help="such as 1-50")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--servers", type=int, default=8, help="of each of the two services")
    parser.add_argument("--calls-per-s", type=float, default=25.0)
    parser.add_argument("--groups", type=int, default=20, help="of four samples, each step")
    parser.add_argument("--streams-per-s", type=float, default=0.0,
                        help="of clients; with servers that get new ids at each start")
    parser.add_argument("--same-ids", action="store_true",
                        help="the servers of streams start again under their ids")
    parser.add_argument("--bad-samples", type=float, default=0.02)
    parser.add_argument("--no-fatal", dest="fatal", action="store_false")
    parser.add_argument("--fault-gap-s", type=float, default=0.8)
    parser.add_argument("--faults", type=lambda text: text.split(","), default=[],
                        help="kinds to inject; all without it: " + ", ".join(FAULTS))
    parser.add_argument("--keep-logs", action="store_true")
    parser.add_argument("--log-level", default="info")
    options = parser.parse_args()
    failed = []
    for seed in options.seeds:
        options.seed = seed
        if not asyncio.run(Soak(options).run()):
            failed.append(seed)
        sys.stdout.flush()
    if failed:
        print("violations in seeds", " ".join(map(str, failed)))
    # The form of a test program's summary, which the count of tests reads.
    total = len(options.seeds)
    if failed:
        print(f"Errors ({len(failed)} failures, {total} tests, {total} ran)")
    else:
        print(f"OK ({total} tests, {total} ran)")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
