// Settings and faults of a stand-in as a table of member pointers, so that the
// command line, the settings file and POST /control share one parser.

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <variant>

#include "LibCore/core.h"

namespace carobbank {

// One member of `Settings` and its JSON key. Numbers are never negative.
template <typename Settings>
struct SettingField {
  const char* name;
  std::variant<bool Settings::*,
               std::int64_t Settings::*,
               double Settings::*,
               std::string Settings::*>
      member;
};

// Each assigns one value; false when the value has the wrong type or range.
bool ReadSetting(const Json::Value& value, bool& setting);
bool ReadSetting(const Json::Value& value, std::int64_t& setting);
bool ReadSetting(const Json::Value& value, double& setting);
bool ReadSetting(const Json::Value& value, std::string& setting);

// Sets the member `name` of `settings`. Fails with kNotFound when the table has
// no such name and with kInvalidArgument for a value of the wrong type or
// range.
template <typename Settings>
Result<void> ApplySetting(std::span<const SettingField<Settings>> table,
                          const std::string& name,
                          const Json::Value& value,
                          Settings& settings) {
  for (const SettingField<Settings>& field : table) {
    if (name != field.name) {
      continue;
    }
    const bool applied = std::visit(
        [&](auto member) { return ReadSetting(value, settings.*member); },
        field.member);
    if (!applied) {
      return Fail(ErrorKind::kInvalidArgument,
                  "wrong type or range of setting " + name,
                  "see the table in docs/TESTING.md");
    }
    return {};
  }
  return Fail(ErrorKind::kNotFound, "unknown setting or command " + name,
              "see the table in docs/TESTING.md");
}

// Adds every member to the JSON object `state`.
template <typename Settings>
void WriteSettings(std::span<const SettingField<Settings>> table,
                   const Settings& settings,
                   Json::Value& state) {
  for (const SettingField<Settings>& field : table) {
    std::visit(
        [&](auto member) { state[field.name] = Json::Value(settings.*member); },
        field.member);
  }
}

// For a fault that affects the next N requests: decrements `remaining`; false
// when it is zero already.
bool ConsumeFault(std::int64_t& remaining);

}  // namespace carobbank
