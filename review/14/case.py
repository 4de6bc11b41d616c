"""Clients take streams up again after crashes; the servers name the time of their start (`born`)."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig3  # noqa: E402
from http_io import read_headers, status_of, write_request  # noqa: E402

SERVERS = 6
EVENTS = 40
GAP_S = 0.05
CLIENTS = 36
CRASHES = 5
DOWN_S = 4.0
TRIES = 3
# As many as the rule needs.
LEAST_TAKEN_UP = 12


class BornServer(rig3.Server):
    """Starts again under its id and names in its entry when it started."""

    async def start(self):
        self.born = int(time.time() * 1000)
        await super().start()
        self.id = f"i-{self.name}"

    def register(self):
        self.id = f"i-{self.name}"
        self.seq += 1
        entry = {"service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": self.zone,
                 "version": self.software, "slots": self.slots, "state": "ready",
                 "cold_left_ms": 0, "seq": self.seq, "born": self.born}
        self.case.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def crash(self):
        """Ends like a killed process; it is back before its entry lapses or removes it."""
        self.up = False
        self.beat_task.cancel()
        self.listener.close()
        lapse = min(3 * rig3.BEAT_S, DOWN_S - 0.2)
        asyncio.get_running_loop().call_later(
            lapse, lambda: self.case.store.put("keyed.servers", self.id, b""))


class TakenUp(rig3.Case):
    def configuration(self):
        return {"version": 1,
                "routes": [{"name": "r-1", "host": self.HOST, "path_prefix": "/chat/",
                            "route_kind": "streaming", "resumable": True, "timeout_ms": 10000,
                            "sla_ms": 500, "priority": 1, "service": "chat", "max_attempts": 3}],
                "services": [{"name": "chat", "health_path": "/health", "max_conns": 180}],
                "limits": {}}

    def servers(self):
        servers = [BornServer(self, "chat", f"chat{index}", f"zone-{'ab'[index % 2]}", 12)
                   for index in range(SERVERS)]
        for server in servers:
            server.run = self.run_request
        return servers

    async def run_request(self, server, request):
        name = request.path.rsplit("/", 1)[-1]
        self.note(f"server {server.id}: request {request.headers['x-request-id']}, Last-Event-Id "
                  f"{request.headers.get('last-event-id', 'none')}: runs")
        return await rig3.stream(server, request, EVENTS, GAP_S, name)

    async def attempt(self, name, last, first_id):
        """One client attempt: its id, its status and the ids of its events."""
        self.sent += 1
        gateway = self.gateways[self.sent % len(self.gateways)]
        request_id = f"{self.sent:016x}"
        headers = {"Host": self.HOST, "X-Request-Id": request_id, "X-Deadline-Ms": 9000}
        if last:
            headers |= {"Last-Event-Id": last, "Resumes": first_id}
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        text, status = b"", 0
        try:
            await write_request(writer, "POST", f"/chat/{name}", headers)
            head = await read_headers(reader)
            if head is not None:
                status = status_of(head)
            if status == 200:
                async for chunk in rig3.read_whole_chunks(reader):
                    text += chunk
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
        ids = [int(line[4:]) for line in text.decode().split("\n") if line.startswith("id: ")]
        return request_id, status, ids

    async def client(self, number):
        stream = 0
        while not self.ended:
            stream += 1
            name = f"s{number}x{stream}"
            first_id, status, ids = await self.attempt(name, 0, "")
            self.asked += 1
            self.begun += 1 if ids else 0
            self.note(f"client: {name}, attempt {first_id}: status {status}, {len(ids)} events")
            if not ids:
                await asyncio.sleep(0.3)
            if ids and ids[-1] < EVENTS:
                await self.take_up(name, first_id, ids[-1])

    async def take_up(self, name, first_id, last):
        went_on = False
        for _ in range(TRIES):
            await asyncio.sleep(0.3)
            request_id, status, ids = await self.attempt(name, last, first_id)
            self.note(f"client: {name} taken up after event {last}, attempt {request_id}: status "
                      f"{status}, {len(ids)} events")
            if ids:
                went_on, last = True, ids[-1]
            if last == EVENTS:
                break
        self.taken_up += 1
        self.went_on += went_on

    async def play(self):
        self.ended = False
        self.sent = self.asked = self.begun = self.taken_up = self.went_on = 0
        clients = [asyncio.create_task(self.client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(4)
        for index in range(CRASHES):
            server = self.all_servers[index % SERVERS]
            if rig3.TROUBLE:
                self.note(f"disruption: {server.id} crashes for {DOWN_S} s")
                server.crash()
            await asyncio.sleep(DOWN_S)
            if rig3.TROUBLE:
                await server.start()
            await asyncio.sleep(3)
        self.ended = True
        await asyncio.wait(clients, timeout=12)
        new = self.begun / max(1, self.asked)
        again = self.went_on / max(1, self.taken_up)
        self.note(f"{self.begun} of {self.asked} new streams began ({new:.2f}); {self.went_on} of "
                  f"{self.taken_up} streams that clients took up went on ({again:.2f}); at least "
                  f"{SERVERS - 1} servers of the only software version served all the while")
        broken = self.taken_up >= LEAST_TAKEN_UP and again < new / 2
        return rig3.BROKEN if broken else rig3.HELD


if __name__ == "__main__":
    TakenUp(Path(__file__).resolve().parent).main()
