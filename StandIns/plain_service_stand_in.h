// Stands in for a plain service. It keeps no promise of its own: each request
// that reaches it runs, so that its record tells how often work truly ran.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "StandIns/stand_in.h"

namespace carobbank {

struct PlainServiceSettings {
  // The header that carries a caller's idempotency key.
  std::string key_header = "Idempotency-Key";
  // How long one execution takes.
  std::int64_t work_ms = 0;
  // The next requests run and are answered with status 500.
  std::int64_t fail_requests = 0;
  // The next requests run and their connection is cut.
  std::int64_t lose_answers = 0;
  // The next requests are cut before they run.
  std::int64_t lose_requests = 0;
  // The next requests are answered with 503 and don't run.
  std::int64_t refuse_requests = 0;
  // A request whose target or body holds this text runs and crashes the
  // service. Empty means none.
  std::string crash_marker;
};

class PlainServiceStandIn final : public StandIn {
 public:
  using StandIn::StandIn;

 protected:
  void Handle(const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder) override;
  Result<void> ControlMember(const std::string& name,
                             const Json::Value& value) override;
  void ShowControl(Json::Value& shown) const override;
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
    std::string ended = "running";
  };

  std::size_t Execute(const HttpRequest& request);
  void End(std::size_t execution, HttpResponder& responder);
  bool HoldsCrashMarker(const HttpRequest& request) const;

  PlainServiceSettings settings;
  std::vector<Execution> executions;
  // Executions before this one belong to an earlier incarnation.
  std::size_t first_of_incarnation = 0;
};

}  // namespace carobbank
