// Simulates a plain service. It does no deduplication: each request that
// reaches it is executed, so that its record counts the actual executions.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "StandIns/stand_in.h"

namespace carobbank {

struct PlainServiceSettings {
  // Name of the header with the caller's idempotency key.
  std::string key_header = "Idempotency-Key";
  // Duration of an execution.
  std::int64_t work_ms = 0;
  // The next N requests are executed and get status 500.
  std::int64_t fail_requests = 0;
  // The next N requests are executed, but their connection is aborted.
  std::int64_t lose_answers = 0;
  // The connections of the next N requests are aborted before execution.
  std::int64_t lose_requests = 0;
  // The next N requests get status 503 and aren't executed.
  std::int64_t refuse_requests = 0;
  // A request whose target or body contains this text is executed and crashes
  // the service. Empty means none.
  std::string crash_marker;
};

class PlainServiceStandIn final : public StandIn {
 public:
  using StandIn::StandIn;

 protected:
  void Handle(const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder) override;
  Result<void> ApplyControlMember(const std::string& name,
                                  const Json::Value& value) override;
  void WriteControlState(Json::Value& state) const override;
  // {"executions": [{"key", "attempt", "method", "target", "body_digest",
  // "time_ms", "ended"}], "by_key": {key: N}, "by_attempt": {attempt: N}}
  Json::Value Record() const override;
  void OnDown() override;

 private:
  struct Execution {
    std::string key;
    std::string attempt;
    std::string method;
    std::string target;
    std::string body_digest;
    WallMilliseconds time_ms = 0;
    // "running", "answered", "failed", "lost" or "crashed".
    std::string state = "running";
  };

  std::size_t StartExecution(const HttpRequest& request);
  void FinishExecution(std::size_t execution, HttpResponder& responder);
  bool ContainsCrashMarker(const HttpRequest& request) const;

  PlainServiceSettings settings;
  std::vector<Execution> executions;
  // Index of the first execution of the current incarnation.
  std::size_t first_of_incarnation = 0;
};

}  // namespace carobbank
