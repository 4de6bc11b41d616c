// Refill by elapsed time, and the time at which a debt is repaid.

#include "LibScheduling/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace carobbank {

namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

void TokenBucket::SetRate(double tokens_per_second, MonotonicTime now) {
  if (this->rate == tokens_per_second) {
    return;
  }
  const bool was_unlimited = this->rate == 0.0;
  this->Refill(now);
  this->rate = tokens_per_second;
  this->balance =
      was_unlimited ? this->rate : std::min(this->balance, this->rate);
  this->last_refill = now;
}

void TokenBucket::Charge(double tokens, MonotonicTime now) {
  if (this->rate == 0.0) {
    return;
  }
  this->Refill(now);
  this->balance -= tokens;
}

MonotonicTime TokenBucket::ReadyAt(MonotonicTime now) const {
  if (this->rate == 0.0) {
    return now;
  }
  const Seconds elapsed = now - this->last_refill;
  const double current_balance = this->balance + elapsed.count() * this->rate;
  if (current_balance > 0.0) {
    return now;
  }
  // One token more than the debt, so that the balance is positive after the
  // wait.
  const Seconds wait((1.0 - current_balance) / this->rate);
  return now + std::chrono::duration_cast<MonotonicTime::duration>(wait);
}

void TokenBucket::Refill(MonotonicTime now) {
  const Seconds elapsed = now - this->last_refill;
  this->balance =
      std::min(this->rate, this->balance + elapsed.count() * this->rate);
  this->last_refill = now;
}

}  // namespace carobbank
