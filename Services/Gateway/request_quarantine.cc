// Broken attempts, probes of their servers, and the choice of servers for
// suspects.

#include "request_quarantine.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"
#include "leaving_servers.h"

namespace carobbank {

namespace {

constexpr int kMisdirected = 421;
constexpr CrashQuarantineOptions kOptions = {
    .concurrent_crashes_to_quarantine = 3,
    .max_suspects = 4'096};
constexpr CrashQuarantineOptions kOwedOptions = {.max_suspects = 4'096};
// An attempt that its caller gave up after this long without a response may
// have been sent to a server that went silent.
constexpr Milliseconds kSilentAttempt{1'000};
// A crashed server refuses a connection at once or doesn't respond.
constexpr Milliseconds kProbeTimeout{400};

// A slow log must not hold up calls for longer.
constexpr Milliseconds kLongestSettling{500};
// A trainer submits the unfinished samples of a step again with one of its next
// steps.
constexpr Milliseconds kOwedRetention{600'000};
// Longer than the longest refusal, so that a digest whose refusal ends still
// has its crashes and trials.
constexpr Milliseconds kCrashRetention{2 * 3'600'000};

bool Broke(const AttemptEnd& end, Milliseconds elapsed) {
  if (!end.may_have_run) {
    return false;
  }
  const bool abandoned_in_silence = end.outcome == SendOutcome::kCancelled &&
                                    !end.outlived_start &&
                                    elapsed >= kSilentAttempt;
  return end.outcome == SendOutcome::kFailed || abandoned_in_silence;
}

}  // namespace

RequestQuarantine::RequestQuarantine(GatewayEnvironment& environment,
                                     TopicPartition partition,
                                     std::vector<std::string> peers)
    : environment(environment),
      crashes(kOptions, kOwedOptions),
      log(environment,
          std::move(partition),
          std::move(peers),
          this->LogHandlers()),
      trials(
          environment,
          this->log,
          [this](std::string_view digest) { return this->NeedsTrial(digest); }),
      origins(environment, this->log),
      streams(environment, this->log, this->origins) {}

RequestQuarantine::~RequestQuarantine() {
  *this->alive = false;
}

bool RequestQuarantine::AwaitsRecords() const {
  return !this->Settled() &&
         this->environment.clock.Now() - this->started_at < kLongestSettling;
}

void RequestQuarantine::Start() {
  this->started_at = this->environment.clock.Now();
  this->log.Start();
}

RequestRecordHandlers RequestQuarantine::LogHandlers() {
  RequestRecordHandlers handlers;
  handlers.on_crash = [this](const CrashReport& report) {
    this->Apply(report);
  };
  handlers.on_retracted = [this](std::string_view digest,
                                 std::string_view instance,
                                 WallMilliseconds started_at) {
    this->Retract(digest, instance, started_at);
  };
  handlers.on_trial = [this](const QuarantineTrial& trial) {
    this->trials.OnRecord(trial);
  };
  handlers.on_trial_removed = [this](const QuarantineTrial& trial) {
    this->trials.OnRemoved(trial);
  };
  handlers.on_sample_failure = [this](const SampleFailure& failure) {
    this->failures.Add(failure);
  };
  handlers.on_sample_failure_removed = [this](const SampleFailure& failure) {
    this->failures.Remove(failure);
  };
  handlers.on_stream = [this](const StreamVersion& stream) {
    this->streams.OnRecord(stream);
  };
  handlers.on_stream_removed = [this](std::string_view request_id) {
    this->streams.OnRemoved(request_id);
  };
  handlers.on_origin = [this](const StreamOrigin& origin) {
    this->origins.OnRecord(origin);
  };
  handlers.on_origin_removed = [this](std::string_view key) {
    this->origins.OnRemoved(key);
  };
  handlers.on_read = [this] {
    this->origins.OnRead();
    this->streams.ShareMixed();
  };
  handlers.on_reset = [this] {
    this->origins.Reset();
    this->streams.Reset();
    this->crashes = RequestCrashes(kOptions, kOwedOptions);
    this->trials.Reset();
    this->failures = SampleFailures();
  };
  return handlers;
}

void RequestQuarantine::OnAttemptStarted(const ServerAttempt& attempt) {
  this->in_flight[attempt.digest].push_back(attempt.server_id);
}

void RequestQuarantine::OnAttemptEnded(const ServerAttempt& attempt,
                                       const AttemptEnd& end,
                                       Milliseconds elapsed) {
  const auto running = this->in_flight.find(attempt.digest);
  if (running != this->in_flight.end()) {
    std::vector<std::string>& servers = running->second;
    const auto found =
        std::find(servers.begin(), servers.end(), attempt.server_id);
    if (found != servers.end()) {
      servers.erase(found);
    }
    if (servers.empty()) {
      this->in_flight.erase(running);
    }
  }
  if (attempt.trial > 0) {
    const bool sent = end.may_have_run || end.status != 0;
    if (sent) {
      this->trials.End(attempt.digest, attempt.trial, end.completed);
    } else {
      this->trials.Cancel(attempt.digest, attempt.trial);
    }
  }
  if (end.completed) {
    if (attempt.owed) {
      this->OnOwedFinished(attempt.digest);
    } else {
      this->OnFinished(attempt.digest);
    }
    return;
  }
  if (!Broke(end, elapsed)) {
    return;
  }
  const BrokenAttemptVerdict verdict = this->detector.OnBroken(
      {attempt.server_id, attempt.server_start, attempt.digest, attempt.began,
       attempt.owed, this->ReportedCrashAt(attempt)},
      this->environment.clock.Now(), this->environment.clock.WallNow());
  this->CountCrashes(verdict.crashes);
  if (verdict.must_probe) {
    this->Probe(attempt, verdict.server_start);
  }
}

std::optional<WallMilliseconds> RequestQuarantine::ReportedCrashAt(
    const ServerAttempt& attempt) const {
  const CrashQuarantine& counted =
      attempt.owed ? this->crashes.Owed() : this->crashes.Plain();
  std::optional<WallMilliseconds> reported;
  for (const ServerCrashRecord& crash : counted.CrashesOf(attempt.digest)) {
    if (crash.instance == attempt.server_id &&
        crash.started_at == attempt.server_start) {
      reported = crash.at;
    }
  }
  return reported;
}

// True when the same start of the server accepted a connection.
bool RequestQuarantine::IsStillUp(const ServerAttempt& attempt,
                                  const Outcome<HttpResponse>& outcome) const {
  const FleetServer* const registered =
      this->environment.fleet.Find(attempt.server_id);
  if (registered != nullptr && registered->started_at != attempt.server_start) {
    return false;
  }
  if (!outcome.Ok()) {
    return outcome.GetError().kind != ErrorKind::kUnavailable;
  }
  return outcome.Value().status != kMisdirected;
}

void RequestQuarantine::OnServerCrashed(
    const std::string& service,
    const std::vector<CrashReport>& reports) {
  if (reports.empty()) {
    return;
  }
  this->environment.metrics
      .GetCounter(metrics::kServerCrashes, {{"service", service}})
      .Add();
  const CrashReport& first = reports.front();
  WriteLog(LogLevel::kWarning, "backend server crashed with requests",
           {{"server", first.instance},
            {"server_started_at", std::to_string(first.started_at)},
            {"requests", std::to_string(reports.size())}});
  this->CountCrashes(reports);
}

void RequestQuarantine::Probe(const ServerAttempt& attempt,
                              WallMilliseconds server_start) {
  std::string_view health_path = "/";
  if (this->environment.configuration) {
    const auto& services = this->environment.configuration->services;
    const auto traits = services.find(attempt.service);
    if (traits != services.end()) {
      health_path = traits->second.health_path;
    }
  }
  HttpClientRequest request = this->environment.dialect.HealthRequest(
      attempt.address, attempt.server_id, health_path);
  request.fresh_connection = true;
  request.connect_timeout = kProbeTimeout;
  request.timeout = kProbeTimeout;
  this->environment.client.Fetch(
      std::move(request), [this, kept = this->alive, attempt, server_start,
                           sent_at = this->environment.clock.WallNow()](
                              const Outcome<HttpResponse>& outcome) {
        if (!*kept) {
          return;
        }
        if (outcome.Ok()) {
          ObserveLeavingServer(this->environment, {attempt.server_id, sent_at},
                               outcome.Value().status, outcome.Value().headers);
        }
        const bool still_up = this->IsStillUp(attempt, outcome);
        if (still_up) {
          WriteLog(
              LogLevel::kInfo,
              "backend server still responds after an attempt broke off",
              {{"request", attempt.request_id},
               {"digest", attempt.digest},
               {"server", attempt.server_id},
               {"server_started_at", std::to_string(attempt.server_start)}});
        }
        const ProbeVerdict verdict = this->detector.OnProbed(
            attempt.server_id, server_start, still_up,
            this->environment.clock.Now(), this->environment.clock.WallNow());
        this->OnServerCrashed(attempt.service, verdict.crashes);
        if (verdict.must_probe) {
          this->Probe(attempt, server_start);
        }
      });
}

void RequestQuarantine::CountCrashes(const std::vector<CrashReport>& reports) {
  // Crashes under owed work may explain the others.
  for (const bool owed_work : {true, false}) {
    for (const CrashReport& report : reports) {
      if (report.owed == owed_work) {
        this->Apply(report);
        this->log.Record(report);
      }
    }
  }
}

void RequestQuarantine::Apply(CrashReport report) {
  // The reporter's clock may be ahead; waits must not be longer for it.
  report.at = std::min(report.at, this->environment.clock.WallNow());
  const std::size_t before = this->CrashesOf(report.digests.front());
  this->crashes.OnCrash(report);
  if (this->CrashesOf(report.digests.front()) > before) {
    this->LogQuarantined(report);
  }
  this->UpdateGauge();
}

void RequestQuarantine::LogQuarantined(const CrashReport& report) const {
  const std::string& digest = report.digests.front();
  const Milliseconds refused = this->RefusedFor(digest);
  if (refused.count() > 0) {
    WriteLog(LogLevel::kWarning, "request quarantined: it crashed servers",
             {{"digest", digest},
              {"crashes", std::to_string(this->CrashesOf(digest))},
              {"last_server", report.instance},
              {"refused_ms", std::to_string(refused.count())}});
  }
}

void RequestQuarantine::Retract(std::string_view digest,
                                std::string_view instance,
                                WallMilliseconds started) {
  this->crashes.Retract(digest, instance, started);
  this->UpdateGauge();
}

// Owed work never crashes servers, so its complete run ends the matter.
void RequestQuarantine::OnOwedFinished(const std::string& digest) {
  for (const ServerCrashRecord& crash :
       this->crashes.Owed().CrashesOf(digest)) {
    this->log.Retract(digest, crash);
  }
  this->crashes.Owed().Forget(digest);
}

void RequestQuarantine::OnFinished(const std::string& digest) {
  const std::span<const ServerCrashRecord> counted =
      this->crashes.Plain().CrashesOf(digest);
  const std::vector<ServerCrashRecord> before(counted.begin(), counted.end());
  const FinishEffect effect = this->crashes.Plain().OnFinished(digest);
  if (effect == FinishEffect::kNone) {
    return;
  }
  const bool forgotten = effect == FinishEffect::kForgotten;
  WriteLog(LogLevel::kInfo,
           forgotten
               ? "crashes of a request no longer count: servers ran it to "
                 "its end often enough"
               : "request no longer suspect: a server ran it to its end",
           {{"digest", digest}, {"crashes", std::to_string(before.size())}});
  if (forgotten) {
    for (const ServerCrashRecord& crash : before) {
      this->log.Retract(digest, crash);
    }
    this->trials.RemoveAll(digest);
  }
  this->UpdateGauge();
}

void RequestQuarantine::OnServerRegistered(const FleetServer& server) {
  const MonotonicTime now = this->environment.clock.Now();
  const RegistrationVerdict verdict = this->detector.OnRegistered(
      server.id, server.started_at, now, this->environment.clock.WallNow());
  this->detector.RemoveExpired(now);
  this->OnServerCrashed(server.service, verdict.crashes);
  for (const CrashReport& report : verdict.retracted) {
    const std::string& digest = report.digests.front();
    this->Retract(digest, report.instance, report.started_at);
    this->log.Retract(digest, {report.instance, report.started_at});
  }
  if (!verdict.retracted.empty()) {
    WriteLog(LogLevel::kInfo,
             "backend server did not crash: its registration continues",
             {{"server", server.id},
              {"server_started_at", std::to_string(server.started_at)},
              {"requests", std::to_string(verdict.retracted.size())}});
  }
}

WallMilliseconds RequestQuarantine::LastCrashOf(std::string_view digest) const {
  const std::span<const ServerCrashRecord> counted =
      this->crashes.Plain().CrashesOf(digest);
  return counted.empty() ? 0 : counted.back().at;
}

bool RequestQuarantine::IsQuarantined(std::string_view digest) const {
  return this->crashes.Plain().StatusOf(digest) == DigestStatus::kQuarantined &&
         !this->trials.Trials().Released(digest, this->LastCrashOf(digest));
}

Milliseconds RequestQuarantine::RefusedFor(std::string_view digest) const {
  if (!this->IsQuarantined(digest)) {
    return Milliseconds(0);
  }
  return this->trials.Trials().RefusedFor(digest, this->LastCrashOf(digest),
                                          this->environment.clock.WallNow());
}

bool RequestQuarantine::NeedsTrial(std::string_view digest) const {
  return this->IsQuarantined(digest) && this->RefusedFor(digest).count() == 0;
}

bool RequestQuarantine::IsSuspect(std::string_view digest) const {
  return this->crashes.Plain().StatusOf(digest) != DigestStatus::kClear;
}

std::size_t RequestQuarantine::CrashesOf(std::string_view digest) const {
  return this->crashes.Plain().CrashesOf(digest).size();
}

bool RequestQuarantine::MustWait(std::string_view digest) const {
  if (!this->IsSuspect(digest)) {
    return false;
  }
  return this->in_flight.contains(digest) || this->detector.AwaitsProbe(digest);
}

std::size_t RequestQuarantine::OwedCrashesOf(std::string_view digest) const {
  return this->crashes.Owed().CrashesOf(digest).size();
}

Milliseconds RequestQuarantine::OwedDelay(std::string_view digest) const {
  return OwedWorkDelay(this->crashes.Owed().CrashesOf(digest),
                       this->environment.clock.WallNow());
}

bool RequestQuarantine::OwedMustWait(std::string_view digest) const {
  return this->OwedCrashesOf(digest) > 0 &&
         (this->in_flight.contains(digest) ||
          this->detector.AwaitsProbe(digest));
}

std::vector<std::string> RequestQuarantine::ServersWithSuspects(
    std::string_view digest,
    std::size_t least_crashes) const {
  std::vector<std::string> servers;
  for (const auto& [other, running_on] : this->in_flight) {
    if (other != digest && this->CrashesOf(other) >= least_crashes) {
      servers.insert(servers.end(), running_on.begin(), running_on.end());
    }
  }
  return servers;
}

const FleetServer* RequestQuarantine::Choose(const BackendQuery& query,
                                             std::string_view digest) const {
  const auto choose = [this](const BackendQuery& chosen) {
    return ChooseBackend(chosen, this->environment.loads,
                         this->environment.clock.Now(),
                         this->environment.random);
  };
  if (!this->IsSuspect(digest)) {
    return choose(query);
  }
  std::vector<std::string> excluded =
      this->ServersWithSuspects(digest, this->CrashesOf(digest));
  excluded.insert(excluded.end(), query.excluded.begin(), query.excluded.end());
  BackendQuery apart = query;
  apart.excluded = excluded;
  // A suspect follows no other request to a server.
  apart.preferred_id = "";
  const FleetServer* const server = choose(apart);
  if (server != nullptr || this->crashes.Plain().IsOnLastChance(digest)) {
    return server;
  }
  return choose(query);
}

void RequestQuarantine::RecordFailure(const SampleKey& key,
                                      SampleFailureKind kind) {
  const SampleFailure failure{key, kind, this->environment.settings.instance,
                              this->environment.clock.WallNow()};
  this->failures.Add(failure);
  this->log.Record(failure);
}

void RequestQuarantine::RemoveOldRecords() {
  this->origins.RemoveUnused();
  const WallMilliseconds now = this->environment.clock.WallNow();
  this->RemoveOldCrashes(this->crashes.Plain(), now - kCrashRetention.count());
  this->RemoveOldCrashes(this->crashes.Owed(), now - kOwedRetention.count());
  const WallMilliseconds oldest = now - kOwedRetention.count();
  for (const SampleFailure& failure : this->failures.All()) {
    if (failure.at < oldest) {
      this->log.Remove(failure);
      this->failures.Remove(failure);
    }
  }
}

void RequestQuarantine::RemoveOldCrashes(CrashQuarantine& counted,
                                         WallMilliseconds oldest) {
  for (const std::string& digest : counted.Tracked()) {
    const auto of_digest = counted.CrashesOf(digest);
    const bool old = std::all_of(
        of_digest.begin(), of_digest.end(),
        [oldest](const ServerCrashRecord& crash) { return crash.at < oldest; });
    if (!old) {
      continue;
    }
    for (const ServerCrashRecord& crash : of_digest) {
      this->log.Retract(digest, crash);
    }
    this->trials.RemoveAll(digest);
    counted.Forget(digest);
  }
}

std::vector<KeyedRecord> RequestQuarantine::KnownRecords() const {
  std::vector<KeyedRecord> records;
  for (const SampleFailure& failure : this->failures.All()) {
    records.push_back(RequestRecordLog::EncodeFailure(failure));
  }
  for (const CrashReport& report : this->crashes.All()) {
    records.push_back(RequestRecordLog::EncodeCrash(report));
  }
  for (const QuarantineTrial& trial : this->trials.Trials().All()) {
    records.push_back(EncodeTrial(trial));
  }
  for (const StreamOrigin& origin : this->origins.Recorded()) {
    records.push_back(EncodeStreamOrigin(origin));
  }
  for (const StreamVersion& stream : this->streams.Shared()) {
    records.push_back(EncodeStreamVersion(stream));
  }
  return records;
}

void RequestQuarantine::UpdateGauge() {
  this->environment.metrics.GetGauge(metrics::kQuarantined)
      .Set(static_cast<double>(this->crashes.Plain().Quarantined().size()));
}

}  // namespace carobbank
