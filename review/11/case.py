"""Jobs of a route that was added while the store did not answer one gateway; their items afterwards."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig3  # noqa: E402
from http_io import fetch  # noqa: E402

MODELS = [f"daka{index}" for index in range(6)]
ITEMS = 12
EVENTS = 40
GAP_S = 0.05
ROUNDS = 8
SILENT_S = [4.8, 5.6, 6.4, 7.0, 4.4, 5.2, 6.0, 6.8]
CONFIG_APPLY_S = 2.0


class JobsOfNewRoutes(rig3.Case):
    GATEWAYS = 3

    def configuration(self):
        routes = [{"name": f"r-{number}", "host": self.HOST, "path_prefix": f"/train{number}/",
                   "route_kind": "rollout", "timeout_ms": 5000, "sla_ms": 1000, "priority": 1,
                   "due_ms": 7500, "retention_s": 40, "service": "llm", "max_attempts": 3}
                  for number in range(self.routes)]
        return {"version": self.routes, "routes": routes,
                "services": [{"name": "llm", "health_path": "/health", "max_conns": 180,
                              "engine": {"slots": 8, "kv_capacity": 90000,
                                         "models": [{"name": name} for name in MODELS]}}],
                "limits": {}}

    def __init__(self, folder):
        super().__init__(folder)
        self.routes = 1
        self.finished = set()
        self.ended = False

    def servers(self):
        servers = [rig3.Server(self, "llm", f"llm{index}", f"zone-{'ab'[index % 2]}", 8, MODELS)
                   for index in range(4)]
        for server in servers:
            server.run = self.run_item
        return servers

    async def run_item(self, server, request):
        item = request.headers["x-request-id"]
        self.note(f"server {server.id}: item {item}, Last-Event-Id "
                  f"{request.headers.get('last-event-id', 'none')}: runs")
        response = await rig3.stream(server, request, EVENTS, GAP_S, item)
        self.finished.add(item)
        self.note(f"server {server.id}: item {item}: finished")
        return response

    async def submit(self, gateway, job, model, route):
        items = [{"id": f"{job}i{index}", "path": f"/train{route}/3/{index}",
                  "headers": {"X-Model": model, "X-Token-Count": "20,40"},
                  "body": rig3.base64_text(b"prompt"), "tokens": 60, "group": f"{job}g{index // 4}"}
                 for index in range(ITEMS)]
        body = json.dumps({"step": route, "model": model, "min_version": 1, "target_groups": 3,
                           "items": items}).encode()
        end = time.monotonic() + 6
        while time.monotonic() < end:
            response = await fetch(gateway.port, "POST", f"/train{route}/{job}",
                                   {"Host": self.HOST, "X-Request-Id": job,
                                    "Content-Type": "application/json"}, body)
            status = response.status if response else None
            self.note(f"trainer: job {job} of route /train{route}/ to {gateway.name}: {status}")
            if status == 202:
                return True
            await asyncio.sleep(0.2)
        return False

    async def read(self, gateway, job):
        results, end = [], time.monotonic() + 14
        while len(results) < ITEMS and time.monotonic() < end:
            response = await fetch(gateway.port, "GET", f"/v1/lots/{job}?after={len(results)}",
                                   {"Host": self.HOST, "X-Wait-Ms": "1000"})
            if response is not None and response.status == 200:
                results += json.loads(response.body)["results"]
            else:
                await asyncio.sleep(0.3)
        return results

    async def round(self, number):
        cut, other = [self.gateways[(number + step) % len(self.gateways)] for step in (0, 1)]
        faults = self.store.faults[cut.name]
        begin, silent_s = time.monotonic(), SILENT_S[number % len(SILENT_S)]
        if rig3.TROUBLE:
            self.note(f"disruption: the store answers no call of {cut.name} for {silent_s} s")
            faults.mode = "silent"
        await asyncio.sleep(0.3)
        route = self.routes
        self.routes += 1
        self.publish(self.configuration())
        await asyncio.sleep(CONFIG_APPLY_S + 0.7)
        jobs = [f"{route:02x}{index:02x}" for index in range(len(MODELS))]
        submissions = [asyncio.create_task(self.submit(other, job, model, route))
                       for job, model in zip(jobs, MODELS)]
        await asyncio.sleep(max(0, begin + silent_s - time.monotonic()))
        if rig3.TROUBLE:
            self.note(f"the store answers {cut.name} again")
            faults.mode = "up"
        accepted = [job for job, ok in zip(jobs, await asyncio.gather(*submissions)) if ok]
        for job, results in zip(accepted, await asyncio.gather(
                *[self.read(other, job) for job in accepted])):
            lost = [result["id"] for result in results if result["state"] == "lost"]
            self.note(f"trainer: job {job}: {len(results)} of {ITEMS} results, {len(lost)} lost")
            if lost:
                self.lost += len(lost)
                self.note(f"job {job} was not ended, its route is in force, retention_s is 40, no "
                          f"server answered 422 or 500, and these items are lost: "
                          f"{' '.join(lost)}: RULE BROKEN")
            await fetch(other.port, "DELETE", f"/v1/lots/{job}", {"Host": self.HOST})

    async def play(self):
        self.lost = 0
        end = time.monotonic() + 85
        for number in range(ROUNDS):
            if time.monotonic() < end:
                await self.round(number)
        self.note(f"{self.lost} items lost")
        return rig3.BROKEN if self.lost else rig3.HELD


if __name__ == "__main__":
    JobsOfNewRoutes(Path(__file__).resolve().parent).main()
