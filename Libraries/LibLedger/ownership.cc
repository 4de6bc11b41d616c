// Demand-driven ownership of steps.

#include "LibLedger/ownership.h"

namespace carobbank {

OwnershipDecision DecideOwnership(const StepState& step,
                                  std::string_view self,
                                  OwnerStatus evidence) {
  OwnershipDecision view;
  view.owner = step.owner.owner;
  if (step.Complete()) {
    return view;
  }
  if (step.owner.term > 0 && step.owner.owner == self) {
    view.action = OwnershipAction::kWork;
    return view;
  }
  if (step.owner.term > 0 && evidence == OwnerStatus::kWorking) {
    view.action = OwnershipAction::kDeferToOwner;
    return view;
  }
  if (step.owner.term > 0 && evidence == OwnerStatus::kUnknown) {
    view.action = OwnershipAction::kAskOwner;
    return view;
  }
  view.action = OwnershipAction::kTakeOver;
  view.take = StepTakeoverEntry{step.accept.request_id, step.accepted_at,
                                std::string(self), step.owner.term + 1};
  return view;
}

}  // namespace carobbank
