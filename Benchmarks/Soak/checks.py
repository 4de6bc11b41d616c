"""Checks of the limits on repeats, from what callers sent and backend servers saw.

Each check returns the violations that it found, as lines of text. The limits are those of the
platform's rule on the budget of a request; all count over all gateways.
"""

import bisect
from collections import defaultdict
from dataclasses import dataclass, field

from servers import NO_ANSWER
from streams import EVENTS as STREAM_EVENTS

MAX_OVERSPREAD_CALLS = 3
DEADLINE_SLACK_S = 0.5
MAX_LATE_DEADLINES = 20
LATE_DEADLINE_SHARE = 0.2
FATAL_CRASHES_TO_NOTICE = 3
MAX_LATE_FATAL_RETRIES = 3
SAMPLE_FAILURES_PER_ATTEMPT = 3
MAX_UNPROCESSABLE = 3
DRAIN_S = 2.0
MIN_COMPLETED_SHARE = 0.5
# Of samples and reward calls that crash servers: from this crash on, each further send comes this
# much later than the crash before.
CRASHES_TO_SPACE = 4
SPACING_S = 1.0
SPACING_SLACK_S = 0.1
MAX_LOST_ON_KEPT = 3
STOP_SPAN_SLACK_S = 0.05
# A call that was sent later after a SIGTERM must have its response before the end of the grace.
SENT_SOON_AFTER_SIGTERM_S = 3.0
# Of the requests that a server's limit allows in a window.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_WINDOW_S = 4.0
# From a response that names a limit until its gateway counts.
TIME_TO_HEED_S = 0.5
# The longest time limit of an attempt, 5 s until a sample's first event, and some more.
MAX_ENDLESS_S = 7.0
PLAIN_ROUTES = ("app", "once")
OWED_ROUTES = ("train", "score")


@dataclass
class Attempt:
    """One client attempt of a plain request, at one gateway."""

    request_id: str
    sent_at: float
    deadline_s: float
    max_attempts: int
    gateway: str = ""


@dataclass
class PlannedStop:
    """A gateway that got SIGTERM, and the calls that were sent to it from then on."""

    gateway: str
    at: float
    grace_s: float
    # (time sent, request id) of each call that got no complete response.
    unanswered: list = field(default_factory=list)


@dataclass
class History:
    """What one run of the soak observed. Times are of the monotonic clock, in seconds."""

    touch_s: float
    attempts: dict = field(default_factory=dict)  # by request id
    # By request id, of requests without a record in `attempts`: the gateway that got it.
    gateways_asked: dict = field(default_factory=dict)
    # By request id of a reward call: when each job that carries its sample was first submitted.
    job_submissions: dict = field(default_factory=lambda: defaultdict(list))
    runs: list = field(default_factory=list)
    # Intervals (from, to) in which a gateway, or the store, was disrupted.
    gateway_disruptions: dict = field(default_factory=lambda: defaultdict(list))
    store_disruptions: list = field(default_factory=list)
    sample_max_attempts: int = 3
    # Intervals in which a gateway was restarted or frozen.
    restarts: dict = field(default_factory=lambda: defaultdict(list))
    # (time, run) of each response that a caller received and that said that its server leaves.
    leaving_told: list = field(default_factory=list)
    # (time of its end, gateway) of each request on a kept connection without an answer.
    lost_on_kept: list = field(default_factory=list)
    # See servers.LimitSpan.
    limit_spans: list = field(default_factory=list)
    # Status and body of each answer to a client attempt, by request id.
    answers: dict = field(default_factory=dict)
    # Output of each completed sample, by its id.
    outputs: dict = field(default_factory=dict)
    # Answers of all tries of each client's stream, by its name.
    streams: dict = field(default_factory=dict)
    # Gateways that did not end within their grace after SIGTERM.
    slow_stops: list = field(default_factory=list)
    # See PlannedStop.
    planned_stops: list = field(default_factory=list)
    # Errors of the stand-ins and callers themselves.
    errors: list = field(default_factory=list)
    # Sound samples of all jobs, and those that were completed.
    sound_samples: int = 0
    completed_samples: int = 0

    def gateway_of(self, run):
        """The gateway that sent the run; a restarted one may use the addresses of its peer."""
        attempt = self.attempts.get(run.request_id)
        if attempt is not None and attempt.gateway:
            return attempt.gateway
        return self.gateways_asked.get(run.request_id, run.gateway)

    def in_touch(self, gateway, at):
        """Whether neither the gateway nor the store was disrupted in the time before `at`."""
        spans = self.gateway_disruptions[gateway] + self.store_disruptions
        return not any(begin <= at and end >= at - self.touch_s for begin, end in spans)

    def in_touch_but_for(self, stop):
        """Whether neither the gateway nor the store was disrupted around the stop otherwise."""
        spans = self.gateway_disruptions[stop.gateway] + self.store_disruptions
        return not any(begin <= stop.at + stop.grace_s and end >= stop.at - self.touch_s
                       for begin, end in spans
                       # The span of the stop itself begins just before its SIGTERM.
                       if not stop.at - STOP_SPAN_SLACK_S <= begin <= stop.at)


