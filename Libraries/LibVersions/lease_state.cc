// Who holds the lease, and for how long.

#include "LibVersions/lease_state.h"

namespace carobbank {

namespace {

// Fractions of the lease duration after which the holder renews the lease, and
// after which it acts no more without a renewal: the rest of the lease covers
// calls in flight.
constexpr int kRenewalPercent = 33;
constexpr int kUsablePercent = 80;
// Placeholder for a lease holder whose record has not been read.
constexpr std::string_view kUnknownHolder = "?";

}  // namespace

bool LeaseState::OnRecord(std::string_view record_holder,
                          std::uint64_t offset,
                          MonotonicTime now) {
  this->renewed_at = now;
  if (this->holder == record_holder) {
    return false;
  }
  this->holder = record_holder;
  this->start_offset = offset;
  this->held_since = now;
  this->confirmed_at.reset();
  return true;
}

void LeaseState::OnAppended(MonotonicTime began) {
  if (this->IsHolder()) {
    this->renewed_at = began;
    this->confirmed_at = began;
  }
}

void LeaseState::OnFenced(std::uint64_t token, MonotonicTime now) {
  if (this->FencingToken() != token) {
    return;
  }
  this->holder = std::string(kUnknownHolder);
  this->renewed_at = now;
  this->confirmed_at.reset();
}

Milliseconds LeaseState::UsableTime() const {
  return this->duration * kUsablePercent / 100;
}

bool LeaseState::Usable(MonotonicTime now) const {
  return this->IsHolder() && now - this->renewed_at < this->UsableTime();
}

bool LeaseState::InUse(MonotonicTime now) const {
  return !this->holder.empty() && now - this->renewed_at < this->duration;
}

bool LeaseState::AppendDue(bool elected, MonotonicTime now) const {
  const bool renewal_due =
      this->IsHolder() &&
      now - this->renewed_at >= this->duration * kRenewalPercent / 100;
  return renewal_due || (elected && !this->InUse(now));
}

std::optional<MonotonicTime> LeaseState::ConfirmedUntil() const {
  if (!this->IsHolder() || !this->confirmed_at) {
    return std::nullopt;
  }
  return *this->confirmed_at + this->UsableTime();
}

}  // namespace carobbank
