// Settings and faults of a stand-in as a table of member pointers, so that the
// command line, the settings file and POST /control share one reader.

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <variant>

#include "LibCore/core.h"

namespace carobbank {

// One member of `Settings` under its name in JSON. Numbers are never negative.
template <typename Settings>
struct SettingField {
  const char* name;
  std::variant<bool Settings::*,
               std::int64_t Settings::*,
               double Settings::*,
               std::string Settings::*>
      member;
};

// Each reads one value and tells whether it had the right type and range.
bool ReadSetting(const Json::Value& value, bool& setting);
bool ReadSetting(const Json::Value& value, std::int64_t& setting);
bool ReadSetting(const Json::Value& value, double& setting);
bool ReadSetting(const Json::Value& value, std::string& setting);

// Takes the member `name` into `settings` when the table has it. Fails with
// kNotFound for another name and with kInvalidArgument for a wrong value.
template <typename Settings>
Result<void> ApplySetting(std::span<const SettingField<Settings>> table,
                          const std::string& name,
                          const Json::Value& value,
                          Settings& settings) {
  for (const SettingField<Settings>& field : table) {
    if (name != field.name) {
      continue;
    }
    const bool taken = std::visit(
        [&](auto member) { return ReadSetting(value, settings.*member); },
        field.member);
    if (!taken) {
      return Fail(ErrorKind::kInvalidArgument, "wrong value for " + name,
                  "see the table in docs/TESTING.md");
    }
    return {};
  }
  return Fail(ErrorKind::kNotFound, "no setting is named " + name,
              "see the table in docs/TESTING.md");
}

// Adds every member to `shown`.
template <typename Settings>
void ShowSettings(std::span<const SettingField<Settings>> table,
                  const Settings& settings,
                  Json::Value& shown) {
  for (const SettingField<Settings>& field : table) {
    std::visit(
        [&](auto member) { shown[field.name] = Json::Value(settings.*member); },
        field.member);
  }
}

// For a fault that hits the next N requests: takes one when there is one.
bool TakeOne(std::int64_t& remaining);

}  // namespace carobbank
