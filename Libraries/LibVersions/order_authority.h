// Who may order an engine: fencing numbers from the log's order, and leases for
// engines that ignore them.
//
// Each sidecar process appends a record when it starts and when it renews; the
// offset of its newest record is its fencing number. Among the sidecars of one
// server the one with the highest incarnation number stays, the others issue no
// more orders. An engine that checks fencing numbers refuses them besides. For
// one that doesn't, each record also grants a lease: its holder orders only
// within the lease, and whoever appends next waits until every lease that was
// granted before has run out. Two holders are never live at once, whatever the
// incarnation numbers say; these only decide who goes on.

#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "LibCore/core.h"

namespace carobbank {

// A sidecar's record as read back from the log, for one server.
struct OrderHolderRecord {
  std::uint64_t offset = 0;
  // The log's own time at the append.
  WallMilliseconds time_ms = 0;
  // Of the sidecar process: the wall clock at its start, in milliseconds.
  std::uint64_t incarnation = 0;
};

struct LeaseTerms {
  Milliseconds duration{120'000};
  // Orders stop this long before the end: for pauses between the check and the
  // send, and for clocks that run at different rates.
  Milliseconds margin{5'000};
};

// The right to issue orders, on the monotonic clock of this process.
struct OrderAuthority {
  std::uint64_t fencing_token = 0;
  MonotonicTime valid_from;
  // MonotonicTime::max() for engines that check fencing numbers.
  MonotonicTime valid_until = MonotonicTime::max();

  bool IsValidAt(MonotonicTime now) const {
    return now >= this->valid_from && now < this->valid_until;
  }
};

// When this process asked for its newest record, and when it knew of it.
struct AppendTimes {
  MonotonicTime started;
  MonotonicTime answered;
};

// `records`: every record of this server in the log from one lease before
// `own` up to it, in offset order. Nothing when a sidecar with a higher
// incarnation number appended within that lease.
std::optional<OrderAuthority> DeriveAuthority(
    std::span<const OrderHolderRecord> records,
    const OrderHolderRecord& own,
    const AppendTimes& times,
    const LeaseTerms& terms,
    bool engine_checks_fencing);

}  // namespace carobbank
