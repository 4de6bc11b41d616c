"""Checks how soon plain calls are served after all gateway processes were killed and are back.

Each case puts something into the store, kills all gateways, and starts them again a moment later,
against stand-ins of a store whose log begins at a high offset and of servers. Guards against
entries of other writers, or old records, that keep gateways from reading the rest. Prints the
share of calls served in each second after the return, and each case that was not served in time;
exits with 1 if there was one.
"""

import argparse
import asyncio
import json
import signal
import sys
import time
from types import SimpleNamespace

from http_io import Listener, RunningTasks, fetch
from soak import HOST, ZONES, Soak
from store import MAX_PAGE_RECORDS

TOPICS = ["keyed.op", "keyed.servers"]
FIRST_OFFSET = 1_000_000
SERVERS = 3
DOWN_S = 0.5
CALLS_PER_S = 40.0
CALL_DEADLINE_S = 1.0
# Calls sent later than this after the return have to be served.
RECOVER_S = 12.0
# Calls sent in so long a time are counted for the decision.
WINDOW_S = 1.0
ANSWER_S = 0.2
SERVED_SHARE = 0.9

# Names of records that other writers choose.
NAMES = {
    "blank": "a b",
    "ampersand": "a&b",
    "plus": "a+b",
    "hash": "a#b",
    "percent": "a%41b",
    "equals": "a&after=z&b=",
    "tab": "a\tb",
    "line feed": "a\nb",
    "control characters": "a\x01\x7fb",
    "quotes": "a/\u00fc\"\\",
    "line break and field": "a\r\nX-Field: b",
}
# JSON texts of the fields of an entry, and odd ones for some of them.
ENTRY_FIELDS = {"service": '"app"', "addr": '"127.0.0.1:1"', "slots": "1", "state": '"draining"'}
ODD_FIELDS = (
    [("slots", number) for number in ("9" * 400, "1e999", "18446744073709551616", "-1", "0.5")] +
    [("addr", f'"127.0.0.1{port}"') for port in (":70000", ":-1", ":0", ":", "")] +
    [("born", '"never"'), ("born", "9" * 400), ("version", '"\\ud800"'), ("models", "[[[]]]"),
     ("state", "{}")])
ODD_VALUES = [b"[" * 5000 + b"]" * 5000, b'{"a":' * 5000 + b"1" + b"}" * 5000] + [
    ("{" + ", ".join(f'"{name}": {text}' for name, text in (ENTRY_FIELDS | {field: odd}).items()) +
     "}").encode() for field, odd in ODD_FIELDS]
UNREADABLE_VALUES = [b"\xff\xfe{", b"{", b"[]", b"\x00", b"null", b'{"service": 7}', b"{}" * 5000]


