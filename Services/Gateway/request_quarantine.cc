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
// A claim that finds the log longer than expected is repeated after this
// gateway has read the new records.
constexpr Milliseconds kClaimRetryDelay{20};
constexpr int kMaxClaims = 5;

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
      quarantine(kOptions),
      owed(kOwedOptions),
      log(environment,
          std::move(partition),
          std::move(peers),
          this->LogHandlers()) {}

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
    this->trials.Put(trial);
  };
  handlers.on_trial_removed = [this](const QuarantineTrial& trial) {
    this->trials.Remove(trial.digest, trial.number);
  };
  handlers.on_sample_failure = [this](const SampleFailure& failure) {
    this->failures.Add(failure);
  };
  handlers.on_sample_failure_removed = [this](const SampleFailure& failure) {
    this->failures.Remove(failure);
  };
  handlers.on_reset = [this] {
    this->quarantine = CrashQuarantine(kOptions);
    this->owed = CrashQuarantine(kOwedOptions);
    this->trials = QuarantineTrials();
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
    this->EndTrial(attempt, end);
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
      {attempt.server_id, attempt.server_start, attempt.digest, attempt.owed},
      this->environment.clock.Now(), this->environment.clock.WallNow());
  this->CountCrashes(verdict.crashes);
  if (verdict.must_probe) {
    this->Probe(attempt);
  }
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
    const std::vector<CrashReport>& crashes) {
  if (crashes.empty()) {
    return;
  }
  this->environment.metrics
      .GetCounter(metrics::kServerCrashes, {{"service", service}})
      .Add();
  const CrashReport& first = crashes.front();
  WriteLog(LogLevel::kWarning, "backend server crashed with requests",
           {{"server", first.instance},
            {"server_started_at", std::to_string(first.started_at)},
            {"requests", std::to_string(crashes.size())}});
  this->CountCrashes(crashes);
}

