// Keys "t/DIGEST/NUMBER" and their JSON values.

#include "trial_record.h"

#include <algorithm>
#include <array>
#include <string>

namespace carobbank {

namespace {

// Keys of crashes begin with a digest, which is longer.
constexpr std::string_view kPrefix = "t/";
constexpr char kSeparator = '/';

struct OutcomeName {
  TrialOutcome outcome;
  std::string_view name;
};
constexpr std::array<OutcomeName, 3> kOutcomeNames = {{
    {TrialOutcome::kOpen, "open"},
    {TrialOutcome::kCompleted, "completed"},
    {TrialOutcome::kFailed, "failed"},
}};

std::string_view NameOf(TrialOutcome outcome) {
  return std::find_if(kOutcomeNames.begin(), kOutcomeNames.end(),
                      [outcome](const OutcomeName& entry) {
                        return entry.outcome == outcome;
                      })
      ->name;
}

// A trial with an unknown outcome counts as failed.
TrialOutcome OutcomeOf(std::string_view name) {
  const auto found = std::find_if(
      kOutcomeNames.begin(), kOutcomeNames.end(),
      [name](const OutcomeName& entry) { return entry.name == name; });
  return found == kOutcomeNames.end() ? TrialOutcome::kFailed : found->outcome;
}

}  // namespace

KeyedRecord EncodeTrial(const QuarantineTrial& trial) {
  Json::Value value;
  value["at"] = Json::Int64(trial.at);
  value["instance"] = trial.instance;
  value["outcome"] = std::string(NameOf(trial.outcome));
  std::string key(kPrefix);
  key.append(trial.digest).push_back(kSeparator);
  key.append(std::to_string(trial.number));
  return {std::move(key), WriteJson(value)};
}

bool IsTrialKey(std::string_view key) {
  return key.starts_with(kPrefix);
}

std::optional<QuarantineTrial> DecodeTrial(const KeyedRecord& record) {
  if (!IsTrialKey(record.key)) {
    return std::nullopt;
  }
  const std::string_view rest =
      std::string_view(record.key).substr(kPrefix.size());
  const std::size_t separator = rest.find(kSeparator);
  if (separator == std::string_view::npos || separator == 0) {
    return std::nullopt;
  }
  const auto number = ParseInteger<std::int64_t>(rest.substr(separator + 1));
  if (!number || *number <= 0) {
    return std::nullopt;
  }
  QuarantineTrial trial;
  trial.digest = rest.substr(0, separator);
  trial.number = *number;
  if (record.value.empty()) {
    return trial;
  }
  const std::optional<Json::Value> value = ParseJsonObject(record.value);
  if (!value) {
    return std::nullopt;
  }
  trial.at = JsonInteger(*value, "at");
  trial.instance = JsonString(*value, "instance");
  trial.outcome = OutcomeOf(JsonString(*value, "outcome"));
  return trial;
}

}  // namespace carobbank
