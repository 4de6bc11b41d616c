"""A text that is longer than a record of the store, and what becomes of the other jobs of its model."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig3  # noqa: E402
from http_io import Response, fetch  # noqa: E402

MODELS = [f"daka51{index:04}" for index in range(12)]
RECORD_BYTES = 262144
CALL_BYTES = 2097152
SLOTS = 4
SHORT_EVENTS = 24
# At 61 tokens an event it fits the memory of an engine, 81,781 tokens.
LONG_EVENTS = 900
DATA_BYTES = 340
ACK_S = 4.0
CANCEL_S = 3.0


class CheckingStore(rig3.QuietStore):
    """Refuses an append with a record that is longer than `record_bytes` allows."""

    async def _append(self, gateway, request):
        position = 0
        while position < len(request.body):
            length = int.from_bytes(request.body[position:position + 4], "big")
            if length > RECORD_BYTES or len(request.body) > CALL_BYTES:
                self.case.note(f"store: refuses an append of {gateway}, which has a record of "
                               f"{length} bytes")
                return Response(400)
            position += 4 + length
        return await super()._append(gateway, request)

    HANDLERS = rig3.Store.HANDLERS | {("POST", "/v1/log-append"): _append}


class LongText(rig3.Case):
    def __init__(self, folder):
        super().__init__(folder)
        self.store = CheckingStore(self.random)
        self.store.case = self
        self.calls = 0
        self.reached = {}
        self.finished = set()

    def configuration(self):
        return {"version": 1,
                "routes": [{"name": "r-1", "host": self.HOST, "path_prefix": "/train/",
                            "route_kind": "rollout", "timeout_ms": 10000, "sla_ms": 500,
                            "priority": 1, "due_ms": 7500, "retention_s": 40, "service": "llm",
                            "max_attempts": 3}],
                "services": [{"name": "llm", "health_path": "/health", "max_conns": 180,
                              "engine": {"slots": SLOTS, "kv_capacity": 81781,
                                         "models": [{"name": name} for name in MODELS]}}],
                "limits": {}}

    def servers(self):
        servers = [rig3.Server(self, "llm", f"llm{index}", f"zone-{'ab'[index % 2]}", SLOTS,
                               MODELS) for index in range(2)]
        for server in servers:
            server.run = self.run_item
        return servers

    async def run_item(self, server, request):
        item = request.headers["x-request-id"]
        self.reached.setdefault(item, []).append(time.monotonic())
        self.note(f"server {server.id}: item {item}, Last-Event-Id "
                  f"{request.headers.get('last-event-id', 'none')}: runs")
        long = item.startswith("long")
        response = await rig3.stream(server, request, LONG_EVENTS if long else SHORT_EVENTS,
                                     0.003 if long else 0.08, item + "." + DATA_BYTES * "x")
        self.finished.add(item)
        self.note(f"server {server.id}: item {item}: finished")
        return response

    async def submit(self, job, items):
        body = json.dumps({"step": 0, "model": self.model, "min_version": 1, "target_groups": 1,
                           "items": [
            {"id": item, "path": f"/train/3/{item}",
             "headers": {"X-Model": self.model, "X-Token-Count": "1016,80000"},
             "body": rig3.base64_text(b"prompt"), "tokens": 81016, "group": job}
            for item in items]}).encode()
        response = await self.call("POST", f"/train/{job}", {"X-Request-Id": job}, body)
        self.note(f"trainer: submits job {job} with {len(items)} items: {response}")
        return response == 202

    async def call(self, method, target, headers, body=b""):
        self.calls += 1
        gateway = self.gateways[self.calls % len(self.gateways)]
        response = await fetch(gateway.port, method, target,
                               {"Host": self.HOST, "Content-Type": "application/json"} | headers,
                               body)
        self.body = response.body if response else b""
        return response.status if response else None

    async def results(self, job):
        status = await self.call("GET", f"/v1/lots/{job}?after=0", {})
        return len(json.loads(self.body)["results"]) if status == 200 else f"status {status}"

    async def choose_model(self):
        """A model whose jobs belong to the gateway that gives the orders, as those of half do."""
        for self.model in MODELS:
            job = f"probe{self.model}"
            await self.submit(job, [f"{job}i"])
            await asyncio.sleep(0.1)
            number = next(part for (topic, part), partition in self.store.topics.items()
                          if f"j/{job}/0/1" in partition.newest)
            owner = self.store.groups["carobbank-jobs"].owners[number]
            holder = self.store.topics[("keyed.carobbank-orders", 0)].newest["holder"][1].decode()
            if owner.startswith(holder):
                return

    async def play(self):
        await self.choose_model()
        first = ["long0" if rig3.TROUBLE else "short0", "a1", "a2", "a3"]
        second = [f"b{index}" for index in range(160)]
        if rig3.TROUBLE:
            self.note(f"item long0 has {LONG_EVENTS} events of {DATA_BYTES} bytes")
        if not await self.submit("joba", first) or not await self.submit("jobb", second):
            return rig3.NOT_RUN
        await asyncio.sleep(10)
        self.note(f"trainer: job joba has {await self.results('joba')} results; servers have "
                  f"finished {len(self.finished & set(first))} of its {len(first)} items")
        return await self.end("jobb", second)

    async def end(self, job, items):
        sent = time.monotonic()
        acknowledged, counts_from = False, sent + ACK_S
        while not acknowledged and time.monotonic() < sent + 20:
            status = await self.call("DELETE", f"/v1/lots/{job}", {})
            acknowledged = status == 200
            self.note(f"trainer: ends job {job}: {status}")
            if acknowledged:
                counts_from = min(counts_from, time.monotonic())
            else:
                await asyncio.sleep(0.5)
        await asyncio.sleep(max(0, sent + 20 - time.monotonic()))
        late = [item for item in items
                for at in self.reached.get(item, []) if at > counts_from + CANCEL_S]
        self.note(f"trainer: job {job} has {await self.results(job)} results; servers have finished "
                  f"{len(self.finished & set(items))} of its items")
        self.note(f"{len(late)} runs of items of {job} reached a server later than cancel_ms after "
                  "its end was acknowledged, or counted as acknowledged after ack_ms")
        return rig3.BROKEN if late else rig3.HELD


if __name__ == "__main__":
    LongText(Path(__file__).resolve().parent).main()
