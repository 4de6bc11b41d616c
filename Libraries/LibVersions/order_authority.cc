// Derives a sidecar's order lease from the records of all sidecars.

#include "LibVersions/order_authority.h"

#include <algorithm>

namespace carobbank {

namespace {

// When the last lease of other sidecars ends, on the log's clock.
WallMilliseconds OthersLeaseEnd(std::span<const OrderHolderRecord> records,
                                std::uint64_t own_incarnation,
                                const LeaseTerms& terms) {
  WallMilliseconds end = 0;
  for (const OrderHolderRecord& record : records) {
    if (record.incarnation != own_incarnation) {
      end = std::max(end, record.time_ms + terms.duration.count());
    }
  }
  return end;
}

}  // namespace

std::optional<OrderAuthority> DeriveAuthority(
    std::span<const OrderHolderRecord> records,
    const OrderHolderRecord& own,
    const AppendTimes& times,
    const LeaseTerms& terms,
    bool engine_checks_fencing) {
  const bool superseded = std::any_of(
      records.begin(), records.end(), [&](const OrderHolderRecord& record) {
        const bool recent =
            record.time_ms + terms.duration.count() > own.time_ms;
        return recent && record.incarnation > own.incarnation;
      });
  if (superseded) {
    return std::nullopt;
  }
  OrderAuthority authority;
  authority.fencing_token = own.offset;
  authority.valid_from = times.answered;
  if (engine_checks_fencing) {
    return authority;
  }
  // The log appended the record before its response arrived. From the response
  // on it is enough to wait for the time that remained of the others' leases on
  // the log's clock.
  const WallMilliseconds others_end =
      OthersLeaseEnd(records, own.incarnation, terms);
  const WallMilliseconds remaining = others_end - own.time_ms;
  authority.valid_from +=
      Milliseconds(std::max<WallMilliseconds>(remaining, 0));
  // Counted from before the append, because the log can't have appended the
  // record earlier.
  authority.valid_until = times.started + terms.duration - terms.margin;
  return authority;
}

}  // namespace carobbank
