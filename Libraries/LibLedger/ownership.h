// Which entry instance works on a step. A step is taken on demand: when its
// trainer polls an entry and the owner does not answer. Two owners at once
// waste work only, because the first result by position counts.

#pragma once

#include <optional>
#include <string_view>

#include "LibLedger/rollout_fold.h"

namespace carobbank {

// What the asking entry knows of the owner.
enum class OwnerStatus { kUnknown, kWorking, kNotWorking, kLeaving };

enum class OwnershipAction {
  // Nothing to do: the step is complete.
  kNone,
  // This instance owns the step and goes on.
  kWork,
  // Ask the owner whether it works on the step.
  kAskOwner,
  // The owner works on it.
  kDeferToOwner,
  // Append `take`.
  kTakeOver,
};

struct OwnershipDecision {
  OwnershipAction action = OwnershipAction::kNone;
  std::string owner;
  // The entry to append, with kTakeOver.
  std::optional<StepTakeoverEntry> take;
};

OwnershipDecision DecideOwnership(const StepState& step,
                                  std::string_view self,
                                  OwnerStatus evidence);

}  // namespace carobbank
