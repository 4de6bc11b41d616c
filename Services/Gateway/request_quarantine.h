// Refuses requests that crash backend servers: attributes broken attempts to
// crashes of their servers, shares the crashes with the other gateways, and
// keeps suspects apart, so that sound requests beside them are not quarantined.
// Also counts, over all gateways, the failures of samples that fail at each
// run.

#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_environment.h"
#include "request_record_log.h"

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
  std::string request_id;
  std::string digest;
};

class RequestQuarantine {
 public:
  // Gateways end a refusal up to this much later than it could end, each at
  // another time, so that one of them learns first whether the request still
  // crashes servers.
  static constexpr Milliseconds kLongestRefusalDelay{1'000};

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

  // How long the request stays refused; zero when it may run.
  Milliseconds RefusedFor(std::string_view digest) const;
  bool IsSuspect(std::string_view digest) const;
  // Number of crashes counted against the request.
  std::size_t CrashesOf(std::string_view digest) const;
  // Another run of the suspect has not ended, or broke off and may have crashed
  // its server. False for any other request.
  bool MustWait(std::string_view digest) const;
  // ChooseBackend(), with suspects kept apart from each other.
  const FleetServer* Choose(const BackendQuery& query,
                            std::string_view digest) const;

  // Counts a refusal, which the caller sends.
  void CountRefusal(std::string_view service, bool may_have_run);

  // Counts a failure of a sample or of its reward call, for all gateways.
  void RecordFailure(const SampleKey& key, SampleFailureKind kind);
  const SampleFailures& Failures() const { return this->failures; }

  // Deletes the crashes of digests without a recent one, and old failures of
  // samples, for all gateways.
  void RemoveOldRecords();

  RequestRecordLog& Log() { return this->log; }
  // The records of other gateways were read, or can't be.
  bool Settled() const { return this->log.Settled(); }
  // All counted crashes and failures, as records for peers.
  std::vector<KeyedRecord> KnownRecords() const;

 private:
  RequestRecordHandlers LogHandlers();
  void Probe(const ServerAttempt& attempt);
  bool IsStillUp(const ServerAttempt& attempt,
                 const Outcome<HttpResponse>& outcome) const;
  // Counts the requests that broke off in one crash of a server.
  void OnServerCrashed(const std::string& service,
                       const std::vector<CrashReport>& crashes);
  void CountCrashes(const std::vector<CrashReport>& reports);
  void OnFinished(const std::string& digest);
  void Apply(const CrashReport& report);
  void UpdateGauge();
  void RemoveOldCrashes();
  // Servers on which this gateway runs another suspect of at least that many
  // crashes.
  std::vector<std::string> ServersWithSuspects(std::string_view digest,
                                               std::size_t crashes) const;

  GatewayEnvironment& environment;
  ServerCrashDetector detector;
  CrashQuarantine quarantine;
  SampleFailures failures;
  // Time by which this gateway ends refusals later than it could.
  Milliseconds refusal_delay;
  RequestRecordLog log;
  // Servers of the attempts in flight, by digest.
  std::map<std::string, std::vector<std::string>, std::less<>> in_flight;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
