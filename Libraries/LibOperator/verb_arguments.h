// The arguments of each subcommand, parsed with TCLAP. Private to LibOperator.

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct CheckArguments {
  std::vector<std::string> files;
  bool json = false;
};

struct PublishArguments {
  std::vector<std::string> files;
  std::string log_url;
  std::string publisher;
  std::optional<std::int64_t> base_revision;
  bool dry_run = false;
  // Entries to wait for until they report the new offset.
  std::vector<std::string> entries;
  std::string token;
  Milliseconds timeout{30'000};
  bool json = false;
};

struct StatusArguments {
  std::vector<std::string> processes;
  std::string token;
  bool json = false;
};

enum class TimelineFormat { kText, kChrome };

struct TimelineArguments {
  std::vector<std::string> processes;
  std::string token;
  std::string request;
  std::string step;
  std::string sample;
  std::string server;
  std::string service;
  TimelineFormat format = TimelineFormat::kText;
  bool json = false;
};

// The output of `--help` or `--version` was printed.
struct HelpShown {};

template <typename T>
using Parsed = std::variant<T, HelpShown, Error>;

Parsed<CheckArguments> ParseCheck(std::span<const std::string> arguments);
Parsed<PublishArguments> ParsePublish(std::span<const std::string> arguments);
Parsed<StatusArguments> ParseStatus(std::span<const std::string> arguments);
Parsed<TimelineArguments> ParseTimeline(std::span<const std::string> arguments);

}  // namespace carobbank
