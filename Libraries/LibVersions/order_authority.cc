// Deriving the authority from the records of all holders.

#include "LibVersions/order_authority.h"

#include <algorithm>

namespace carobbank {

namespace {

// When the last lease of other holders ends, on the log's clock.
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
  const bool yields = std::any_of(
      records.begin(), records.end(), [&](const OrderHolderRecord& record) {
        const bool recent =
            record.time_ms + terms.duration.count() > own.time_ms;
        return recent && record.incarnation > own.incarnation;
      });
  if (yields) {
    return std::nullopt;
  }
  OrderAuthority authority;
  authority.fencing_token = own.offset;
  authority.valid_from = times.answered;
  if (engine_checks_fencing) {
    return authority;
  }
  // Our answer came after the log took the record, so that waiting from it on
  // for what was left of the others' leases on the log's clock is enough.
  const WallMilliseconds others_end =
      OthersLeaseEnd(records, own.incarnation, terms);
  const WallMilliseconds left = others_end - own.time_ms;
  authority.valid_from += Milliseconds(std::max<WallMilliseconds>(left, 0));
  // Counted from before the append: the log took the record no earlier.
  authority.valid_until = times.started + terms.duration - terms.margin;
  return authority;
}

}  // namespace carobbank
