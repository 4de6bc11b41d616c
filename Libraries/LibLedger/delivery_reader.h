// Reads the samples of one step from a cursor on. The same cursor gives the
// same samples through any entry instance as long as the log keeps them.

#pragma once

#include <cstddef>
#include <vector>

#include "LibLedger/cursor.h"
#include "LibLedger/rollout_fold.h"

namespace carobbank {

// What one poll of a trainer is answered with.
struct DeliveryPage {
  // Points into the fold; valid until its next Apply.
  std::vector<const SampleResult*> results;
  Cursor next;
  // All results of the step lie before `next`.
  bool done = false;
  // Why the step was closed, when it was.
  std::string end_reason;
};

// The page at `cursor` from a fold that knows the step. Errors: kNotFound when
// the fold has not met the step (yet), kExpired when the request id now names
// a later step, kInvalidArgument when the cursor points past the results or
// belongs to another service.
Result<DeliveryPage> ReadDelivery(const RolloutFold& fold,
                                  const Cursor& cursor,
                                  std::size_t max_results);

// A fold of one step alone, for an entry instance that doesn't follow the
// service's stream. Feed it records from `NextOffset()` on. When the log has
// trimmed that offset, call Restart: a copy carried forward still serves.
class DeliveryReader {
 public:
  DeliveryReader(Cursor cursor, Milliseconds step_lifetime);

  std::uint64_t NextOffset() const { return this->fold.NextOffset(); }
  // As RolloutFold::Apply.
  bool Apply(const StreamRecord& record);
  // Starts again at the oldest kept record.
  void Restart(std::uint64_t first_retained);

  // As ReadDelivery. `stream_end` is the log's end: once everything before it
  // is folded and the step is still unknown, the error is kExpired.
  Result<DeliveryPage> Read(std::uint64_t stream_end,
                            std::size_t max_results) const;

 private:
  Cursor cursor;
  Milliseconds step_lifetime;
  RolloutFold fold;
};

}  // namespace carobbank
