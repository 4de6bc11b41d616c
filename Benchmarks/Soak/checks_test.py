"""Each check of the soak is shown a history with its fault, and one just within the limit."""

import unittest

import checks
import streams
from checks import Attempt, History
from servers import LimitSpan, Run

TOUCH_S = 3.0


def run(at, server="s1", outcome="200", route="app", request_id="r1", body="sound",
        deadline_ms=1000, gateway="g1", born=1):
    return Run(at, gateway, server, born, route, request_id, f"/{route}/x", body, deadline_ms,
               outcome, at + 0.1)


def history(runs, attempts=()):
    return History(TOUCH_S, attempts={a.request_id: a for a in attempts}, runs=runs)


class ServersOfOneAttempt(unittest.TestCase):
    def found(self, calls, servers, outcome="200"):
        runs = [run(0, f"s{server}", outcome, request_id=f"r{call}")
                for call in range(calls) for server in range(servers)]
        attempts = [Attempt(f"r{call}", 0, 1, 2) for call in range(calls)]
        return checks.calls_on_too_many_servers(history(runs, attempts))

    def test_four_calls_on_three_servers_are_found(self):
        self.assertEqual(4, len(self.found(4, 3)))

    def test_three_calls_or_two_servers_or_crashed_servers_are_allowed(self):
        self.assertEqual([], self.found(3, 3))
        self.assertEqual([], self.found(9, 2))
        self.assertEqual([], self.found(9, 3, "crashed"))
        self.assertEqual([], self.found(9, 3, "not_run"))


class TimeHandedOn(unittest.TestCase):
    def found(self, calls, second_at, deadline_ms, attempt_deadline_s=None, disrupted=()):
        runs = []
        for call in range(calls):
            runs += [run(0, request_id=f"r{call}", route="score"),
                     run(second_at, request_id=f"r{call}", route="score",
                         deadline_ms=deadline_ms)]
        attempts = [] if attempt_deadline_s is None else [
            Attempt(f"r{call}", 0, attempt_deadline_s, 2) for call in range(calls)]
        played = history(runs, attempts)
        played.gateway_disruptions["g1"] += disrupted
        return checks.late_deadlines(played, ("score",))

    def test_repeats_with_a_new_deadline_are_found(self):
        self.assertEqual(21, len(self.found(21, 0.8, 1000)))

    def test_repeats_within_the_first_deadline_or_soon_or_few_are_allowed(self):
        self.assertEqual([], self.found(21, 0.8, 200))
        self.assertEqual([], self.found(21, 0.4, 1000))
        self.assertEqual([], self.found(20, 0.8, 1000))
        self.assertEqual([], self.found(21, 0.8, 1000, attempt_deadline_s=2))

    def test_repeats_for_the_same_job_are_found_and_those_for_a_later_job_allowed(self):
        runs = [run(at, request_id=f"r{call}", route="score")
                for call in range(21) for at in (0, 5)]
        for submissions, found in (([-1], 21), ([-1, 4], 0), ([-1, 6], 21)):
            played = history(runs)
            for call in range(21):
                played.job_submissions[f"r{call}"] += submissions
            self.assertEqual(found, len(checks.late_deadlines(played, ("score",))))

    def test_more_time_than_the_caller_gave_is_found(self):
        self.assertEqual(42, len(self.found(21, 0.1, 1000, attempt_deadline_s=0.4)))

    def test_a_request_without_a_deadline_is_found(self):
        runs = [run(0, request_id=f"r{call}", deadline_ms=None) for call in range(21)]
        self.assertEqual(21, len(checks.late_deadlines(history(runs), ("app",))))

    def test_gateways_out_of_touch_are_excused(self):
        self.assertEqual([], self.found(21, 0.8, 1000, disrupted=[(-1, 0)]))
        self.assertEqual(21, len(self.found(21, 4.2, 1000, disrupted=[(-1, 0)])))