def had_run(run):
    return run.outcome != "not_run"


def by_request(runs):
    grouped = defaultdict(list)
    for run in runs:
        grouped[run.request_id].append(run)
    return grouped


def calls_on_too_many_servers(history):
    """Client attempts that ran on more live servers than their route allows."""
    found = []
    for request_id, runs in by_request(history.runs).items():
        attempt = history.attempts.get(request_id)
        if attempt is None:
            continue
        servers = {(run.server, run.born) for run in runs
                   if had_run(run) and run.outcome not in ("crashed", "cut")}
        if len(servers) > attempt.max_attempts:
            found.append(f"request {request_id} ran on {len(servers)} servers, "
                         f"{attempt.max_attempts} allowed")
    return found if len(found) > MAX_OVERSPREAD_CALLS else []


def runs_by_caller_request(history, routes):
    """Runs of one request, with its id; a later job that carries a sample asks for its own."""
    for request_id, runs in by_request(history.runs).items():
        submissions = history.job_submissions.get(request_id, [])
        grouped = defaultdict(list)
        for run in runs:
            if run.route in routes:
                grouped[sum(at <= run.at for at in submissions)].append(run)
        for of_one_job in grouped.values():
            yield request_id, of_one_job


def late_deadlines(history, routes):
    """Runs whose deadline extends past the first one's and past the caller's."""
    late, counted = [], 0
    for request_id, runs in runs_by_caller_request(history, routes):
        attempt = history.attempts.get(request_id)
        first_end = deadline_end(runs[0])
        for index, run in enumerate(runs):
            if not history.in_touch(history.gateway_of(run), run.at):
                continue
            repeated_late = index > 0 and run.at > runs[0].at + DEADLINE_SLACK_S
            too_long = run.deadline_ms is None or (
                attempt is not None and
                run.deadline_ms / 1000 > attempt.deadline_s + DEADLINE_SLACK_S)
            latest = first_end if attempt is None else max(
                first_end, attempt.sent_at + attempt.deadline_s)
            extended = repeated_late and (deadline_end(run) > latest + DEADLINE_SLACK_S)
            counted += 1 if repeated_late or too_long else 0
            if too_long or extended:
                late.append(f"request {request_id} was sent {run.at - runs[0].at:.1f} s after "
                            f"its first attempt with {run.deadline_ms} ms left")
    if len(late) > MAX_LATE_DEADLINES and len(late) > LATE_DEADLINE_SHARE * counted:
        return late
    return []


def deadline_end(run):
    return run.at + (run.deadline_ms or 0) / 1000


def fatal_runs(history, routes):
    """Runs of requests that crash servers, by request."""
    grouped = defaultdict(list)
    for run in history.runs:
        if run.body.startswith("fatal") and run.route in routes:
            grouped[(run.path, run.body)].append(run)
    return grouped


def fatal_requests_sent_on(history):
    """Calls that crashed three servers and were sent to servers again and again."""
    found = []
    grouped = fatal_runs(history, PLAIN_ROUTES)
    for (path, body), runs in grouped.items():
        crashes = [run.at for run in runs if run.outcome == "crashed"]
        if len(crashes) < FATAL_CRASHES_TO_NOTICE:
            continue
        noticed = sorted(crashes)[FATAL_CRASHES_TO_NOTICE - 1] + history.touch_s
        late = [run for run in runs if run.at > noticed
                and history.in_touch(history.gateway_of(run), run.at)]
        if len(late) > MAX_LATE_FATAL_RETRIES:
            found.append(f"{body!r} at {path} crashed {len(crashes)} servers and was sent "
                         f"{len(late)} times later than {history.touch_s} s after the third: "
                         + ", ".join(f"{run.request_id} {run.outcome}" for run in late))
    return found


