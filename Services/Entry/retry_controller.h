// Whether, and when, a failed attempt may be followed by another.

#pragma once

#include <optional>
#include <string_view>

#include "server_selector.h"

namespace carobbank {

struct RetryContext {
  std::string_view service;
  RouteClass service_class = RouteClass::kLive;
  // Attempts that have failed so far, at least 1.
  std::uint32_t failures = 1;
  // Certain that the failed attempt had no effect, or repeating is harmless.
  bool repeatable = false;
  // What the refusal asked for, if it did.
  std::optional<Milliseconds> retry_after;
  Milliseconds remaining{0};
};

class RetryController {
 public:
  virtual ~RetryController() = default;
  // A first attempt of `service` begins: it earns retry budget.
  virtual void OnFirstAttempt(std::string_view service) = 0;
  // The pause before the next attempt; nothing when there may be none.
  virtual std::optional<Milliseconds> RetryDelay(
      const RetryContext& context) = 0;
};

}  // namespace carobbank
