"""The holder of the right to orders is killed, starts again, and loses its link to the store."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig3  # noqa: E402
from http_io import Response  # noqa: E402

import signal  # noqa: E402

MODELS = ["daka510000", "rada7437b5", "ravo486f6a"]
ENGINES = 30
LOAD_S = 0.9
# A step's training takes this long: each model gets a new version so often.
NAMED_EVERY_S = 4.0
DOWN_S = 2.6
UP_BEFORE_CUT_S = 0.2
CUT_S = 3.0
ROUNDS = 10


class Engine(rig3.Server):
    """Carries out an order in LOAD_S and doesn't check its fencing token."""

    busy = False

    def _order(self, order):
        self.case.note(f"server {self.id}: order of {order['holder']}, fence {order['fence']}, "
                       f"{order['model']} version {order['version']}")
        self.case.on_order(self, order)
        if self.busy or order.get("precondition", self.orders) != self.orders:
            return Response(409)
        if self.models.get(order["model"], 0) >= order["version"]:
            return Response(200)
        self.orders += 1
        self.busy = True
        asyncio.get_running_loop().call_later(LOAD_S, self._loaded, order)
        return Response(202)

    def _loaded(self, order):
        self.busy = False
        self.models[order["model"]] = order["version"]
        self.register()

    def report(self):
        return super().report() | {"busy": self.busy}


class TwoHolders(rig3.Case):
    GATEWAYS = 3

    def configuration(self):
        return {"version": 1,
                "routes": [{"name": "r-1", "host": self.HOST, "path_prefix": "/train/",
                            "route_kind": "rollout", "timeout_ms": 10000, "sla_ms": 500,
                            "priority": 1, "due_ms": 7500, "retention_s": 40, "service": "llm",
                            "max_attempts": 3}],
                "services": [{"name": "llm", "health_path": "/health", "max_conns": 180,
                              "engine": {"slots": 8, "kv_capacity": 90000,
                                         "models": [{"name": name} for name in MODELS]}}],
                "limits": {}}

    def servers(self):
        self.highest = {}
        self.broken = 0
        return [Engine(self, "llm", f"llm{index}", f"zone-{'ab'[index % 2]}", 8, MODELS)
                for index in range(ENGINES)]

    def on_order(self, server, order):
        seen = self.highest.get(server.id)
        if seen is not None and order["fence"] < seen[0] and order["holder"] != seen[1]:
            self.broken += 1
            self.note(f"server {server.id}: fence {order['fence']} of {order['holder']} after "
                      f"fence {seen[0]} of {seen[1]}, {time.monotonic() - seen[2]:.3f} s later: "
                      "RULE BROKEN")
        elif seen is None or order["fence"] >= seen[0]:
            self.highest[server.id] = (order["fence"], order["holder"], time.monotonic())

    async def name_versions(self, index):
        await asyncio.sleep(index * NAMED_EVERY_S / len(MODELS))
        version = 1
        while True:
            version += 1
            self.store.put("keyed.op", f"version/{MODELS[index]}", json.dumps(
                {"model": MODELS[index], "version": version}).encode())
            await asyncio.sleep(NAMED_EVERY_S)

    def last_claim(self):
        return self.store.topics[("keyed.carobbank-orders", 0)].newest["holder"]

    async def next_claim(self):
        """Waits until the holder writes to the store; returns the holder."""
        offset, _ = self.last_claim()
        while self.last_claim()[0] == offset:
            await asyncio.sleep(0.01)
        name = self.last_claim()[1].decode()
        return next(gateway for gateway in self.gateways if gateway.name == name)

    async def play(self):
        naming = [asyncio.create_task(self.name_versions(index)) for index in range(len(MODELS))]
        await asyncio.sleep(6)
        for _ in range(ROUNDS):
            holder = await self.next_claim()
            if rig3.TROUBLE:
                self.note(f"disruption: {holder.name}, which has just written to the store, is "
                          f"killed; it starts again {DOWN_S} s later")
                holder.signal(signal.SIGKILL)
                holder.process.wait()
            await asyncio.sleep(DOWN_S)
            if rig3.TROUBLE:
                holder.start()
            await asyncio.sleep(UP_BEFORE_CUT_S)
            if rig3.TROUBLE:
                self.note(f"disruption: {holder.name} is cut off from the store for {CUT_S} s")
                self.links[holder.name].open.clear()
            await asyncio.sleep(CUT_S)
            if rig3.TROUBLE:
                self.note(f"the link of {holder.name} is healed")
                self.links[holder.name].open.set()
            await asyncio.sleep(2.5)
        for task in naming:
            task.cancel()
        self.note(f"{self.broken} orders with a lower fencing token after a higher one")
        return rig3.BROKEN if self.broken else rig3.HELD


if __name__ == "__main__":
    TwoHolders(Path(__file__).resolve().parent).main()