def owed_items_not_spaced(history):
    """Samples and reward calls that crash servers and are sent again soon, or twice at once."""
    found = []
    for (path, body), runs in fatal_runs(history, OWED_ROUTES).items():
        crashes = sorted(run.ended_at for run in runs if run.outcome == "crashed")
        for run in runs:
            before = [at for at in crashes if at <= run.at]
            if len(before) < CRASHES_TO_SPACE or not history.in_touch(run.gateway, run.at):
                continue
            running = [other for other in runs if other is not run and other.outcome == "crashed"
                       and other.at < run.at < other.ended_at]
            if running or run.at - before[-1] < SPACING_S - SPACING_SLACK_S:
                found.append(f"{body!r} at {path} was sent by {run.gateway} "
                             f"{run.at - before[-1]:.2f} s after its crash {len(before)}")
    return found


def lost_on_kept_connections(history):
    """Requests on kept connections that gateways in touch took and never answered."""
    found = [f"{gateway} at {at:.1f}" for at, gateway in history.lost_on_kept
             if history.in_touch(gateway, at)]
    return found if len(found) > MAX_LOST_ON_KEPT else []


def endless_responses_read_on(history):
    """Responses without end that a gateway kept reading."""
    return [f"request {run.request_id} was read for {run.ended_at - run.at:.1f} s by {run.gateway}"
            for run in history.runs if run.outcome == "endless"
            and run.ended_at - run.at > MAX_ENDLESS_S
            and history.in_touch(run.gateway, run.ended_at)]


def answers_without_status(history):
    """Responses without a valid status line that gateways took for answers."""
    found = [f"request {request_id} was answered with status {status}"
             for request_id, (status, body) in history.answers.items()
             if not 100 <= status <= 599 or NO_ANSWER.encode() in body]
    found += [f"sample {sample_id} was made of a response without a status line"
              for sample_id, output in history.outputs.items() if NO_ANSWER in output]
    return found + [f"stream {name} was made of a response without a status line"
                    for name, answers in history.streams.items()
                    if any(NO_ANSWER in data for answer in answers for _, data in answer.events)]


def slow_stops(history):
    return history.slow_stops


def calls_cut_by_planned_stops(history):
    """Calls that reached a server through a gateway in a planned stop and got no response."""
    last_sixth = 5 / 6
    runs = by_request(history.runs)
    found = []
    for stop in history.planned_stops:
        if not history.in_touch_but_for(stop):
            continue
        for sent_at, request_id in stop.unanswered:
            ran = [run for run in runs.get(request_id, []) if had_run(run)]
            broke_off = any(run.outcome == "crashed" for run in ran)
            worked_late = any(run.ended_at >= stop.at + last_sixth * stop.grace_s for run in ran)
            excused = broke_off or (
                worked_late and sent_at <= stop.at + SENT_SOON_AFTER_SIGTERM_S)
            if ran and not excused:
                found.append(f"{request_id} sent {sent_at - stop.at:.1f} s after SIGTERM of "
                             f"{stop.gateway}")
    return found


def failing_samples_run_again(history):
    """Samples that failed at each run and reached a server again after the limit."""
    found = []
    grouped = by_request(run for run in history.runs if run.route == "train")
    limits = {"500": SAMPLE_FAILURES_PER_ATTEMPT * history.sample_max_attempts,
              "422": MAX_UNPROCESSABLE}
    for request_id, runs in grouped.items():
        outcomes = {run.outcome for run in runs if had_run(run)}
        for status, limit in limits.items():
            answered = [run for run in runs if run.outcome == status]
            if len(answered) < limit or "200" in outcomes:
                continue
            late = [run for run in runs if run.at > answered[limit - 1].ended_at
                    and history.in_touch(run.gateway, run.at)]
            if late:
                found.append(f"sample {request_id} was answered {status} {len(answered)} times, "
                             f"{limit} allowed: " + ", ".join(
                                 f"{run.gateway} at {run.ended_at:.2f}" for run in answered))
    return found


def leaving_servers_used(history):
    """Requests sent to a server long after a response had told the gateway that it leaves."""
    first_told = {}
    for at, run in history.leaving_told:
        first_told.setdefault((history.gateway_of(run), run.server, run.born), at)
    found = []
    for run in history.runs:
        gateway = history.gateway_of(run)
        told = first_told.get((gateway, run.server, run.born))
        if told is None or run.at <= told + DRAIN_S:
            continue
        if not any(end >= told and begin <= run.at for begin, end in history.restarts[gateway]):
            found.append(f"request {run.request_id} reached {run.server} from {gateway} "
                         f"{run.at - told:.1f} s after a response that it leaves")
    return found


