// Demand-driven ownership of steps.

#include "LibLedger/ownership.h"

namespace carobbank {

OwnershipView ViewOwnership(const StepState& step,
                            std::string_view self,
                            OwnerEvidence evidence) {
  OwnershipView view;
  view.owner = step.owner.owner;
  if (step.Complete()) {
    return view;
  }
  if (step.owner.term > 0 && step.owner.owner == self) {
    view.action = OwnershipAction::kWork;
    return view;
  }
  if (step.owner.term > 0 && evidence == OwnerEvidence::kAnswers) {
    view.action = OwnershipAction::kLeave;
    return view;
  }
  if (step.owner.term > 0 && evidence == OwnerEvidence::kUnknown) {
    view.action = OwnershipAction::kAskOwner;
    return view;
  }
  view.action = OwnershipAction::kTake;
  view.take = TakeEntry{step.accept.request_id, step.accepted_at,
                        std::string(self), step.owner.term + 1};
  return view;
}

}  // namespace carobbank
