// A token bucket that may go into debt: work is charged after it ran, and the
// next one waits until the debt is paid.

#pragma once

#include "LibCore/core.h"

namespace carobbank {

class TokenBucket {
 public:
  // `tokens_per_second` 0 means no limit. The bucket holds one second's worth.
  void SetRate(double tokens_per_second, MonotonicTime now);
  void Charge(double tokens, MonotonicTime now);
  // The earliest time at which the balance is positive; `now` if it is.
  MonotonicTime ReadyAt(MonotonicTime now) const;

 private:
  void Refill(MonotonicTime now);

  double rate = 0.0;
  // Invariant: at most `rate`; negative while in debt.
  double balance = 0.0;
  MonotonicTime refilled;
};

}  // namespace carobbank
