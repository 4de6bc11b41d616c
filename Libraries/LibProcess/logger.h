// Structured logging through spdlog.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "LibContract/contract.h"

namespace carobbank {

struct LogField {
  std::string_view name;
  std::string value;
};

// Sets the process's log format and level; call once before WriteLog.
void StartLogging(const LogSettings& settings, std::string_view instance);

// Writes one line: "<message> name=value ..." or one JSON object.
void WriteLog(LogLevel level,
              std::string_view message,
              const std::vector<LogField>& fields = {});

}  // namespace carobbank
