// Configures spdlog for key=value or JSON lines on standard error.

#include "LibProcess/logger.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace carobbank {

namespace {

struct LoggingState {
  LogFormat format = LogFormat::kText;
  std::string instance;
};

LoggingState& State() {
  static LoggingState state;
  return state;
}

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::string JsonLine(std::string_view message,
                     const std::vector<LogField>& fields) {
  Json::Value line;
  line["instance"] = State().instance;
  line["message"] = std::string(message);
  for (const LogField& field : fields) {
    line[std::string(field.name)] = field.value;
  }
  return WriteJson(line);
}

std::string TextLine(std::string_view message,
                     const std::vector<LogField>& fields) {
  std::string line(message);
  for (const LogField& field : fields) {
    line += " ";
    line += field.name;
    line += "=";
    line += WriteJson(Json::Value(field.value));
  }
  return line;
}

}  // namespace

void StartLogging(const LogSettings& settings, std::string_view instance) {
  State() = {settings.format, std::string(instance)};
  const auto logger = spdlog::stderr_logger_mt("carobbank");
  spdlog::set_default_logger(logger);
  spdlog::set_level(ToSpdlog(settings.level));
  if (settings.format == LogFormat::kJson) {
    spdlog::set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","event":%v})");
  } else {
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %v");
  }
  spdlog::flush_on(spdlog::level::info);
}

void WriteLog(LogLevel level,
              std::string_view message,
              const std::vector<LogField>& fields) {
  const std::string line = State().format == LogFormat::kJson
                               ? JsonLine(message, fields)
                               : TextLine(message, fields);
  spdlog::log(ToSpdlog(level), "{}", line);
}

}  // namespace carobbank
