// The form of a trial of a quarantined request in the log and towards peers.

#pragma once

#include <optional>
#include <string_view>

#include "LibPlatform/platform.h"
#include "LibRouting/routing.h"

namespace carobbank {

KeyedRecord EncodeTrial(const QuarantineTrial& trial);

// True when the key is that of a trial.
bool IsTrialKey(std::string_view key);

// Nothing when the key or the value is malformed. An empty value, which removes
// the trial, leaves only digest and number set.
std::optional<QuarantineTrial> DecodeTrial(const KeyedRecord& record);

}  // namespace carobbank
