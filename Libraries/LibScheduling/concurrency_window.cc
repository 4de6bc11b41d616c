// Additive increase, multiplicative decrease of a sender's concurrency.

#include "LibScheduling/concurrency_window.h"

#include <algorithm>

namespace carobbank {

namespace {

constexpr double kRefusalFactor = 0.7;
constexpr double kSlowResponseFactor = 0.8;
// Growth within one response time. A smaller one leaves senders with unequal
// limits for seconds.
constexpr double kIncrease = 1.0;
// Mean response time, relative to the uncongested one, that counts as
// congestion. Servers slow down by up to 1.6 times when nearly full; the rest
// is a short queue at the servers, which keeps all slots in use.
constexpr double kCongestedTime = 2.3;
// Weight of the newest response time: single ones are up to five times the
// mean without any congestion.
constexpr double kResponseTimeWeight = 0.05;
constexpr double kTimeAfterDecrease = 0.8;
// Without congestion for this long, the load has ended or servers were added:
// the limit then doubles within one response time.
constexpr Milliseconds kCalmTime{500};
constexpr Milliseconds kRestrictionTime{3'000};

}  // namespace

void ConcurrencyWindow::SetMaximum(double requests) {
  this->maximum = std::max(requests, 1.0);
}

double ConcurrencyWindow::Limit() const {
  return this->restricted ? std::min(this->limit, this->maximum)
                          : this->maximum;
}

void ConcurrencyWindow::EndRestriction(MonotonicTime now) {
  if (this->CalmFor(kRestrictionTime, now)) {
    this->restricted = false;
  }
}

void ConcurrencyWindow::OnRefused(MonotonicTime began,
                                  std::uint32_t in_flight,
                                  MonotonicTime now) {
  if (began >= this->last_decrease) {
    this->Decrease(kRefusalFactor, in_flight, now);
  }
}

void ConcurrencyWindow::OnAnswered(double relative_time,
                                   MonotonicTime began,
                                   std::uint32_t in_flight,
                                   MonotonicTime now) {
  if (began < this->last_decrease) {
    return;
  }
  this->mean_relative_time +=
      kResponseTimeWeight * (relative_time - this->mean_relative_time);
  if (this->mean_relative_time > kCongestedTime) {
    this->Decrease(kSlowResponseFactor, in_flight, now);
    return;
  }
  // A limit that is not in use stays: nothing shows that more would be served.
  if (this->restricted && static_cast<double>(in_flight) + 1 > this->Limit()) {
    this->Increase(now);
  }
}

void ConcurrencyWindow::Decrease(double factor,
                                 std::uint32_t in_flight,
                                 MonotonicTime now) {
  // A limit far above what is in flight did not cause the congestion; the
  // decrease starts from what did.
  const double in_use = std::min(this->Limit(), static_cast<double>(in_flight));
  this->limit = std::max(in_use * factor, 1.0);
  this->restricted = true;
  this->last_decrease = now;
  // What is in flight was sent before the decrease; the mean has to show again
  // that the lower limit is too high.
  this->mean_relative_time =
      std::min(this->mean_relative_time, kCongestedTime * kTimeAfterDecrease);
}

void ConcurrencyWindow::Increase(MonotonicTime now) {
  const double step =
      this->CalmFor(kCalmTime, now) ? 1.0 : kIncrease / this->limit;
  this->limit += step;
  if (this->limit >= this->maximum) {
    this->restricted = false;
  }
}

}  // namespace carobbank
