// Validation issues: position, key, problem and remedy.

#pragma once

#include <string>
#include <utility>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct ValidationIssue {
  std::string file;
  // 1-based.
  int line = 1;
  int column = 1;
  // Dotted path, "limits.body_bytes" or "callers[2].name".
  std::string key;
  std::string problem;
  std::string remedy;

  // "<file>:<line>:<column>: <key>: <problem>; <remedy>"
  std::string Text() const;
};

// All issues of one or more files, in the order of their detection.
class ValidationReport {
 public:
  void Add(ValidationIssue issue);
  void Append(const ValidationReport& other);

  bool Ok() const { return this->issues.empty(); }
  const std::vector<ValidationIssue>& Issues() const { return this->issues; }

  // One issue per line.
  std::string Text() const;
  Json::Value ToJson() const;
  // kInvalidArgument with the first issue and the number of further issues.
  // Precondition: !Ok().
  Error ToError() const;

 private:
  std::vector<ValidationIssue> issues;
};

// A parsed value and its issues. `value` may be used only when Ok().
template <typename T>
struct ValidationResult {
  T value;
  ValidationReport report;

  bool Ok() const { return this->report.Ok(); }
};

}  // namespace carobbank
