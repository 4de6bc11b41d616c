// Fakes of the interfaces that calls use: server selection and retries.

#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Services/Entry/generation.h"
#include "Support/fake_http.h"
#include "Support/fake_log.h"
#include "Support/loop_runner.h"
#include "Support/manual_clock.h"

namespace carobbank {

// Returns the servers s1, s2, ... in turn and records the outcomes of attempts.
class FakeSelector final : public ServerSelector {
 public:
  std::vector<AttemptOutcome> outcomes;
  std::vector<SelectionRequest> requests;
  std::size_t crashes = 0;
  int open = 0;

  std::variant<AttemptTarget, Problem> Choose(
      const SelectionRequest& request) override {
    this->requests.push_back(request);
    const std::string number = std::to_string(this->requests.size());
    return AttemptTarget{"s" + number, "127.0.0.1:" + number};
  }
  void OnStarted(std::string_view, std::string_view) override { ++this->open; }
  void OnEnded(std::string_view,
               std::string_view,
               AttemptOutcome outcome) override {
    --this->open;
    this->outcomes.push_back(outcome);
  }
  void OnLoad(std::string_view, const LoadHint&) override {}
  void OnVersion(std::string_view, std::uint64_t) override {}
  void OnCrash(std::string_view, std::string_view, bool) override {
    ++this->crashes;
  }
  void OnFinished(std::string_view) override {}
  std::size_t CrashCount(std::string_view) const override {
    return this->crashes;
  }
};

// Allows `allowed` retries without delay.
class FakeRetryController final : public RetryController {
 public:
  std::uint32_t allowed = 5;

  void OnFirstAttempt(std::string_view) override {}
  std::optional<Milliseconds> RetryDelay(const RetryContext&) override {
    if (this->allowed == 0) {
      return std::nullopt;
    }
    --this->allowed;
    return Milliseconds(0);
  }
};

}  // namespace carobbank
