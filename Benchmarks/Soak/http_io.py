"""Small HTTP/1.1 server and client on asyncio, for the soak's stand-ins and callers."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

MAX_HEADER_BYTES = 65536
BACKLOG = 512


@dataclass
class Request:
    """One received request. Header names are in lower case."""

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes
    writer: asyncio.StreamWriter


@dataclass
class Response:
    """`body` None: the handler has written to the connection itself, which then closes."""

    status: int = 200
    headers: dict = field(default_factory=dict)
    body: bytes | None = b""


class ConnectionAborted(Exception):
    """Raised by a handler that resets its connection."""


def reset(writer):
    """Closes the connection with a TCP reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    # abort() fails on a transport that has written all and closed.
    if not writer.transport.is_closing() or writer.transport.get_write_buffer_size() > 0:
        writer.transport.abort()


async def read_headers(reader):
    """Returns the start line and the headers, or None when the connection has ended."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def split_request_line(line):
    """Returns method and target, or a target of None for a line that is no HTTP/1.1 request."""
    words = line.split(" ")
    if len(words) != 3 or not words[2].startswith("HTTP/1.") or not all(
            "!" <= character <= "~" for character in words[1]):
        return words[0], None
    return words[0], words[1]


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises IncompleteReadError without the last chunk."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return
        yield chunk


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode_response(response):
    lines = [f"HTTP/1.1 {response.status} Status"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines += [f"Content-Length: {len(response.body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + response.body


class Listener:
    """A server on one port of 127.0.0.1 that can be closed and opened again."""

    def __init__(self, port, handler):
        self.port = port
        self.handler = handler
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=MAX_HEADER_BYTES, backlog=BACKLOG)

    def close(self, with_reset=True):
        if self.server is not None:
            self.server.close()
            self.server = None
        self.drop_connections(with_reset)

    def drop_connections(self, with_reset=True):
        for writer in list(self.writers):
            if with_reset:
                reset(writer)
            else:
                writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionAborted, ConnectionError, OSError, asyncio.IncompleteReadError):
            reset(writer)
        except asyncio.CancelledError:
            reset(writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await read_headers(reader)
        if head is None:
            return False
        method, target = split_request_line(head[0])
        if target is None:
            writer.write(encode_response(Response(400)))
            await writer.drain()
            return False
        url = urlsplit(target)
        request = Request(method, url.path, dict(parse_qsl(url.query)), head[1],
                          await read_body(reader, head[1]), writer)
        response = await self.handler(request)
        if response.body is None:
            return False
        writer.write(encode_response(response))
        await writer.drain()
        return head[1].get("connection", "").lower() != "close"


async def write_request(writer, method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)
    await writer.drain()


def status_of(head):
    return int(head[0].split(" ")[1])


async def _exchange(port, method, target, headers, body):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        await write_request(writer, method, target, headers | {"Connection": "close"}, body)
        head = await read_headers(reader)
        if head is None:
            return None
        return Response(status_of(head), head[1], await read_body(reader, head[1]))
    finally:
        writer.close()


class RunningTasks:
    """Tasks that are started one after the other and awaited together at the end."""

    def __init__(self):
        self.tasks = set()

    def start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def wait(self):
        if self.tasks:
            await asyncio.wait(self.tasks)


async def fetch(port, method, target, headers, body=b"", timeout_s=5.0):
    """Sends a request on a new connection. None: no complete response arrived in time."""
    try:
        return await asyncio.wait_for(
            _exchange(port, method, target, headers, body), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