class CrashingRequests(unittest.TestCase):
    def found(self, late, gap=4.0):
        runs = [run(at, f"s{at}", "crashed", body="fatal") for at in range(3)]
        runs += [run(2 + gap + index, f"s{index}", "crashed", body="fatal")
                 for index in range(late)]
        return checks.fatal_requests_sent_on(history(runs))

    def test_four_late_retries_are_found(self):
        self.assertEqual(1, len(self.found(4)))

    def test_three_late_retries_or_earlier_ones_are_allowed(self):
        self.assertEqual([], self.found(3))
        self.assertEqual([], self.found(4, gap=-0.5))


    def test_samples_are_not_counted(self):
        runs = [run(at, f"s{at}", "crashed", "train", body="fatal") for at in range(12)]
        self.assertEqual([], checks.fatal_requests_sent_on(history(runs)))


class CrashingSamples(unittest.TestCase):
    def found(self, gap, route="train", disrupted=()):
        times = [0, 0.1, 0.4, 1.3, 1.4 + gap]
        runs = [run(at, f"s{at}", "crashed", route, body="fatal") for at in times]
        played = history(runs)
        played.gateway_disruptions["g1"] += disrupted
        return checks.owed_items_not_spaced(played)

    def test_a_send_soon_after_the_fourth_crash_or_beside_it_is_found(self):
        self.assertEqual(1, len(self.found(0.8)))
        self.assertEqual(1, len(self.found(0.8, "score")))
        runs = [run(at, f"s{at}", "crashed", "train", body="fatal") for at in (0, 1, 2, 3, 5, 5.05)]
        self.assertEqual(1, len(checks.owed_items_not_spaced(history(runs))))

    def test_spaced_sends_and_those_of_gateways_out_of_touch_are_allowed(self):
        self.assertEqual([], self.found(1.0))
        self.assertEqual([], self.found(0.1, disrupted=[(0, 1)]))


class KeptConnections(unittest.TestCase):
    def test_four_lost_requests_are_found(self):
        played = history([])
        played.lost_on_kept = [(at, "g1") for at in range(4)]
        self.assertEqual(4, len(checks.lost_on_kept_connections(played)))

    def test_three_or_those_of_gateways_out_of_touch_are_allowed(self):
        played = history([])
        played.lost_on_kept = [(at, "g1") for at in range(3)] + [(0, "g2")] * 4
        played.gateway_disruptions["g2"].append((-1, 0))
        self.assertEqual([], checks.lost_on_kept_connections(played))


class ResponsesWithoutEnd(unittest.TestCase):
    def found(self, seconds):
        endless = run(0, outcome="endless")
        endless.ended_at = seconds
        return checks.endless_responses_read_on(history([endless]))

    def test_one_that_is_read_for_long_is_found_and_a_shorter_one_allowed(self):
        self.assertEqual(1, len(self.found(7.1)))
        self.assertEqual([], self.found(6.9))


class AnswersWithoutAStatus(unittest.TestCase):
    def found(self, status, body=b"body", output="output", data="data"):
        played = history([])
        played.answers["r1"] = (status, body)
        played.outputs["s1"] = output
        played.streams["c1"] = [streams.StreamAnswer(200, [("1", data)])]
        return checks.answers_without_status(played)

    def test_statuses_out_of_range_and_data_behind_them_are_found(self):
        for status in (0, 99, 600):
            self.assertEqual(1, len(self.found(status)))
        self.assertEqual(1, len(self.found(200, body=b"id: 1\ndata: no answer\n\n")))
        self.assertEqual(1, len(self.found(200, output="no answer")))
        self.assertEqual(1, len(self.found(200, data="no answer")))

    def test_other_answers_are_allowed(self):
        for status in (200, 502, 599):
            self.assertEqual([], self.found(status))


