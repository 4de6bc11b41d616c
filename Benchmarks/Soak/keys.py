"""Checks keys and workspaces at real gateway processes, against stand-ins of the store and servers.

Guards against a key that reaches a server, a peer or a log, a request that runs without a known
key, jobs of other workspaces that are visible, keys that take effect late or never, and 401 or 404
from a gateway that can't read the log. Prints each failed check; exits with 1 if there was one.
"""

import argparse
import asyncio
import base64
import json
import sys
import time
from types import SimpleNamespace

import servers
from http_io import fetch
from soak import HOST, Soak, configuration

APPLY_S = 3.0
# Two polling rounds between gateways, and the time until a read of the log has failed.
ADOPT_S = 4.0
KEYS = ["key-of-acme-" + 28 * "a", "key-of-beta-" + 28 * "b", "key-added-" + 28 * "c"]
ACME, BETA, ADDED = KEYS


class KeyChecks(Soak):
    def __init__(self, program):
        super().__init__(SimpleNamespace(
            seed=1, program=program, gateways=3, servers=2, streams_per_s=0, same_ids=False,
            log_level="info"))
        self.received = []
        self.failures = []

    def record(self, server, request):
        self.received.append((server.service, request.headers))

    def publish(self, version, tenants, broken=False):
        body = configuration(version) | {"tenants": tenants}
        for route in body["routes"]:
            route["public"] = route["name"] == "once"
        if broken:
            body["tenants"] = tenants + [{"name": tenants[0]["name"]}]
        self.store.put("keyed.op", "config", json.dumps(body).encode())

    async def request(self, at, method, target, key=None, body=b"", **headers):
        name = f"r{next(self.ids)}"
        fields = {"Host": HOST, "X-Request-Id": name, "X-Deadline-Ms": "1500"} | headers
        if key is not None:
            fields["Authorization"] = f"Token {key}"
        return await fetch(self.gateways[at].port, method, target, fields, body)

    async def expect(self, status, what, *arguments, **headers):
        response = await self.request(*arguments, **headers)
        got = response.status if response is not None else None
        if got != status:
            self.failures.append(f"{what}: {got} in place of {status}")
        return response

    async def until(self, status, what, limit_s, *arguments):
        begin = time.monotonic()
        while True:
            response = await self.request(*arguments)
            took = time.monotonic() - begin
            if response is not None and response.status == status:
                print(f"{what}: {status} after {took:.2f} s")
                return
            if took > limit_s:
                self.failures.append(f"{what}: not {status} within {limit_s} s")
                return
            await asyncio.sleep(0.1)

    def expect_workspace(self, workspace, what):
        got = self.received[-1][1].get("x-tenant")
        if got != workspace:
            self.failures.append(f"{what}: the server received workspace {got}")

    async def check(self):
        # wait_ready() has passed with a configuration that has no workspaces.
        await self.expect(200, "no workspaces", 0, "POST", "/app/1", "any")
        acme = {"name": "acme", "api_keys": [ACME], "priority": 0}
        beta = {"name": "beta", "api_keys": [BETA]}
        self.publish(2, [acme, beta])
        for at in range(3):
            await self.until(401, "workspaces published", APPLY_S, at, "POST", "/app/1")
        await self.check_plain_calls()
        await self.check_malformed_keys()
        await self.check_jobs()
        self.publish(3, [acme | {"api_keys": [ACME, ADDED]}, beta], broken=True)
        await asyncio.sleep(1)
        await self.expect(401, "key of a refused configuration", 0, "POST", "/app/1", ADDED)
        self.restart_gateway(2)
        await self.until(200, "start after a refused configuration", 5, 2, "POST", "/app/1", ACME)
        await self.check_outages(acme, beta)

    def restart_gateway(self, index):
        self.gateways[index].process.kill()
        self.gateways[index].process.wait()
        self.gateways[index].start()

    async def check_plain_calls(self):
        for at in range(3):
            await self.expect(200, "known key", at, "POST", "/app/1", ACME, **{"X-Tenant": "beta"})
            self.expect_workspace("acme", "known key")
            await self.expect(401, "unknown key", at, "POST", "/app/1", ADDED)
            await self.expect(401, "no key", at, "POST", "/app/1", **{"X-Tenant": "acme"})
            await self.expect(200, "public, no key", at, "POST", "/once/1", **{"X-Tenant": "acme"})
            self.expect_workspace(None, "public, no key")
            await self.expect(200, "public, known key", at, "POST", "/once/1", BETA)
            self.expect_workspace("beta", "public, known key")

    async def check_malformed_keys(self):
        known = f"Authorization: Token {ACME}\r\n"
        for what, status, fields in (
                ("one field", 200, known),
                ("two equal fields", 401, known + known),
                ("two fields", 401, known + "authorization: Token x\r\n"),
                ("empty key", 401, "Authorization: Token \r\n"),
                ("another scheme", 401, f"Authorization: Bearer {ACME}\r\n"),
                ("a long key", 401, f"Authorization: Token {5000 * 'x'}\r\n"),
                # The HTTP server's own refusals.
                ("a control character", 400, f"Authorization: Token {ACME}\x01\r\n"),
                ("1 MB", 431, f"Authorization: Token {1000000 * 'x'}\r\n")):
            got = await self.status_of_raw(fields)
            if got != status:
                self.failures.append(f"{what}: {got} in place of {status}")

    async def status_of_raw(self, fields):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.gateways[0].port)
        writer.write((f"POST /app/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r{next(self.ids)}\r\n"
                      f"X-Deadline-Ms: 1500\r\nContent-Length: 0\r\n{fields}\r\n").encode())
        try:
            line = await asyncio.wait_for(reader.readline(), 3)
            return int(line.split()[1])
        except (OSError, asyncio.TimeoutError, IndexError):
            return None
        finally:
            writer.close()

    async def check_jobs(self):
        items = [{"id": f"s{index}", "path": f"/train/s{index}", "tokens": 50,
                  "body": base64.b64encode(b"sample").decode(),
                  "headers": {"Authorization": f"Token {ACME}", "X-Tenant": "beta"},
                  "scorer": {"id": f"c{index}", "host": HOST, "path": "/score/1",
                             "body": base64.b64encode(b"score").decode()}}
                 for index in range(4)]
        body = json.dumps({"step": 1, "model": "m", "items": items}).encode()
        await self.expect(401, "submit without a key", 0, "POST", "/train/j1", None, body,
                          **{"X-Request-Id": "j1"})
        await self.expect(202, "submit", 0, "POST", "/train/j1", ACME, body,
                          **{"X-Request-Id": "j1"})
        await self.expect(409, "submit another's id", 1, "POST", "/train/j1", BETA, body,
                          **{"X-Request-Id": "j1"})
        for at in range(3):
            await self.expect(200, "read", at, "GET", "/v1/lots/j1", ACME)
            await self.expect(404, "another's read", at, "GET", "/v1/lots/j1", BETA)
            await self.expect(404, "another's end", at, "DELETE", "/v1/lots/j1", BETA)
            await self.expect(401, "read without a key", at, "GET", "/v1/lots/j1")
        for _ in range(100):
            response = await self.request(1, "GET", "/v1/lots/j1", ACME)
            if len(json.loads(response.body)["results"]) == len(items):
                break
            await asyncio.sleep(0.1)
        else:
            self.failures.append("the job did not complete")
        of_job = [headers for _, headers in self.received
                  if headers.get("x-request-id", "r")[0] in "sc"]
        if len(of_job) < 2 * len(items):
            self.failures.append("servers received fewer than all samples and reward calls")
        if any(headers.get("x-tenant") != "acme" for headers in of_job):
            self.failures.append("a sample or reward call lacks the job's workspace")

    async def check_outages(self, acme, beta):
        # Only gateway 0 loses the log; it adopts the configuration of a peer.
        self.store.faults["gateway-0"].mode = "silent"
        await asyncio.sleep(APPLY_S + 1)
        await self.expect(503, "unknown key without the log", 0, "POST", "/app/1", "none")
        await self.expect(200, "known key without the log", 0, "POST", "/app/1", ACME)
        await self.expect(503, "unknown route without the log", 0, "POST", "/added/1", ACME)
        await self.expect(404, "unknown route", 1, "POST", "/added/1", ACME)
        self.publish(4, [acme | {"api_keys": [ADDED]}, beta])
        for at in (1, 2):
            await self.until(200, "added key", APPLY_S, at, "POST", "/app/1", ADDED)
            await self.until(401, "removed key", APPLY_S, at, "POST", "/app/1", ACME)
        await self.until(200, "added key, by a peer", ADOPT_S, 0, "POST", "/app/1", ADDED)
        await self.until(503, "removed key, by a peer", ADOPT_S, 0, "POST", "/app/1", ACME)
        self.store.faults["gateway-0"].mode = "up"
        await self.until(401, "removed key, by the log", 2 * APPLY_S, 0, "POST", "/app/1", ACME)
        await self.expect(200, "read after a change of keys", 0, "GET", "/v1/lots/j1", ADDED)
        # A started gateway without the log gets digests from its peers.
        for faults in self.store.faults.values():
            faults.mode = "busy"
        self.restart_gateway(2)
        await self.until(200, "known key after a start without the log", 10, 2, "POST", "/app/1",
                         ADDED)
        await self.expect(503, "unknown key after a start without the log", 2, "POST", "/app/1",
                          "none")

    async def check_secrets(self):
        texts = {gateway.name: gateway.log_path.read_bytes() for gateway in self.gateways}
        for gateway in self.gateways:
            state = await fetch(gateway.peer_port, "GET", "/peer/state?records=1", {})
            records = json.loads(state.body)["operator"]
            if not records:
                self.failures.append(f"{gateway.name} has no records for its peers")
            texts[f"state of {gateway.name}"] = b"".join(
                base64.b64decode(record[2]) for record in records)
        texts["headers at servers"] = json.dumps(
            [headers for _, headers in self.received[1:]]).encode()
        texts["records of jobs"] = b"".join(
            value for (topic, _), partition in self.store.topics.items()
            if topic not in ("keyed.op", "keyed.servers") for _, value in partition.records)
        for place, text in texts.items():
            if any(key.encode() in text for key in KEYS):
                self.failures.append(f"a key is in: {place}")
        if any("authorization" in headers for _, headers in self.received[1:]):
            self.failures.append("a server received an Authorization field")

    async def run(self):
        run = servers.Server._run

        async def recorded(server, gateway, request):
            self.record(server, request)
            return await run(server, gateway, request)
        servers.Server._run = recorded
        try:
            await self.start()
            await self.check()
            await self.check_secrets()
        finally:
            await self.stop()
        print("\n".join(self.failures) or "no check failed")
        # The summary line that Meta/count-tests.sh reads, as CppUTest prints it.
        print("Errors (1 failures, 1 tests, 1 ran)" if self.failures else "OK (1 tests, 1 ran)")
        return 1 if self.failures else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--program", required=True, help="the carobbank binary")
    sys.exit(asyncio.run(KeyChecks(parser.parse_args().program).run()))


if __name__ == "__main__":
    main()
