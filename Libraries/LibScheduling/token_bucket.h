// A token bucket with a balance that may be negative: work is charged after it
// ran, and the next work item waits until the debt is repaid.

#pragma once

#include "LibCore/core.h"

namespace carobbank {

class TokenBucket {
 public:
  // `tokens_per_second` 0 means no limit. The bucket holds one second's worth.
  void SetRate(double tokens_per_second, MonotonicTime now);
  void Charge(double tokens, MonotonicTime now);
  // The earliest time at which the balance is positive; `now` if it is already.
  MonotonicTime ReadyAt(MonotonicTime now) const;

 private:
  void Refill(MonotonicTime now);

  double rate = 0.0;
  // Invariant: at most `rate`; negative while in debt.
  double balance = 0.0;
  MonotonicTime last_refill;
};

}  // namespace carobbank