class FailingSamples(unittest.TestCase):
    def found(self, count, outcome, last="500"):
        runs = [run(at, f"s{at}", outcome, "train", "sample") for at in range(count - 1)]
        runs.append(run(count - 1, "s", last, "train", "sample"))
        return checks.failing_samples_run_again(history(runs))

    def test_runs_beyond_the_limit_are_found(self):
        self.assertEqual(1, len(self.found(10, "500")))
        self.assertEqual(1, len(self.found(4, "422", "422")))

    def test_runs_up_to_the_limit_or_that_completed_are_allowed(self):
        self.assertEqual([], self.found(9, "500"))
        self.assertEqual([], self.found(3, "422", "422"))
        self.assertEqual([], self.found(10, "500", "200"))


class LeavingServers(unittest.TestCase):
    def found(self, at, restarts=(), gateway="g1", born=1):
        played = history([run(at, gateway=gateway, born=born)])
        played.leaving_told = [(10.0, run(9.9))]
        played.restarts["g1"] += restarts
        return checks.leaving_servers_used(played)

    def test_a_request_after_the_drain_time_is_found(self):
        self.assertEqual(1, len(self.found(12.1)))
        self.assertEqual(1, len(self.found(12.1, restarts=[(8, 9)])))

    def test_a_restarted_gateway_that_uses_the_addresses_of_its_peer_is_allowed(self):
        played = history([run(12.1, request_id="k2", gateway="g1")])
        played.leaving_told = [(10.0, run(9.9))]
        self.assertEqual(1, len(checks.leaving_servers_used(played)))
        played.gateways_asked["k2"] = "g2"
        self.assertEqual([], checks.leaving_servers_used(played))

    def test_earlier_ones_other_gateways_restarts_and_new_starts_are_allowed(self):
        self.assertEqual([], self.found(11.9))
        self.assertEqual([], self.found(12.1, gateway="g2"))
        self.assertEqual([], self.found(12.1, restarts=[(10.5, 11)]))
        self.assertEqual([], self.found(12.1, born=2))


class SoakItself(unittest.TestCase):
    def test_errors_and_few_completed_samples_are_found(self):
        played = history([])
        played.errors = ["NameError"]
        played.slow_stops = ["g1"]
        self.assertEqual(1, len(checks.slow_stops(played)))
        played.sound_samples, played.completed_samples = 100, 49
        self.assertEqual(1, len(checks.stand_in_errors(played)))
        self.assertEqual(1, len(checks.sound_samples_not_completed(played)))
        played.completed_samples = 50
        self.assertEqual([], checks.sound_samples_not_completed(played))


class NamedLimits(unittest.TestCase):
    def found(self, runs, text="2", told=0.0, restarts=()):
        """17 requests in 4 s are allowed from 3 s after the first response on."""
        played = history(runs)
        span = LimitSpan("s1", "app", text, 100.0, {"g1": told, "g2": told + 1.0})
        played.limit_spans = [span]
        played.restarts["g2"] += restarts
        return checks.limits_exceeded(played)

    def runs(self, count, begin=4.0, gateways=("g1", "g2")):
        return [run(begin + 0.2 * number, gateway=gateways[number % len(gateways)])
                for number in range(count)]

    def test_more_requests_of_all_gateways_than_allowed_are_found(self):
        self.assertEqual(1, len(self.found(self.runs(18))))

    def test_as_many_as_allowed_or_early_or_untold_ones_are_not_counted(self):
        self.assertEqual([], self.found(self.runs(17)))
        self.assertEqual([], self.found(self.runs(14, 0.0)))
        self.assertEqual([], self.found(self.runs(40, gateways=("g3",))))
        self.assertEqual([], self.found(self.runs(18), told=-30.0, text="many"))

    def test_a_restarted_gateway_is_excused(self):
        self.assertEqual([], self.found(self.runs(18), restarts=[(5.0, 6.0)]))


