// Decides whether and when a failed attempt is retried.

#pragma once

#include <optional>
#include <string_view>

#include "server_selector.h"

namespace carobbank {

struct RetryContext {
  std::string_view service;
  RouteClass service_class = RouteClass::kLive;
  // Number of failed attempts so far, at least 1.
  std::uint32_t failures = 1;
  // The failed attempt certainly had no effect, or a second execution is
  // harmless.
  bool repeatable = false;
  // The delay that the refusal requested, if any.
  std::optional<Milliseconds> retry_after;
  Milliseconds remaining{0};
};

class RetryController {
 public:
  virtual ~RetryController() = default;
  // A first attempt of `service` begins, which adds to the retry budget.
  virtual void OnFirstAttempt(std::string_view service) = 0;
  // The delay before the next attempt; nothing when no retry is allowed.
  virtual std::optional<Milliseconds> RetryDelay(
      const RetryContext& context) = 0;
};

}  // namespace carobbank