class RecoveryChecks(Soak):
    def __init__(self, options):
        super().__init__(SimpleNamespace(
            seed=options.seed, program=options.program, gateways=options.gateways, servers=SERVERS,
            streams_per_s=0, same_ids=False, log_level="info"))
        self.only = options.only
        self.topics = options.topics
        self.gone = options.gone
        self.foreign = set()
        self.frozen = []
        self.silent = None
        self.failures = []
        self.played = 0

    async def start(self):
        for topic in TOPICS:
            self.store.begin_at(topic, FIRST_OFFSET)
        await super().start()

    # What stands in the store.

    def put_foreign(self, names, values=(b'{"note": "of another writer"}',)):
        for topic in self.topics:
            for index, name in enumerate(names):
                self.foreign.add((topic, name))
                self.store.put(topic, name, values[index % len(values)])

    def remove_foreign(self):
        for topic, name in self.foreign:
            self.store.put(topic, name, b"")
        self.foreign.clear()

    def end_first_page_with(self, name):
        # Digits sort before "a", and the names of servers and "config" after it.
        self.put_foreign([f"0{index:04}" for index in range(MAX_PAGE_RECORDS - 1)] + [name])

    # Cases.

    def cases(self):
        """Pairs of a name and what to do before the gateways are back."""
        cases = [("nothing", self.nothing)]
        for what, name in NAMES.items():
            cases.append((f"page ends with {what}",
                          lambda name=name: self.end_first_page_with(name)))
        cases.append(("names of three pages share what stands before an ampersand",
                      lambda: self.put_foreign([f"0&{index:04}" for index in range(1200)])))
        cases.append(("values that can't be read, on three pages",
                      lambda: self.put_foreign([f"0{index:04}" for index in range(1200)],
                                               UNREADABLE_VALUES)))
        cases.append(("odd entries, on three pages", self.put_odd_entries))
        cases.append(("odd entries after the return", self.put_odd_entries_later))
        return cases + [
            ("thousands of removed names", self.remove_many),
            ("log trimmed", self.trim_log),
            ("killed three times", self.kill_again),
            ("servers back under their ids, gateways first", self.power_off_servers),
            ("entries of servers that are gone", lambda: self.put_gone_servers(False)),
            ("entries of servers that are silent", lambda: self.put_gone_servers(True)),
            ("two peers accept and are silent", self.freeze_peers),
            ("store busy at the return", lambda: self.disturb_store("busy", 3)),
            ("store silent at the return", lambda: self.disturb_store("silent", 3)),
        ]

    def nothing(self):
        pass

    def put_odd_entries(self):
        self.put_foreign([f"0{index:04}" for index in range(1200)] +
                         [f"version/{index}" for index in range(len(ODD_VALUES))], ODD_VALUES)

    def put_odd_entries_later(self):
        async def put_later():
            await asyncio.sleep(DOWN_S + 0.5)
            self.put_odd_entries()
        self.spawn(put_later())

    def remove_many(self):
        self.put_foreign([f"0{index:04}" for index in range(3000)])
        self.remove_foreign()

    def trim_log(self):
        for partition in self.store.topics.values():
            partition.trim()

    async def kill_again(self):
        for _ in range(2):
            await self.start_gateways()
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            await self.kill_gateways()
            await asyncio.sleep(self.random.uniform(0.1, DOWN_S))

    def power_off_servers(self):
        for server in self.fleet.servers.values():
            self.store.put("keyed.servers", server.id, b"")
            server.crash(self.random.uniform(DOWN_S, DOWN_S + 2))

    async def put_gone_servers(self, silent):
        port = self.ports.next_free()
        if silent:
            async def never(_request):
                await asyncio.sleep(3600)
            self.silent = Listener(port, never)
            await self.silent.open()
        for index in range(self.gone):
            entry = {"service": "app", "zone": ZONES[index % len(ZONES)], "version": "v1",
                     "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 100, "born": 1,
                     "addr": f"127.0.0.1:{port}"}
            self.foreign.add(("keyed.servers", f"gone-{index}"))
            self.store.put("keyed.servers", f"gone-{index}", json.dumps(entry).encode())

    def freeze_peers(self):
        # The peers of the settings, which the others ask first.
        self.frozen = self.gateways[:2]

    def disturb_store(self, mode, time_s):
        for faults in self.store.faults.values():
            faults.mode = mode

        async def end_later():
            await asyncio.sleep(DOWN_S + time_s)
            for faults in self.store.faults.values():
                faults.mode = "up"
        self.spawn(end_later())

    # One case.

    async def kill_gateways(self):
        for gateway in self.gateways:
            gateway.process.kill()
        for gateway in self.gateways:
            gateway.process.wait()

    async def start_gateways(self):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.frozen:
            gateway.stopping = True
            gateway.signal(signal.SIGSTOP)

    async def play(self, what, prepare):
        await self.kill_gateways()
        step = prepare()
        if step is not None:
            await step
        await asyncio.sleep(DOWN_S)
        await self.start_gateways()
        sent, back_s = await self.call_until_served()
        self.played += 1
        shares = [self.share(sent, second, second + 1) for second in range(int(sent[-1][0]) + 1)]
        print(f"{what}: " + ("not served" if back_s is None else f"served from {back_s:.1f} s") +
              "; by second: " + " ".join("-" if s is None else f"{s:.2f}" for s in shares),
              flush=True)
        if back_s is None:
            self.failures.append(f"{what}: less than {SERVED_SHARE} of the calls is served "
                                 f"{RECOVER_S} s after the return")
        ended = [gateway.name for gateway in self.gateways if gateway.process.poll() is not None]
        if ended:
            self.failures.append(f"{what}: ended by themselves: {', '.join(ended)}")
        self.remove_foreign()
        self.frozen = []

    async def call_until_served(self):
        """Calls until enough is served or the time has passed. Returns the calls, each with when
        it was sent and whether it was served, and from when on enough was."""
        begin, sent, running = time.monotonic(), [], RunningTasks()
        back_s, now = None, 0.0
        while back_s is None and now < RECOVER_S + WINDOW_S + CALL_DEADLINE_S:
            sent.append([now, None])
            running.start(self.call_once(sent[-1]))
            await asyncio.sleep(1 / CALLS_PER_S)
            now = time.monotonic() - begin
            # Calls that were just sent are still on their way.
            first = now - WINDOW_S - ANSWER_S
            share = self.share(sent, first, now - ANSWER_S) if first >= 0 else None
            if share is not None and share >= SERVED_SHARE and first <= RECOVER_S:
                back_s = first
        await running.wait()
        return sent, back_s

    async def call_once(self, call):
        gateway = self.any_gateway()
        response = await fetch(
            gateway.port, "POST", "/app/x",
            {"Host": HOST, "X-Request-Id": f"r{next(self.ids)}",
             "X-Deadline-Ms": str(int(CALL_DEADLINE_S * 1000))}, b"sound",
            timeout_s=CALL_DEADLINE_S + 0.5)
        call[1] = response is not None and response.status == 200

    @staticmethod
    def share(sent, first, end):
        served = [call[1] for call in sent if first <= call[0] < end]
        return sum(s is True for s in served) / len(served) if served else None

    def check_logs(self):
        self.played += 1
        unreachable = [line for gateway in self.gateways
                       for line in gateway.log_path.read_text().splitlines()
                       if "log unreachable; retrying" in line]
        without_reason = [line for line in unreachable
                          if 'reason="' not in line or 'reason=""' in line]
        print(f"lines on an unreachable log: {len(unreachable)}, without a reason: "
              f"{len(without_reason)}")
        if without_reason:
            self.failures.append(f"no reason is given in: {without_reason[0]}")

    async def run(self):
        try:
            await self.start()
            for what, prepare in self.cases():
                if self.only in what:
                    await self.play(what, prepare)
            self.check_logs()
        finally:
            await self.stop()
            if self.silent is not None:
                self.silent.close()
        print("\n".join(self.failures) or "no check failed")
        # The summary line that Meta/count-tests.sh reads, as CppUTest prints it.
        failed = len(self.failures)
        print(f"Errors ({failed} failures, {self.played} tests, {self.played} ran)" if failed else
              f"OK ({self.played} tests, {self.played} ran)")
        return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--program", required=True, help="the carobbank binary")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--topics", type=lambda text: text.split(","), default=TOPICS,
                        help="of other writers' entries; all without it")
    parser.add_argument("--gone", type=int, default=SERVERS,
                        help="how many entries of gone or silent servers stand beside three")
    parser.add_argument("--only", default="", help="plays the cases whose names contain this")
    sys.exit(asyncio.run(RecoveryChecks(parser.parse_args()).run()))


if __name__ == "__main__":
    main()
