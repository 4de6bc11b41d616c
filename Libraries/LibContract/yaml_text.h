// Parses YAML text to the node of a single document and reads typed scalars
// from nodes. Private to LibContract, so that its public headers don't expose
// yaml-cpp.

#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibContract/service_document.h"
#include "LibContract/validation.h"

namespace carobbank {

inline constexpr std::size_t kMaxYamlBytes = kMaxDocumentBytes;

// Adds the issues of one file to a report.
class YamlDiagnostics {
 public:
  YamlDiagnostics(std::string_view file, ValidationReport& report)
      : file(file), report(report) {}

  void Report(const YAML::Mark& mark,
              std::string_view key,
              std::string problem,
              std::string remedy);
  // Problem text: "expected <expected>, found <value or kind of the node>".
  void ReportType(const YAML::Node& node,
                  std::string_view key,
                  std::string_view expected,
                  std::string remedy);

 private:
  std::string_view file;
  ValidationReport& report;
};

// The only document of `text`, which must be a map. Otherwise reports an issue
// and returns nothing.
std::optional<YAML::Node> ParseYamlMap(std::string_view text,
                                       YamlDiagnostics& diagnostics);

// Plain scalars only: a quoted "5" is a string.
std::optional<std::int64_t> YamlInteger(const YAML::Node& node);
std::optional<double> YamlReal(const YAML::Node& node);
// Only `true` and `false`.
std::optional<bool> YamlBoolean(const YAML::Node& node);

}  // namespace carobbank
