// Reads the results of one step from a cursor on. The same cursor returns the
// same results through any entry instance as long as the log retains them.

#pragma once

#include <cstddef>
#include <vector>

#include "LibLedger/cursor.h"
#include "LibLedger/rollout_fold.h"

namespace carobbank {

// The response to one poll of a trainer.
struct DeliveryPage {
  // Pointers into the fold; valid until its next Apply.
  std::vector<const SampleResult*> results;
  Cursor next;
  // All results of the step lie before `next`.
  bool done = false;
  // Why the step was closed; empty while it is open.
  std::string end_reason;
};

// The page of results at `cursor`. Errors: kNotFound when the fold has not read
// the step (yet), kExpired when the request id now belongs to a later step,
// kInvalidArgument when the cursor points past the step's samples or belongs
// to another service.
Result<DeliveryPage> ReadDelivery(const RolloutFold& fold,
                                  const Cursor& cursor,
                                  std::size_t max_results);

// Folds a single step, for an entry instance that doesn't follow the service's
// stream. The caller applies records from `NextOffset()` on, and calls Restart
// when the log has trimmed that offset: the reader then rebuilds the step from
// a later snapshot.
class DeliveryReader {
 public:
  DeliveryReader(Cursor cursor, Milliseconds step_lifetime);

  std::uint64_t NextOffset() const { return this->fold.NextOffset(); }
  // As RolloutFold::Apply.
  bool Apply(const StreamRecord& record);
  // Starts over at the oldest retained record.
  void Restart(std::uint64_t first_retained);

  // As ReadDelivery. `stream_end` is the stream's end offset: when all records
  // before it are folded and the step is still unknown, the error is kExpired.
  Result<DeliveryPage> Read(std::uint64_t stream_end,
                            std::size_t max_results) const;

 private:
  Cursor cursor;
  Milliseconds step_lifetime;
  RolloutFold fold;
};

}  // namespace carobbank
