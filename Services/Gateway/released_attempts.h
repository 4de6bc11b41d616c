// Attempts of samples and reward calls that this instance no longer runs,
// because their partition has another owner or their job has ended. Their
// crashes and failures still count for all gateways, so an attempt ends only
// with its response, or when its stream begins.

#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string_view>

#include "backend_call.h"
#include "gateway_environment.h"
#include "sample_failures.h"
#include "sample_stream.h"

namespace carobbank {

// The failure that the end of a sample's attempt shows, if any.
std::optional<SampleFailureKind> FailureOf(SampleStreamOutcome outcome);
// The failure that the end of a reward call shows, if any.
std::optional<SampleFailureKind> FailureOf(const BackendCallResult& result);

class ReleasedAttempts {
 public:
  explicit ReleasedAttempts(GatewayEnvironment& environment)
      : environment(environment) {}
  ~ReleasedAttempts();
  ReleasedAttempts(const ReleasedAttempts&) = delete;
  ReleasedAttempts& operator=(const ReleasedAttempts&) = delete;

  // A stream that has begun is cancelled.
  void Add(const SampleKey& sample, std::unique_ptr<SampleStream> stream);
  void Add(const SampleKey& sample, std::unique_ptr<BackendCall> reward);
  // Ends the streams that have not begun within `limit` as broken.
  void AbortUnresponsive(Milliseconds limit);

 private:
  struct Attempt {
    std::unique_ptr<SampleStream> stream;
    std::unique_ptr<BackendCall> reward;
  };
  using AttemptList = std::list<Attempt>;

  // Called by the attempt, which is destroyed after it has returned.
  void OnEnd(AttemptList::iterator attempt,
             const SampleKey& sample,
             std::optional<SampleFailureKind> failure,
             std::string_view reason);

  GatewayEnvironment& environment;
  AttemptList attempts;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