class OutputsOfSamples(unittest.TestCase):
    def found(self, output):
        played = history([])
        played.outputs = {"s": output}
        return checks.outputs_of_two_versions(played)

    def test_two_versions_or_missing_or_repeated_events_are_found(self):
        self.assertEqual(1, len(self.found("s.1@v1\ns.2@v2")))
        self.assertEqual(1, len(self.found("s.1@v1\ns.3@v1")))
        self.assertEqual(1, len(self.found("s.1@v1\ns.1@v1\ns.2@v1")))

    def test_an_output_of_one_version_is_sound(self):
        self.assertEqual([], self.found("s.1@v2\ns.2@v2"))


class ClientStreams(unittest.TestCase):
    def found(self, *answers):
        played = history([])
        played.streams = {"s": [streams.StreamAnswer(200, [
            (event.partition("@")[0], f"s.{event}") for event in events]) for events in answers]}
        return checks.streams_of_two_versions(played)

    def test_two_versions_or_missing_or_repeated_events_are_found(self):
        self.assertEqual(1, len(self.found(["1@v1"], ["2@v2"])))
        self.assertEqual(1, len(self.found(["1@v1", "2@v2"])))
        self.assertEqual(1, len(self.found(["1@v1"], ["3@v1"])))
        self.assertEqual(1, len(self.found(["1@v1", "2@v1"], ["2@v1"])))

    def test_a_stream_that_goes_on_or_ends_is_sound(self):
        self.assertEqual([], self.found(["1@v1"], [], ["2@v1", "3@v1"]))
        self.assertEqual([], self.found(["1@v2"], []))


class EndsOfStreams(unittest.TestCase):
    def found(self, last_event, complete=True, status=200):
        played = history([])
        events = [] if last_event is None else [(last_event, "data")]
        played.streams = {"s": [streams.StreamAnswer(status, events, complete)]}
        return checks.streams_ended_early(played)

    def test_an_end_before_the_last_event_is_found(self):
        self.assertEqual(1, len(self.found("39")))
        self.assertEqual(1, len(self.found(None)))

    def test_an_end_after_the_last_event_a_break_and_an_error_are_sound(self):
        self.assertEqual([], self.found("40"))
        self.assertEqual([], self.found("39", complete=False))
        self.assertEqual([], self.found(None, complete=False))
        self.assertEqual([], self.found(None, status=503))


class EventsOfAnswers(unittest.TestCase):
    def test_an_incomplete_event_remains(self):
        events, rest = streams.split_events(b"id: 1\ndata: a\n\n: beat\n\nid: 2\nda")
        self.assertEqual([("1", "a")], events)
        self.assertEqual(b"id: 2\nda", rest)


class PlannedStops(unittest.TestCase):
    def found(self, sent_at, ended_at, outcome="cut", disrupted=()):
        ran = run(sent_at, outcome=outcome)
        ran.ended_at = ended_at
        played = history([ran])
        played.planned_stops.append(checks.PlannedStop("g1", 10, 8, [(sent_at, "r1")]))
        played.gateway_disruptions["g1"] += [(9.99, 19.0), *disrupted]
        return checks.calls_cut_by_planned_stops(played)

    def test_a_late_call_that_ran_and_got_no_response_is_found(self):
        self.assertEqual(1, len(self.found(16.5, 17.5)))
        self.assertEqual(1, len(self.found(13.1, 17.5)))

    def test_an_early_call_that_was_cut_long_before_the_end_is_found(self):
        self.assertEqual(1, len(self.found(12.0, 16.6)))

    def test_long_work_of_early_calls_and_what_never_ran_is_allowed(self):
        self.assertEqual([], self.found(13.0, 16.7))
        self.assertEqual([], self.found(16.5, 17.5, "not_run"))
        self.assertEqual([], self.found(16.5, 17.5, "crashed"))

    def test_other_disruptions_excuse_the_stop(self):
        self.assertEqual([], self.found(16.5, 17.5, disrupted=[(12.0, 12.5)]))
        self.assertEqual([], self.found(16.5, 17.5, disrupted=[(6.0, 7.5)]))
        self.assertEqual(1, len(self.found(16.5, 17.5, disrupted=[(5.0, 6.5)])))


if __name__ == "__main__":
    unittest.main()