void RequestQuarantine::Probe(const ServerAttempt& attempt) {
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
      std::move(request), [this, kept = this->alive, attempt,
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
        this->OnServerCrashed(
            attempt.service,
            this->detector.OnProbed(attempt.server_id, attempt.server_start,
                                    still_up, this->environment.clock.Now(),
                                    this->environment.clock.WallNow()));
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
  if (report.owed) {
    this->ApplyOwed(report);
    return;
  }
  if (this->IsExplained(report)) {
    return;
  }
  const std::string& digest = report.digests.front();
  const std::size_t before = this->CrashesOf(digest);
  this->quarantine.OnCrash(report);
  const std::size_t crashes = this->CrashesOf(digest);
  const Milliseconds refused = this->RefusedFor(digest);
  if (crashes > before && refused.count() > 0) {
    WriteLog(LogLevel::kWarning, "request quarantined: it crashed servers",
             {{"digest", digest},
              {"crashes", std::to_string(crashes)},
              {"last_server", report.instance},
              {"refused_ms", std::to_string(refused.count())}});
  }
  this->UpdateGauge();
}

void RequestQuarantine::ApplyOwed(const CrashReport& report) {
  this->owed.OnCrash(report);
  for (const std::string& digest : this->quarantine.Tracked()) {
    for (const ServerCrashRecord& crash : this->quarantine.CrashesOf(digest)) {
      CrashReport counted;
      counted.instance = crash.instance;
      counted.digests = {digest};
      counted.started_at = crash.started_at;
      counted.at = crash.at;
      if (crash.instance == report.instance &&
          crash.started_at == report.started_at && this->IsExplained(counted)) {
        this->quarantine.Retract(digest, report.instance, report.started_at);
        break;
      }
    }
  }
  this->UpdateGauge();
}

bool RequestQuarantine::IsExplained(const CrashReport& report) const {
  std::size_t own_crashes = 0;
  for (const ServerCrashRecord& crash :
       this->quarantine.CrashesOf(report.digests.front())) {
    own_crashes += crash.instance != report.instance ||
                           crash.started_at != report.started_at
                       ? 1
                       : 0;
  }
  const std::vector<std::string> owed_work = this->owed.Tracked();
  return std::any_of(
      owed_work.begin(), owed_work.end(), [&](const std::string& digest) {
        return ExplainsCrash(this->owed.CrashesOf(digest), report, own_crashes);
      });
}

void RequestQuarantine::Retract(std::string_view digest,
                                std::string_view instance,
                                WallMilliseconds started_at) {
  this->quarantine.Retract(digest, instance, started_at);
  this->owed.Retract(digest, instance, started_at);
  this->UpdateGauge();
}

// Owed work never crashes servers, so its complete run ends the matter.
void RequestQuarantine::OnOwedFinished(const std::string& digest) {
  for (const ServerCrashRecord& crash : this->owed.CrashesOf(digest)) {
    this->log.Retract(digest, crash);
  }
  this->owed.Forget(digest);
}

void RequestQuarantine::OnFinished(const std::string& digest) {
  const std::span<const ServerCrashRecord> counted =
      this->quarantine.CrashesOf(digest);
  const std::vector<ServerCrashRecord> crashes(counted.begin(), counted.end());
  const FinishEffect effect = this->quarantine.OnFinished(digest);
  if (effect == FinishEffect::kNone) {
    return;
  }
  const bool forgotten = effect == FinishEffect::kForgotten;
  WriteLog(LogLevel::kInfo,
           forgotten
               ? "crashes of a request no longer count: servers ran it to "
                 "its end often enough"
               : "request no longer suspect: a server ran it to its end",
           {{"digest", digest}, {"crashes", std::to_string(crashes.size())}});
  if (forgotten) {
    for (const ServerCrashRecord& crash : crashes) {
      this->log.Retract(digest, crash);
    }
    this->RemoveTrials(digest);
  }
  this->UpdateGauge();
}

void RequestQuarantine::RemoveTrials(const std::string& digest) {
  for (const QuarantineTrial& trial : this->trials.Of(digest)) {
    this->log.Remove(trial);
  }
  this->trials.RemoveAll(digest);
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
  const std::span<const ServerCrashRecord> crashes =
      this->quarantine.CrashesOf(digest);
  return crashes.empty() ? 0 : crashes.back().at;
}

bool RequestQuarantine::IsQuarantined(std::string_view digest) const {
  return this->quarantine.StatusOf(digest) == DigestStatus::kQuarantined &&
         !this->trials.Released(digest, this->LastCrashOf(digest));
}

Milliseconds RequestQuarantine::RefusedFor(std::string_view digest) const {
  if (!this->IsQuarantined(digest)) {
    return Milliseconds(0);
  }
  return this->trials.RefusedFor(digest, this->LastCrashOf(digest),
                                 this->environment.clock.WallNow());
}

bool RequestQuarantine::NeedsTrial(std::string_view digest) const {
  return this->IsQuarantined(digest) && this->RefusedFor(digest).count() == 0;
}

void RequestQuarantine::ClaimTrial(const std::string& digest,
                                   TrialCallback done) {
  const auto [claim, added] = this->claims.try_emplace(digest);
  if (!added) {
    this->environment.loop.Post([done = std::move(done)] { done(0); });
    return;
  }
  claim->second.done = std::move(done);
  this->TryClaim(digest);
}

void RequestQuarantine::TryClaim(const std::string& digest) {
  ++this->claims.at(digest).attempts;
  QuarantineTrial trial;
  trial.digest = digest;
  trial.number = this->trials.NextNumber(digest);
  trial.instance = this->environment.settings.instance;
  trial.at = this->environment.clock.WallNow();
  this->log.Claim(trial, [this, trial](AppendStatus status) {
    this->OnClaimed(trial, status);
  });
}

void RequestQuarantine::OnClaimed(const QuarantineTrial& trial,
                                  AppendStatus status) {
  PendingClaim& claim = this->claims.at(trial.digest);
  if (status == AppendStatus::kConflict && claim.attempts < kMaxClaims) {
    claim.retry = this->environment.loop.CallAfter(
        kClaimRetryDelay, [this, digest = trial.digest] {
          if (this->NeedsTrial(digest)) {
            this->TryClaim(digest);
          } else {
            this->EndClaim(digest, 0);
          }
        });
    return;
  }
  const bool claimed = status == AppendStatus::kAppended;
  if (claimed) {
    this->trials.Put(trial);
    WriteLog(LogLevel::kInfo, "trial of a quarantined request claimed",
             {{"digest", trial.digest},
              {"trial", std::to_string(trial.number)},
              {"crashes", std::to_string(this->CrashesOf(trial.digest))}});
  } else {
    WriteLog(LogLevel::kInfo,
             "trial of a quarantined request not claimed: the log did not "
             "accept it; the request stays refused",
             {{"digest", trial.digest}});
  }
  this->EndClaim(trial.digest, claimed ? trial.number : 0);
}

void RequestQuarantine::EndClaim(const std::string& digest,
                                 std::int64_t number) {
  auto claim = this->claims.extract(digest);
  claim.mapped().done(number);
}

void RequestQuarantine::CancelTrial(const std::string& digest,
                                    std::int64_t number) {
  QuarantineTrial trial;
  trial.digest = digest;
  trial.number = number;
  this->trials.Remove(digest, number);
  this->log.Remove(trial);
}

void RequestQuarantine::EndTrial(const ServerAttempt& attempt,
                                 const AttemptEnd& end) {
  const bool sent = end.may_have_run || end.status != 0;
  if (!sent) {
    this->CancelTrial(attempt.digest, attempt.trial);
    return;
  }
  for (QuarantineTrial& trial : this->trials.Of(attempt.digest)) {
    if (trial.number == attempt.trial) {
      trial.outcome =
          end.completed ? TrialOutcome::kCompleted : TrialOutcome::kFailed;
      this->trials.Put(trial);
      this->log.Record(trial);
    }
  }
}

bool RequestQuarantine::IsSuspect(std::string_view digest) const {
  return this->quarantine.StatusOf(digest) != DigestStatus::kClear;
}

std::size_t RequestQuarantine::CrashesOf(std::string_view digest) const {
  return this->quarantine.CrashesOf(digest).size();
}

bool RequestQuarantine::MustWait(std::string_view digest) const {
  if (!this->IsSuspect(digest)) {
    return false;
  }
  return this->in_flight.contains(digest) || this->detector.AwaitsProbe(digest);
}

std::size_t RequestQuarantine::OwedCrashesOf(std::string_view digest) const {
  return this->owed.CrashesOf(digest).size();
}

Milliseconds RequestQuarantine::OwedDelay(std::string_view digest) const {
  return OwedWorkDelay(this->owed.CrashesOf(digest),
                       this->environment.clock.WallNow());
}

bool RequestQuarantine::OwedMustWait(std::string_view digest) const {
  return this->OwedCrashesOf(digest) > 0 &&
         (this->in_flight.contains(digest) ||
          this->detector.AwaitsProbe(digest));
}

std::vector<std::string> RequestQuarantine::ServersWithSuspects(
    std::string_view digest,
    std::size_t crashes) const {
  std::vector<std::string> servers;
  for (const auto& [other, running_on] : this->in_flight) {
    if (other != digest && this->CrashesOf(other) >= crashes) {
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
  if (server != nullptr || this->quarantine.IsOnLastChance(digest)) {
    return server;
  }
  return choose(query);
}

void RequestQuarantine::CountRefusal(std::string_view service,
                                     bool may_have_run) {
  this->environment.metrics
      .GetCounter(metrics::kRefusals,
                  {{"service", std::string(service)},
                   {"code", "quarantined"},
                   {"execution", may_have_run ? "may_have_run" : "not_run"}})
      .Add();
}

void RequestQuarantine::RecordFailure(const SampleKey& key,
                                      SampleFailureKind kind) {
  const SampleFailure failure{key, kind, this->environment.settings.instance,
                              this->environment.clock.WallNow()};
  this->failures.Add(failure);
  this->log.Record(failure);
}

void RequestQuarantine::RemoveOldRecords() {
  const WallMilliseconds now = this->environment.clock.WallNow();
  this->RemoveOldCrashes(this->quarantine, now - kCrashRetention.count());
  this->RemoveOldCrashes(this->owed, now - kOwedRetention.count());
  const WallMilliseconds oldest = now - kOwedRetention.count();
  for (const SampleFailure& failure : this->failures.All()) {
    if (failure.at < oldest) {
      this->log.Remove(failure);
      this->failures.Remove(failure);
    }
  }
}

void RequestQuarantine::RemoveOldCrashes(CrashQuarantine& crashes,
                                         WallMilliseconds oldest) {
  for (const std::string& digest : crashes.Tracked()) {
    const auto of_digest = crashes.CrashesOf(digest);
    const bool old = std::all_of(
        of_digest.begin(), of_digest.end(),
        [oldest](const ServerCrashRecord& crash) { return crash.at < oldest; });
    if (!old) {
      continue;
    }
    for (const ServerCrashRecord& crash : of_digest) {
      this->log.Retract(digest, crash);
    }
    this->RemoveTrials(digest);
    crashes.Forget(digest);
  }
}

std::vector<KeyedRecord> RequestQuarantine::KnownRecords() const {
  std::vector<KeyedRecord> records;
  for (const SampleFailure& failure : this->failures.All()) {
    records.push_back(RequestRecordLog::EncodeFailure(failure));
  }
  for (const CrashQuarantine* const crashes :
       {&this->quarantine, &this->owed}) {
    for (const std::string& digest : crashes->Tracked()) {
      for (const ServerCrashRecord& crash : crashes->CrashesOf(digest)) {
        CrashReport report;
        report.instance = crash.instance;
        report.digests = {digest};
        report.started_at = crash.started_at;
        report.at = crash.at;
        report.owed = crashes == &this->owed;
        records.push_back(RequestRecordLog::EncodeCrash(report));
      }
    }
  }
  for (const QuarantineTrial& trial : this->trials.All()) {
    records.push_back(EncodeTrial(trial));
  }
  return records;
}

void RequestQuarantine::UpdateGauge() {
  this->environment.metrics.GetGauge(metrics::kQuarantined)
      .Set(static_cast<double>(this->quarantine.Quarantined().size()));
}

}  // namespace carobbank
