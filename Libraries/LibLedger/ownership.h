// Decides which entry instance works on a step. An instance takes over a step
// on demand: when the trainer polls the instance and the owner does not work on
// the step. Two concurrent owners only waste work, because the first result by
// log position counts.

#pragma once

#include <optional>
#include <string_view>

#include "LibLedger/rollout_fold.h"

namespace carobbank {

// The owner's state as last read by the deciding entry instance.
enum class OwnerStatus { kUnknown, kWorking, kNotWorking, kLeaving };

enum class OwnershipAction {
  // Nothing to do: the step is complete.
  kNone,
  // This instance owns the step and continues to work on it.
  kWork,
  // Ask the owner whether it works on the step.
  kAskOwner,
  // Another instance owns the step and works on it.
  kDeferToOwner,
  // Append `take_over`.
  kTakeOver,
};

struct OwnershipDecision {
  OwnershipAction action = OwnershipAction::kNone;
  std::string owner;
  // The entry to append, with kTakeOver.
  std::optional<StepTakeoverEntry> take_over;
};

OwnershipDecision DecideOwnership(const StepState& step,
                                  std::string_view self,
                                  OwnerStatus owner_status);

}  // namespace carobbank
