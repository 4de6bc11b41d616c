"""Stand-in of the platform's store: partitioned topics, keyed topics and consumer groups over HTTP.

Each gateway has a port of its own, so that the store can fail for single gateways, and so that
each gateway is shown addresses of backend servers that only it uses.
"""

import asyncio
import base64
import json
import struct
import time
from collections import defaultdict

from http_io import ConnectionAborted, Listener, Response

MAX_READ_BYTES = 1024 * 1024
MAX_PAGE_RECORDS = 500
READ_ONLY_TOPICS = ("keyed.op", "keyed.servers")


class Partition:
    """Records of one partition from the first retained offset on, and the newest one of each key."""

    def __init__(self, first=0):
        self.first = first
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, records):
        for key, value in records:
            self.newest[key] = (self.end, value)
            self.records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def trim(self):
        """Deletes all records; the newest one of each key stays readable."""
        self.first = self.end
        self.records = []


class Group:
    """Members of a consumer group and the partitions that they own."""

    def __init__(self):
        self.generation = 0
        self.expiry = {}
        self.owners = {}

    def remove_expired(self, now):
        for member in [name for name, at in self.expiry.items() if at < now]:
            self.remove(member)

    def remove(self, member):
        if self.expiry.pop(member, None) is not None:
            self.generation += 1
        for partition in [p for p, owner in self.owners.items() if owner == member]:
            del self.owners[partition]

    def join(self, member, ttl_s, partitions, now):
        """Returns the partitions that the member owns from now on."""
        self.remove_expired(now)
        if member not in self.expiry:
            self.generation += 1
        self.expiry[member] = now + ttl_s
        members = sorted(self.expiry)
        for index in range(partitions):
            wanted = members[index % len(members)]
            # A partition moves only after its owner has joined without it.
            if self.owners.get(index) == member and wanted != member:
                del self.owners[index]
                self.generation += 1
            if index not in self.owners and wanted == member:
                self.owners[index] = member
        return [index for index in range(partitions) if self.owners.get(index) == member]

    def deal_anew(self):
        """Assigns all partitions anew at once."""
        self.owners.clear()
        self.generation += 1


class StoreFaults:
    """How the store treats one gateway's calls."""

    def __init__(self):
        self.mode = "up"  # up, busy, reset, silent
        self.delay_s = 0.004
        self.lose_answers = 0.0


class Store:
    def __init__(self, random, partitions=8):
        self.random = random
        self.partitions = partitions
        self.topics = defaultdict(Partition)
        self.groups = defaultdict(Group)
        self.faults = {}
        self.listeners = {}
        self.calls = 0

    async def listen(self, gateway, port):
        self.faults[gateway] = StoreFaults()
        self.listeners[gateway] = Listener(
            port, lambda request, gateway=gateway: self._handle(gateway, request))
        await self.listeners[gateway].open()

    def close(self):
        for listener in self.listeners.values():
            listener.close()

    def begin_at(self, topic, offset):
        """Makes an empty topic look like one whose records before the offset were deleted."""
        self.topics[(topic, 0)] = Partition(offset)

    def put(self, topic, key, value):
        """Writes as the operator or a backend server. A value may be a function of the gateway."""
        self.topics[(topic, 0)].append([(key, value)])

    async def _handle(self, gateway, request):
        self.calls += 1
        faults = self.faults[gateway]
        await asyncio.sleep(faults.delay_s)
        if faults.mode == "busy":
            return Response(503)
        if faults.mode == "reset":
            raise ConnectionAborted
        if faults.mode == "silent":
            await asyncio.sleep(3600)
        handler = self.HANDLERS.get((request.method, request.path))
        if handler is None:
            return Response(404)
        response = await handler(self, gateway, request)
        if request.method == "POST" and self.random.random() < faults.lose_answers:
            raise ConnectionAborted
        return response

    def _partition(self, query):
        return self.topics.get((query["topic"], int(query.get("part", 0))))

    async def _append(self, _gateway, request):
        topic = request.query["topic"]
        if topic in READ_ONLY_TOPICS:
            return Response(403)
        partition = self.topics[(topic, int(request.query["part"]))]
        at = request.query.get("at")
        if at is not None and int(at) != partition.end:
            return json_response({"end": partition.end}, 412)
        offset = partition.end
        partition.append(decode_records(request.body))
        return json_response({"offset": offset, "end": partition.end})

    async def _read(self, gateway, request):
        partition = self._partition(request.query)
        if partition is None:
            return Response(404)
        first = int(request.query["from"])
        if first < partition.first:
            return json_response({"first": partition.first}, 410)
        deadline = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000
        while partition.end <= first and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(partition.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
            if self.faults[gateway].mode != "up":
                raise ConnectionAborted
        if first < partition.first:
            return json_response({"first": partition.first}, 410)
        body = struct.pack(">QQ", partition.end, partition.first)
        for key, value in partition.records[first - partition.first:]:
            name = key.encode()
            content = bytes([len(name)]) + name + rendered(value, gateway)
            body += struct.pack(">I", len(content)) + content
            if len(body) > MAX_READ_BYTES:
                break
        return Response(200, {"Content-Type": "application/octet-stream"}, body)

    async def _newest(self, gateway, request):
        partition = self._partition(request.query)
        if partition is None:
            return Response(404)
        after = request.query.get("after", "")
        keys = sorted(key for key, (_, value) in partition.newest.items()
                      if key > after and rendered(value, gateway))
        items, size = [], 0
        for key in keys:
            offset, value = partition.newest[key]
            text = base64.b64encode(rendered(value, gateway)).decode()
            if items and (len(items) == MAX_PAGE_RECORDS or size + len(text) > MAX_READ_BYTES):
                break
            items.append({"key": key, "value": text, "offset": offset})
            size += len(text)
        return json_response({"items": items, "has_more": len(items) < len(keys),
                              "end": partition.end})

    async def _join(self, _gateway, request):
        body = json.loads(request.body)
        group = self.groups[body["group"]]
        owned = group.join(body["member"], body["ttl_ms"] / 1000, self.partitions,
                           time.monotonic())
        topic = body["topics"][0]
        return json_response({"generation": group.generation, "ttl_ms": body["ttl_ms"],
                              "parts": [[topic, index, 0] for index in owned]})

    async def _leave(self, _gateway, request):
        body = json.loads(request.body)
        self.groups[body["group"]].remove(body["member"])
        return json_response({})

    async def _owners(self, _gateway, request):
        group = self.groups[request.query["group"]]
        group.remove_expired(time.monotonic())
        return json_response({"generation": group.generation, "parts": [
            ["keyed.carobbank-jobs", index, member, 0]
            for index, member in sorted(group.owners.items())]})

    HANDLERS = {
        ("POST", "/v1/log-append"): _append,
        ("GET", "/v1/log-read"): _read,
        ("GET", "/v1/log-newest"): _newest,
        ("POST", "/v1/log-join"): _join,
        ("POST", "/v1/log-leave"): _leave,
        ("GET", "/v1/log-owners"): _owners,
    }


def rendered(value, gateway):
    return value(gateway) if callable(value) else value


def json_response(body, status=200):
    return Response(status, {"Content-Type": "application/json"}, json.dumps(body).encode())


def decode_records(body):
    """Splits an append to a keyed topic into pairs of key and value."""
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4:position + 4 + length]
        position += 4 + length
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
    return records
