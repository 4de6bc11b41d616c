// Pages of a step's results.

#include "LibLedger/delivery_reader.h"

#include <algorithm>

namespace carobbank {

namespace {

boost::leaf::error_id StepExpired() {
  return Fail(ErrorKind::kExpired, "the step of this cursor has expired",
              "submit the step again under a new request_id");
}

RolloutFoldOptions ReaderOptions(const Cursor& cursor,
                                 Milliseconds step_lifetime) {
  RolloutFoldOptions options;
  options.service = cursor.service;
  options.step_lifetime = step_lifetime;
  options.only_step = StepId{cursor.request_id, cursor.accepted_at};
  return options;
}

}  // namespace

Result<DeliveryPage> ReadDelivery(const RolloutFold& fold,
                                  const Cursor& cursor,
                                  std::size_t max_results) {
  if (cursor.service != fold.Service()) {
    return Fail(ErrorKind::kInvalidArgument,
                "the cursor belongs to another service",
                "poll the service that accepted the step");
  }
  const StepState* step = fold.Find(cursor.request_id);
  if (step == nullptr || step->accepted_at < cursor.accepted_at) {
    return Fail(ErrorKind::kNotFound,
                "this entry instance has not read the step from the log yet",
                "poll again with the same cursor");
  }
  if (step->accepted_at > cursor.accepted_at) {
    return StepExpired();
  }
  if (cursor.next > step->accept.ExpectedSamples()) {
    return Fail(ErrorKind::kInvalidArgument,
                "the cursor points past the step's samples",
                "send the cursor exactly as the last response returned it");
  }
  DeliveryPage page;
  page.next = fold.FirstCursor(*step);
  // A fold that lags behind the one that issued the cursor has no new results
  // yet.
  page.next.next = cursor.next;
  while (page.next.next < step->results.size() &&
         page.results.size() < max_results) {
    page.results.push_back(&step->results[page.next.next]);
    ++page.next.next;
  }
  page.done = step->Complete() && page.next.next >= step->results.size();
  page.end_reason = step->end_reason;
  return page;
}

DeliveryReader::DeliveryReader(Cursor cursor, Milliseconds step_lifetime)
    : cursor(std::move(cursor)),
      step_lifetime(step_lifetime),
      fold(ReaderOptions(this->cursor, step_lifetime),
           this->cursor.start_offset) {}

bool DeliveryReader::Apply(const StreamRecord& record) {
  return this->fold.Apply(record);
}

void DeliveryReader::Restart(std::uint64_t first_retained) {
  const std::uint64_t start =
      std::max(first_retained, this->cursor.start_offset);
  this->fold =
      RolloutFold(ReaderOptions(this->cursor, this->step_lifetime), start);
}

Result<DeliveryPage> DeliveryReader::Read(std::uint64_t stream_end,
                                          std::size_t max_results) const {
  const bool unknown = this->fold.Find(this->cursor.request_id) == nullptr;
  if (unknown && this->fold.NextOffset() >= stream_end) {
    return StepExpired();
  }
  return ReadDelivery(this->fold, this->cursor, max_results);
}

}  // namespace carobbank
