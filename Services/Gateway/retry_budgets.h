// Retry budgets of the gateway, one for each service, so that repeats stay a
// bounded fraction of the calls while a whole service fails or refuses.

#pragma once

#include <map>
#include <string>

#include "LibRouting/routing.h"
#include "LibTimeline/timeline.h"

namespace carobbank {

class RetryBudgets {
 public:
  RetryBudgets(MetricRegistry& metrics, Random& random)
      : metrics(metrics), random(random) {}

  void OnFirstAttempt(const std::string& service);
  // Whether a further attempt, or a further round over servers that refused,
  // may begin; it is then counted. `remaining`: until the call's deadline.
  bool TryRepeat(const std::string& service, Milliseconds remaining);

 private:
  RetryPolicy& PolicyOf(const std::string& service);

  MetricRegistry& metrics;
  Random& random;
  std::map<std::string, RetryPolicy> policies;
};

}  // namespace carobbank
