// One instance's view of a lease that is kept as one key in the log: every
// record names a holder and grants the lease for its duration. The offset of
// the first record in a holder's unbroken sequence gives the fencing token.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "LibCore/core.h"

namespace carobbank {

// Times are of Clock::BootNow().
class LeaseState {
 public:
  LeaseState(std::string instance, Milliseconds duration)
      : instance(std::move(instance)), duration(duration) {}

  // Applies a record that was read at `now`. Records come in order of offset.
  // Returns true when it names another holder than the records before it.
  bool OnRecord(std::string_view record_holder,
                std::uint64_t offset,
                MonotonicTime now);
  // An append of this instance took effect; its record was applied before.
  void OnAppended(MonotonicTime began);
  // A server has seen a higher token than `token`: the lease is treated as that
  // of an unknown holder until it can be acquired again. Ignored when the
  // current token is another one.
  void OnFenced(std::uint64_t token, MonotonicTime now);

  bool IsHolder() const { return this->holder == this->instance; }
  // This instance may send orders: it holds the lease, and the rest of it
  // covers orders in flight.
  bool Usable(MonotonicTime now) const;
  // The newest lease, of this or another instance, may not have expired yet.
  bool InUse(MonotonicTime now) const;
  // An own record should be appended, to renew the lease or to acquire it.
  bool AppendDue(bool elected, MonotonicTime now) const;

  // Until when this instance may act on the lease where nothing but the lease
  // keeps two holders apart: counted from an append whose answer this process
  // received, and not from the time at which its record was read, which a pause
  // of the process can delay. Empty when this instance does not hold the lease
  // or has received no answer since it acquired it.
  std::optional<MonotonicTime> ConfirmedUntil() const;
  // When the first record of the current holder was read.
  MonotonicTime HeldSince() const { return this->held_since; }

  const std::string& Holder() const { return this->holder; }
  // Fencing tokens begin at 1, offsets at 0.
  std::uint64_t FencingToken() const { return this->start_offset + 1; }
  Milliseconds Duration() const { return this->duration; }

 private:
  Milliseconds UsableTime() const;

  std::string instance;
  Milliseconds duration;
  // Holder of the newest lease in the log; empty when there is none.
  std::string holder;
  // Offset of the first record in the holder's unbroken sequence of records.
  std::uint64_t start_offset = 0;
  // When the newest record was read, or for an own record when its append
  // began.
  MonotonicTime renewed_at = MonotonicTime::min();
  // When this instance's newest answered append in the current sequence began.
  std::optional<MonotonicTime> confirmed_at;
  MonotonicTime held_since = MonotonicTime::min();
};

}  // namespace carobbank
