"""Trainers and live callers of the lab, with the results that they record.

The stand-in engine writes token i of weight version v as " i@v", so outputs are
checked independently of the version labels in carobbank's responses.
"""

import http.client
import json
import random
import threading
import time
import urllib.parse
from dataclasses import dataclass, field

from deployment import call, token_of

POLL_WAIT_MS = 2000


def authorization(service):
    return {"Authorization": f"Bearer {token_of(service)}"}


def check_output(text, tokens, spans):
    """Problems of one output: repeated, missing or mislabelled tokens."""
    words = text.split()
    if len(words) != tokens:
        return [f"response states {tokens} tokens, output has {len(words)}"]
    problems = []
    if [span["from"] for span in spans] != [0] + [span["to"] for span in spans][:-1] \
            or (spans and spans[-1]["to"] != tokens):
        problems.append(f"spans do not cover [0, {tokens}): {spans}")
    for span in spans:
        for index in range(span["from"], min(span["to"], tokens)):
            number, version = words[index].split("@")
            if int(number) != index:
                problems.append(f"token {index} reads {words[index]}")
                return problems
            if int(version) != span["version"]:
                problems.append(
                    f"token {index} is labelled {span['version']}, reads {words[index]}")
                return problems
    return problems


@dataclass
class StepReport:
    """Result of one step, as its trainer received it."""

    request_id: str
    named_version: int
    requested: int
    started: float
    ended: float = 0.0
    samples: dict = field(default_factory=dict)
    failed: dict = field(default_factory=dict)
    duplicates: int = 0
    problems: list = field(default_factory=list)
    stale: int = 0
    ages: list = field(default_factory=list)

    @property
    def lost(self):
        return self.requested - len(self.samples) - len(self.failed)

    def add_sample(self, sample, bound):
        sample_id = sample["sample_id"]
        if sample_id in self.samples or sample_id in self.failed:
            self.duplicates += 1
            return
        if "failed" in sample:
            self.failed[sample_id] = sample["failed"]
            return
        self.samples[sample_id] = sample
        for problem in check_output(sample["text"], sample["tokens"], sample["spans"]):
            self.problems.append(f"{sample_id}: {problem}")
        oldest = min((span["version"] for span in sample["spans"]), default=0)
        self.ages.append(self.named_version - oldest)
        if oldest < self.named_version - bound:
            self.stale += 1


class Trainer:
    """Submits steps and polls their samples, each request through a random entry."""

    def __init__(self, deployment, service, bound=1, seed=1):
        self.deployment = deployment
        self.service = service
        self.bound = bound
        self.random = random.Random(seed)
        self.reports = []
        self.refusals = {}
        self.idle_s = 0.0

    def _random_entry(self):
        return self.random.choice(self.deployment.entries).url

    def request_with_retries(self, path, method="GET", body=None, timeout=15):
        """Repeats the request until an entry responds with 2xx; counts refusals.

        Raises RuntimeError on a status that a retry can not change.
        """
        while True:
            try:
                status, response = call(self._random_entry() + path, method, body,
                                        authorization(self.service), timeout)
                if 200 <= status < 300:
                    return response
                code = response.get("code", status) if isinstance(response, dict) else status
                self.refusals[code] = self.refusals.get(code, 0) + 1
                if status in (400, 401, 404, 409, 410, 422):
                    raise RuntimeError(f"{method} {path}: {status} {response}")
                time.sleep(response.get("retry_after_ms", 100) / 1000
                           if isinstance(response, dict) else 0.1)
            except (OSError, http.client.HTTPException):
                self.refusals["unreachable"] = self.refusals.get("unreachable", 0) + 1
                time.sleep(0.05)

    def run_step(self, request_id, named_version, groups, deadline_s=120):
        """Runs one step until its last sample arrives or `deadline_s` ends; returns its report."""
        requested = sum(group["samples"] for group in groups)
        report = StepReport(request_id, named_version, requested, time.monotonic())
        body = {"service": self.service, "request_id": request_id, "step": request_id,
                "named_version": named_version, "groups": groups}
        cursor = self.request_with_retries("/v1/rollouts", "POST", body)["cursor"]
        done = False
        while not done and time.monotonic() < report.started + deadline_s:
            query = urllib.parse.urlencode({"cursor": cursor, "wait_ms": POLL_WAIT_MS})
            page = self.request_with_retries(f"/v1/rollouts/{self.service}/samples?{query}")
            for sample in page["samples"]:
                report.add_sample(sample, self.bound)
            cursor, done = page["cursor"], page["done"]
        report.ended = time.monotonic()
        if not done:
            report.problems.append("the step did not finish before its deadline")
        self.idle_s += report.ended - report.started
        self.reports.append(report)
        return report


@dataclass
class CallRecord:
    """Result of one live request, as its caller received it."""

    seconds: float
    outcome: str  # "whole", "error_event", a refusal code, "cut", "unreachable"
    execution: str = ""
    problems: list = field(default_factory=list)


def stream_completion(entry, service, prompt, max_tokens, timeout=60, seed=0):
    """Sends one streamed completion and checks its output."""
    started = time.monotonic()
    connection = http.client.HTTPConnection("127.0.0.1", entry.port, timeout=timeout)
    body = json.dumps({"service": service, "prompt": prompt, "max_tokens": max_tokens,
                       "stream": True, "seed": seed})
    try:
        connection.request("POST", "/v1/completions", body,
                           {"Content-Type": "application/json", **authorization(service)})
        response = connection.getresponse()
        if response.status != 200:
            problem = json.loads(response.read())
            return CallRecord(time.monotonic() - started, problem.get("code", str(response.status)),
                              problem.get("execution", ""))
        return _read_stream(response, started)
    except (OSError, http.client.HTTPException) as error:
        return CallRecord(time.monotonic() - started,
                          "cut" if isinstance(error, http.client.HTTPException) else "unreachable",
                          problems=[repr(error)])
    finally:
        connection.close()


def _read_stream(response, started):
    text, tokens, spans, event = "", 0, [], ""
    for raw_line in response:
        line = raw_line.decode().rstrip("\n")
        if line.startswith("event:"):
            event = line[6:].strip()
        if not line.startswith("data:"):
            if not line:
                event = ""
            continue
        data = line[5:].strip()
        if event == "error":
            return CallRecord(time.monotonic() - started, "error_event",
                              json.loads(data).get("execution", ""))
        if data == "[DONE]":
            return CallRecord(time.monotonic() - started, "whole",
                              problems=check_output(text, tokens, spans))
        chunk = json.loads(data)
        text += chunk["choices"][0]["text"]
        tokens = chunk["token_to"]
        if chunk["token_to"] > chunk["token_from"]:
            spans.append({"from": chunk["token_from"], "to": chunk["token_to"],
                          "version": chunk["weight_version"]})
    return CallRecord(time.monotonic() - started, "cut", problems=["stream ended without [DONE]"])


class LoadThread(threading.Thread):
    """Calls `send_request(number)` at a fixed interval until stopped; collects the results."""

    def __init__(self, send_request, interval_s):
        super().__init__(daemon=True)
        self.send_request = send_request
        self.interval_s = interval_s
        self.records = []
        self.stopping = threading.Event()

    def run(self):
        number = 0
        while not self.stopping.wait(self.interval_s):
            self.records.append(self.send_request(number))
            number += 1

    def finish(self):
        self.stopping.set()
        self.join()
        return self.records


def quantile(values, fraction):
    """The value below which `fraction` of the values lie; NaN for an empty list."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
