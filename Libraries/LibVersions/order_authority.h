// Which sidecar may send orders to an engine: fencing tokens from the log's
// offsets, and leases for engines that ignore fencing tokens.
//
// Each sidecar process appends a record when it starts and when it renews; the
// offset of its newest record is its fencing token. Among the sidecars of one
// server the one with the highest incarnation number stays active, and the
// others issue no more orders. An engine that checks fencing tokens also
// refuses orders with an older token. For an engine that doesn't, each record
// also grants an order lease: the lease holder sends orders only within the
// lease, and the next sidecar that appends waits until every earlier lease has
// expired. Two leases are never valid at once, whatever the incarnation numbers
// are; these only decide which sidecar continues.

#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "LibCore/core.h"

namespace carobbank {

// A sidecar's record for one server, as read from the log.
struct OrderHolderRecord {
  std::uint64_t offset = 0;
  // The log's timestamp of the append.
  WallMilliseconds time_ms = 0;
  // Incarnation of the sidecar process: the wall clock at its start, in
  // milliseconds.
  std::uint64_t incarnation = 0;
};

struct LeaseTerms {
  Milliseconds duration{120'000};
  // The lease holder stops sending orders this long before the lease ends, to
  // allow for pauses between the check and the send and for clock drift.
  Milliseconds margin{5'000};
};

// A sidecar's order lease, on the monotonic clock of this process.
struct OrderAuthority {
  std::uint64_t fencing_token = 0;
  MonotonicTime valid_from;
  // MonotonicTime::max() for engines that check fencing tokens.
  MonotonicTime valid_until = MonotonicTime::max();

  bool IsValidAt(MonotonicTime now) const {
    return now >= this->valid_from && now < this->valid_until;
  }
};

// When this process started to append its newest record, and when the log's
// response arrived.
struct AppendTimes {
  MonotonicTime started;
  MonotonicTime answered;
};

// `records`: every record of this server in the log from one lease duration
// before `own` up to `own`, in offset order. Nothing when a sidecar with a
// higher incarnation number appended within that duration.
std::optional<OrderAuthority> DeriveAuthority(
    std::span<const OrderHolderRecord> records,
    const OrderHolderRecord& own,
    const AppendTimes& times,
    const LeaseTerms& terms,
    bool engine_checks_fencing);

}  // namespace carobbank
