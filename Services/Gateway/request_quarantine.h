// Refuses requests that crash backend servers: attributes broken attempts to
// crashes of their servers, shares the crashes with the other gateways, and
// keeps suspects apart, so that sound requests beside them are not quarantined.
// A quarantined request runs again only in a trial that one gateway claims.
// Samples and reward calls are never refused: they only wait between crashes.
// Also counts, over all gateways, the failures of samples that fail at each
// run.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_environment.h"
#include "request_record_log.h"
#include "trial_claims.h"

namespace carobbank {

// How an attempt ended.
struct AttemptEnd {
  SendOutcome outcome = SendOutcome::kCancelled;
  // False when the request certainly did not run.
  bool may_have_run = true;
  // The server had sent several events, so the start of the request did not
  // crash it.
  bool outlived_start = false;
  // The server ran the request to its end.
  bool completed = false;
  // HTTP status of a complete response; zero without one.
  int status = 0;
};

struct ServerAttempt {
  std::string server_id;
  std::string service;
  std::string address;
  // Start of the server, as known when the attempt was sent.
  WallMilliseconds server_start = 0;
  MonotonicTime began{};
  std::string request_id;
  std::string digest;
  // The request is a sample or a reward call.
  bool owed = false;
  // Number of the request's trial that this attempt is; zero for none.
  std::int64_t trial = 0;
};

class RequestQuarantine {
 public:
  RequestQuarantine(GatewayEnvironment& environment,
                    TopicPartition partition,
                    std::vector<std::string> peers);
  ~RequestQuarantine();
  RequestQuarantine(const RequestQuarantine&) = delete;
  RequestQuarantine& operator=(const RequestQuarantine&) = delete;

  void Start();

  void OnAttemptStarted(const ServerAttempt& attempt);
  void OnAttemptEnded(const ServerAttempt& attempt,
                      const AttemptEnd& end,
                      Milliseconds elapsed);
  // The registry has a new entry of the server.
  void OnServerRegistered(const FleetServer& server);

  // How long the request stays refused; zero when it may run, or be tried.
  Milliseconds RefusedFor(std::string_view digest) const;
  // The request is quarantined and no longer refused: it may run once, with the
  // number of a trial that Trials() has claimed.
  bool NeedsTrial(std::string_view digest) const;
  TrialClaims& Trials() { return this->trials; }
  bool IsSuspect(std::string_view digest) const;
  // Number of crashes counted against the request.
  std::size_t CrashesOf(std::string_view digest) const;
  // Another run of the suspect has not ended, or broke off and may have crashed
  // its server. False for any other request.
  bool MustWait(std::string_view digest) const;
  // The same for samples and reward calls, which are never refused.
  std::size_t OwedCrashesOf(std::string_view digest) const;
  // How long the next run waits; zero when it may start.
  Milliseconds OwedDelay(std::string_view digest) const;
  bool OwedMustWait(std::string_view digest) const;
  // ChooseBackend(), with suspects kept apart from each other.
  const FleetServer* Choose(const BackendQuery& query,
                            std::string_view digest) const;

  // Counts a failure of a sample or of its reward call, for all gateways.
  void RecordFailure(const SampleKey& key, SampleFailureKind kind);
  const SampleFailures& Failures() const { return this->failures; }
  // Shared in the same log.
  StreamVersions& Streams() { return this->streams; }
  StreamOrigins& Origins() { return this->origins; }
  // The configuration or the servers may have changed.
  void UpdateStreams() {
    this->origins.Update();
    this->streams.ConfirmStarts();
    this->streams.ShareMixed();
  }

  // Deletes the crashes of digests without a recent one, and old failures of
  // samples, for all gateways.
  void RemoveOldRecords();

  RequestRecordLog& Log() { return this->log; }
  // The records of other gateways were read, or can't be.
  bool Settled() const { return this->log.Settled(); }
  // This gateway has just started and may not know yet which requests are
  // quarantined.
  bool AwaitsRecords() const;
  // All counted crashes, trials and failures, as records for peers.
  std::vector<KeyedRecord> KnownRecords() const;

 private:
  RequestRecordHandlers LogHandlers();
  // Connects to the server. `server_start`: as OnBroken() returned it.
  void Probe(const ServerAttempt& attempt, WallMilliseconds server_start);
  // When the attempt's start of the server last crashed with its request, as
  // reported by any gateway.
  std::optional<WallMilliseconds> ReportedCrashAt(
      const ServerAttempt& attempt) const;
  bool IsStillUp(const ServerAttempt& attempt,
                 const Outcome<HttpResponse>& outcome) const;
  // Counts the requests that broke off in one crash of a server.
  void OnServerCrashed(const std::string& service,
                       const std::vector<CrashReport>& reports);
  void CountCrashes(const std::vector<CrashReport>& reports);
  void OnFinished(const std::string& digest);
  bool IsQuarantined(std::string_view digest) const;
  WallMilliseconds LastCrashOf(std::string_view digest) const;
  void Apply(CrashReport report);
  void LogQuarantined(const CrashReport& report) const;
  void OnOwedFinished(const std::string& digest);
  void Retract(std::string_view digest,
               std::string_view instance,
               WallMilliseconds started);
  // Deletes the crashes of the digests of `counted` without a crash since
  // `oldest`.
  void RemoveOldCrashes(CrashQuarantine& counted, WallMilliseconds oldest);
  void UpdateGauge();
  // Servers on which this gateway runs another suspect of at least that many
  // crashes.
  std::vector<std::string> ServersWithSuspects(std::string_view digest,
                                               std::size_t least_crashes) const;

  GatewayEnvironment& environment;
  ServerCrashDetector detector;
  RequestCrashes crashes;
  SampleFailures failures;
  RequestRecordLog log;
  TrialClaims trials;
  StreamOrigins origins;
  StreamVersions streams;
  MonotonicTime started_at = MonotonicTime::min();
  // Servers of the attempts in flight, by digest.
  std::map<std::string, std::vector<std::string>, std::less<>> in_flight;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
