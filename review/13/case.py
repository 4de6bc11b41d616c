"""Streams that are sent on kept connections 3.4 s after the SIGTERM of a gateway, and last for 6 s."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig3  # noqa: E402
from http_io import read_headers, status_of, write_request  # noqa: E402

GAP_S = 0.05
SHORT_EVENTS = 20
LONG_EVENTS = 120
# Of streams of another route, which are open when SIGTERM comes and end well within the grace.
REPORT_EVENTS = 100
KEPT = 6
ROUNDS = 4
# Requests sent up to 3 s after the SIGTERM are excused if their servers still work near the end.
SENT_AFTER_S = 3.4


class StreamsAtShutdown(rig3.Case):
    def configuration(self):
        return {"version": 1,
                "routes": [{"name": f"r-{name}", "host": self.HOST, "path_prefix": f"/{name}/",
                            "route_kind": "streaming", "timeout_ms": 10000, "sla_ms": 500,
                            "priority": 1, "service": "chat", "max_attempts": 1}
                           for name in ("chat", "report")],
                "services": [{"name": "chat", "health_path": "/health", "max_conns": 180}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    def servers(self):
        servers = [rig3.Server(self, "chat", f"chat{index}", f"zone-{'ab'[index % 2]}", 12)
                   for index in range(4)]
        for server in servers:
            server.run = self.run_request
        return servers

    async def run_request(self, server, request):
        name = request.path.rsplit("/", 1)[-1]
        request_id = request.headers["x-request-id"]
        events = {"l": LONG_EVENTS, "r": REPORT_EVENTS}.get(name[0], SHORT_EVENTS)
        self.note(f"server {server.id}: request {request_id} ({name}): runs")
        try:
            response = await rig3.stream(server, request, events, GAP_S, name)
        except (OSError, rig3.ConnectionAborted):
            self.note(f"server {server.id}: request {request_id}: its connection was closed")
            raise
        self.note(f"server {server.id}: request {request_id}: all {events} events sent")
        return response

    async def exchange(self, reader, writer, name, route="chat"):
        """One request on an open connection: its status and events, and whether it is complete."""
        self.sent += 1
        request_id = f"{self.sent:016x}"
        await write_request(writer, "POST", f"/{route}/{name}",
                            {"Host": self.HOST, "X-Request-Id": request_id,
                             "X-Deadline-Ms": 10000})
        text, status = b"", 0
        try:
            head = await read_headers(reader)
            if head is None:
                return request_id, 0, 0, False
            status = status_of(head)
            if status == 200:
                async for chunk in rig3.read_whole_chunks(reader):
                    text += chunk
            else:
                await reader.readexactly(int(head[1].get("content-length", 0)))
            complete = True
        except (OSError, ValueError, asyncio.IncompleteReadError):
            complete = False
        return request_id, status, text.count(b"data: "), complete

    async def kept_client(self, gateway, number, send_long):
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        try:
            await self.exchange(reader, writer, f"short{number}")
            await send_long.wait()
            sent_at = time.monotonic() - self.terminated_at
            request_id, status, events, complete = await self.exchange(
                reader, writer, f"long{number}")
            end = "complete" if complete else "cut off"
            when = f"sent {sent_at:.2f} s after the SIGTERM, " if rig3.TROUBLE else ""
            self.note(f"client: {request_id} on a kept connection to {gateway.name}, {when}"
                      f"status {status}, {events} of {LONG_EVENTS} events, {end}")
            if status == 200 and not complete:
                self.lost += 1
                self.note(f"{request_id}: read, passed on to a server, and ended without a "
                          "complete answer: RULE BROKEN")
        finally:
            writer.close()

    async def round(self, number):
        gateway = self.gateways[number % len(self.gateways)]
        send_long = asyncio.Event()
        self.terminated_at = time.monotonic()
        kept = [asyncio.create_task(self.kept_client(gateway, number * KEPT + index, send_long))
                for index in range(KEPT)]
        await asyncio.sleep(SHORT_EVENTS * GAP_S + 1)
        reports = [asyncio.create_task(self.report_client(gateway, index)) for index in range(2)]
        await asyncio.sleep(0.2)
        self.terminated_at = time.monotonic()
        if rig3.TROUBLE:
            self.note(f"planned: SIGTERM to {gateway.name}")
            gateway.signal(signal.SIGTERM)
        await asyncio.sleep(SENT_AFTER_S)
        send_long.set()
        await asyncio.wait(kept + reports, timeout=12)
        if rig3.TROUBLE:
            while gateway.process.poll() is None:
                if time.monotonic() - self.terminated_at > rig3.GRACE_S:
                    gateway.signal(signal.SIGKILL)
                await asyncio.sleep(0.05)
            self.note(f"{gateway.name} ended {time.monotonic() - self.terminated_at:.2f} s after "
                      f"the SIGTERM with status {gateway.process.poll()}, and starts again")
            gateway.start()
            while not await gateway.ready():
                await asyncio.sleep(0.1)

    async def report_client(self, gateway, number):
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        request_id, status, events, complete = await self.exchange(
            reader, writer, f"report{number}", "report")
        self.note(f"client: {request_id}, open since before the SIGTERM: status {status}, "
                  f"{events} of {REPORT_EVENTS} events, {'complete' if complete else 'cut off'}")
        writer.close()

    async def usual_client(self, gateway, number):
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                await self.exchange(reader, writer, f"short-usual{number}")
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.5)

    async def play(self):
        self.sent = self.lost = 0
        usual = [asyncio.create_task(self.usual_client(gateway, index))
                 for gateway in self.gateways for index in range(4)]
        await asyncio.sleep(5)
        for number in range(ROUNDS):
            await self.round(number)
            await asyncio.sleep(4)
        for task in usual:
            task.cancel()
        self.note(f"{self.lost} of {ROUNDS * KEPT} requests lost")
        return rig3.BROKEN if self.lost else rig3.HELD


if __name__ == "__main__":
    StreamsAtShutdown(Path(__file__).resolve().parent).main()
