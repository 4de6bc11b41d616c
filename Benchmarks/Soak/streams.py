"""Callers of streams, which take a stream up at any gateway where it broke off."""

import asyncio
import time
from dataclasses import dataclass, field

from http_io import RunningTasks, read_chunks, read_headers, status_of, write_request

DEADLINE_S = 6.0
MAX_TRIES = 6
PAUSE_S = 0.3
# Of the fake servers' responses; the last one ends the stream.
EVENTS = 40


@dataclass
class StreamAnswer:
    """One response: its status, 0 for none, its events as (id, data), and whether it ended."""

    status: int = 0
    events: list = field(default_factory=list)
    complete: bool = False


def split_events(buffer):
    """Returns the complete events of the buffer, as (id, data), and the rest."""
    *texts, rest = buffer.split(b"\n\n")
    events = []
    for text in texts:
        fields = dict(line.split(": ", 1) for line in text.decode().split("\n") if ": " in line)
        if "data" in fields:
            events.append((fields.get("id", ""), fields["data"]))
    return events, rest


async def read_answer(answer, port, target, headers):
    """Fills in the answer as it arrives, so that what came before an error is kept."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        await write_request(writer, "POST", target, headers)
        head = await read_headers(reader)
        if head is None:
            return
        answer.status = status_of(head)
        if answer.status != 200:
            return
        rest = b""
        async for chunk in read_chunks(reader):
            events, rest = split_events(rest + chunk)
            answer.events += events
        answer.complete = True
    finally:
        writer.close()


async def read_stream(soak, host, name):
    """Reads one stream; returns the answers of all tries, in order."""
    answers = []
    first_id, last_event = None, ""
    for _ in range(MAX_TRIES):
        request_id = f"c{next(soak.ids)}"
        headers = {"Host": host, "X-Request-Id": request_id,
                   "X-Deadline-Ms": str(int(DEADLINE_S * 1000))}
        if first_id is not None:
            headers |= {"Resumes": first_id, "Last-Event-Id": last_event}
        answer = StreamAnswer()
        answers.append(answer)
        gateway = soak.any_gateway()
        soak.history.gateways_asked[request_id] = gateway.name
        try:
            await asyncio.wait_for(
                read_answer(answer, gateway.port, f"/chat/{name}", headers), DEADLINE_S + 1)
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        if answer.events:
            first_id = first_id or request_id
            last_event = answer.events[-1][0]
        if last_event == str(EVENTS):
            break
        await asyncio.sleep(PAUSE_S)
    return answers


async def call_streams(soak, host, per_second, end):
    """Starts streams until the end of the traffic and waits for the last ones."""
    async def read_one(name):
        soak.history.streams[name] = await read_stream(soak, host, name)
    running = RunningTasks()
    number = 0
    while time.monotonic() < end:
        number += 1
        running.start(read_one(f"stream{number}"))
        await asyncio.sleep(1 / per_second)
    await running.wait()


def is_complete(answers):
    return sum(len(answer.events) for answer in answers) == EVENTS


def summary(history):
    """Counts of streams: begun, begun and broken off, taken up again, complete."""
    begun = [answers for answers in history.values() if any(a.events for a in answers)]
    broken = [answers for answers in begun if not is_complete(
        answers[:1 + next(i for i, a in enumerate(answers) if a.events)])]
    taken_up = [answers for answers in broken
                if sum(1 for answer in answers if answer.events) > 1]
    return {"all": len(history), "begun": len(begun), "broken off": len(broken),
            "taken up": len(taken_up), "complete": sum(map(is_complete, begun))}
