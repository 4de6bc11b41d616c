// Which entry instance works on a step. A step is taken on demand: when its
// trainer polls an entry and the owner does not answer. Two owners at once
// waste work only, because the first result by position counts.

#pragma once

#include <optional>
#include <string_view>

#include "LibLedger/rollout_fold.h"

namespace carobbank {

// What the asking entry knows of the owner.
enum class OwnerEvidence { kUnknown, kAnswers, kSilent, kLeaving };

enum class OwnershipAction {
  // Nothing to do: the step is complete.
  kNone,
  // This instance owns the step and goes on.
  kWork,
  // Ask the owner whether it works on the step.
  kAskOwner,
  // The owner works on it.
  kLeave,
  // Append `take`.
  kTake,
};

struct OwnershipView {
  OwnershipAction action = OwnershipAction::kNone;
  std::string owner;
  // The entry to append, with kTake.
  std::optional<TakeEntry> take;
};

OwnershipView ViewOwnership(const StepState& step,
                            std::string_view self,
                            OwnerEvidence evidence);

}  // namespace carobbank
