"""Streams that are taken up at a second server, which answers them with status 500."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig3  # noqa: E402
from http_io import read_headers, status_of, write_request  # noqa: E402
from http_io import Response  # noqa: E402

SERVERS = 7
EVENTS = 40
GAP_S = 0.05
CLIENTS = 42
GREY_SHARE = 0.4
ROUNDS = 10


class ResumedStreams(rig3.Case):
    def configuration(self):
        return {"version": 1,
                "routes": [{"name": "r-1", "host": self.HOST, "path_prefix": "/chat/",
                            "route_kind": "streaming", "resumable": True, "timeout_ms": 10000,
                            "sla_ms": 500, "priority": 1, "service": "chat", "max_attempts": 3}],
                "services": [{"name": "chat", "health_path": "/health", "max_conns": 180}],
                "limits": {}}

    def servers(self):
        servers = [rig3.Server(self, "chat", f"chat{index}", f"zone-{'ab'[index % 2]}", 12)
                   for index in range(SERVERS)]
        for server in servers:
            server.run = self.run_request
        self.grey = None
        return servers

    async def run_request(self, server, request):
        name = request.path.rsplit("/", 1)[-1]
        request_id = request.headers["x-request-id"]
        last = request.headers.get("last-event-id", "none")
        if server is self.grey and self.random.random() < GREY_SHARE:
            self.note(f"server {server.id}: request {request_id}, Last-Event-Id {last}: 500")
            return Response(500, {"X-Request-Id": request_id,
                                  "X-Server-Stamp": server.stamp(request)}, b"failed")
        self.note(f"server {server.id}: request {request_id}, Last-Event-Id {last}: runs")
        return await rig3.stream(server, request, EVENTS, GAP_S, name)

    async def read(self, number):
        """One client attempt. Returns the events and whether the response ended as complete."""
        gateway = self.gateways[number % len(self.gateways)]
        request_id = f"{number:016x}"
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        text, complete, status = b"", False, 0
        try:
            await write_request(writer, "POST", f"/chat/s{number}",
                                {"Host": self.HOST, "X-Request-Id": request_id,
                                 "X-Deadline-Ms": 9000})
            head = await read_headers(reader)
            if head is not None:
                status = status_of(head)
                if status == 200:
                    async for chunk in rig3.read_whole_chunks(reader):
                        text += chunk
                    complete = True
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
        ids = [int(line[4:]) for line in text.decode().split("\n") if line.startswith("id: ")]
        return request_id, status, ids, complete

    async def client(self, first):
        number = first
        while not self.ended:
            request_id, status, ids, complete = await self.read(number)
            self.streams += 1
            end = "as complete" if complete else "without its end"
            if complete and ids != list(range(1, EVENTS + 1)):
                self.broken += 1
                self.note(f"client: {request_id} status {status}: ended {end} after event "
                          f"{ids[-1] if ids else 0} of {EVENTS}: RULE BROKEN")
            elif status == 200:
                self.note(f"client: {request_id} status {status}: ended {end}, "
                          f"{len(ids)} events")
            else:
                self.note(f"client: {request_id} status {status}")
                await asyncio.sleep(0.3)
            number += CLIENTS

    async def play(self):
        self.ended, self.streams, self.broken = False, 0, 0
        clients = [asyncio.create_task(self.client(number)) for number in range(1, CLIENTS + 1)]
        await asyncio.sleep(2)
        for index in range(ROUNDS):
            if rig3.TROUBLE:
                # One of seven servers fails 0.4 of its requests; another one crashes.
                self.grey = self.all_servers[index % SERVERS]
                crashing = self.all_servers[(index + 3) % SERVERS]
                self.note(f"disruption: {self.grey.id} fails part of its requests")
                await asyncio.sleep(1)
                self.note(f"disruption: {crashing.id} crashes for 4 s")
                crashing.crash()
            else:
                await asyncio.sleep(1)
            await asyncio.sleep(4)
            if rig3.TROUBLE:
                self.grey = None
                await crashing.start()
            await asyncio.sleep(1.5)
        self.ended = True
        await asyncio.wait(clients, timeout=12)
        self.note(f"{self.streams} streams, {self.broken} ended as complete too early")
        return rig3.BROKEN if self.broken else rig3.HELD


if __name__ == "__main__":
    ResumedStreams(Path(__file__).resolve().parent).main()