def excused(history, gateway, at):
    """Whether the gateway was restarted or frozen in the time before `at`."""
    return any(begin <= at and end >= at - history.touch_s
               for begin, end in history.restarts[gateway])


def limits_exceeded(history):
    """Servers that got far more requests than the limit that they named, over all gateways."""
    found = []
    for span in history.limit_spans:
        try:
            per_second = float(span.text)
        except ValueError:
            continue
        if not 0 <= per_second < float("inf") or not span.told:
            continue
        allowed = LIMIT_FACTOR * per_second * LIMIT_WINDOW_S + LIMIT_SLACK
        begin = min(span.told.values()) + history.touch_s
        times = [run.at for run in history.runs if run.server == span.server
                 and begin <= run.at <= span.end
                 and span.told.get(run.gateway, run.at) <= run.at - TIME_TO_HEED_S
                 and not excused(history, run.gateway, run.at)]
        most = max((bisect.bisect(times, at + LIMIT_WINDOW_S) - index
                    for index, at in enumerate(times)), default=0)
        if most > allowed:
            found.append(f"{span.server} named {span.text} a second and got {most} requests in "
                         f"{LIMIT_WINDOW_S} s, {allowed:.0f} allowed")
    return found


def outputs_of_two_versions(history):
    """Outputs with events of two software versions, or with missing or repeated events."""
    found = []
    for sample_id, output in history.outputs.items():
        events = [line.rpartition("@") for line in output.split("\n")]
        if len({software for _, _, software in events}) > 1:
            found.append(f"sample {sample_id} has events of two software versions: {output!r}")
        if [event for event, _, _ in events] != [
                f"{sample_id}.{number + 1}" for number in range(len(events))]:
            found.append(f"sample {sample_id} misses or repeats events: {output!r}")
    return found


def streams_of_two_versions(history):
    """Clients' streams with events of two software versions, or missing or repeated ones."""
    found = []
    for name, answers in history.streams.items():
        events = [data.rpartition("@") for answer in answers for _, data in answer.events]
        if len({software for _, _, software in events}) > 1:
            found.append(f"{name} has events of two software versions: "
                         f"{[answer.events[:1] for answer in answers]}")
        if [event for event, _, _ in events] != [
                f"{name}.{number + 1}" for number in range(len(events))]:
            found.append(f"{name} misses or repeats events: "
                         f"{[answer.events for answer in answers]}")
    return found


def streams_ended_early(history):
    """Responses that end properly before the last event of their stream."""
    return [f"{name} ended as if it were complete after event "
            f"{answer.events[-1][0] if answer.events else 'none'}"
            for name, answers in history.streams.items() for answer in answers
            if answer.status == 200 and answer.complete
            and (not answer.events or answer.events[-1][0] != str(STREAM_EVENTS))]


def stand_in_errors(history):
    """Faults of the soak itself, which would hide those of the gateways."""
    return history.errors


def sound_samples_not_completed(history):
    """Most sound samples are completed, whatever is injected."""
    if history.completed_samples >= MIN_COMPLETED_SHARE * history.sound_samples:
        return []
    return [f"{history.completed_samples} of {history.sound_samples} sound samples completed"]


CHECKS = {
    "servers of one client attempt": calls_on_too_many_servers,
    "time handed on with calls": lambda history: late_deadlines(history, ("app", "once")),
    "time handed on with reward calls": lambda history: late_deadlines(history, ("score",)),
    "requests that crash servers": fatal_requests_sent_on,
    "samples that crash servers": owed_items_not_spaced,
    "samples that fail at each run": failing_samples_run_again,
    "kept connections": lost_on_kept_connections,
    "responses without end": endless_responses_read_on,
    "answers without a status": answers_without_status,
    "gateways that stop late": slow_stops,
    "calls cut by planned stops": calls_cut_by_planned_stops,
    "servers that leave": leaving_servers_used,
    "limits that servers name": limits_exceeded,
    "software versions of outputs": outputs_of_two_versions,
    "software versions of streams": streams_of_two_versions,
    "ends of streams": streams_ended_early,
    "errors of stand-ins": stand_in_errors,
    "sound samples completed": sound_samples_not_completed,
}
