// On-demand ownership of steps.

#include "LibLedger/ownership.h"

namespace carobbank {

OwnershipDecision DecideOwnership(const StepState& step,
                                  std::string_view self,
                                  OwnerStatus owner_status) {
  OwnershipDecision decision;
  decision.owner = step.owner.owner;
  if (step.Complete()) {
    return decision;
  }
  if (step.owner.term > 0 && step.owner.owner == self) {
    decision.action = OwnershipAction::kWork;
    return decision;
  }
  if (step.owner.term > 0 && owner_status == OwnerStatus::kWorking) {
    decision.action = OwnershipAction::kDeferToOwner;
    return decision;
  }
  if (step.owner.term > 0 && owner_status == OwnerStatus::kUnknown) {
    decision.action = OwnershipAction::kAskOwner;
    return decision;
  }
  decision.action = OwnershipAction::kTakeOver;
  decision.take_over =
      StepTakeoverEntry{step.accept.request_id, step.accepted_at,
                        std::string(self), step.owner.term + 1};
  return decision;
}

}  // namespace carobbank
