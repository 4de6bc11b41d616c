// YAML text to one checked document node, and typed scalars out of it. Private
// to LibContract, which keeps yaml-cpp behind its public header.

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

// Where findings go while one file is read.
class YamlContext {
 public:
  YamlContext(std::string_view file, ValidationReport& report)
      : file(file), report(report) {}

  void Report(const YAML::Mark& mark,
              std::string_view key,
              std::string problem,
              std::string remedy);
  // "expected <expected>, found <kind of node>".
  void ReportType(const YAML::Node& node,
                  std::string_view key,
                  std::string_view expected,
                  std::string remedy);

 private:
  std::string_view file;
  ValidationReport& report;
};

// The only document of `text`, which must be a map; else nothing, reported.
std::optional<YAML::Node> ParseYamlMap(std::string_view text,
                                       YamlContext& context);

// Plain scalars only: a quoted "5" is text.
std::optional<std::int64_t> YamlInteger(const YAML::Node& node);
std::optional<double> YamlReal(const YAML::Node& node);
// Only `true` and `false`.
std::optional<bool> YamlBoolean(const YAML::Node& node);

}  // namespace carobbank
