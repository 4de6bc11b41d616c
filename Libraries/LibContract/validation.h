// Findings of validation: where, which key, what is wrong, what to do.

#pragma once

#include <string>
#include <utility>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct ValidationIssue {
  std::string file;
  // Counted from 1.
  int line = 1;
  int column = 1;
  // Dotted path, "limits.body_bytes" or "callers[2].name".
  std::string key;
  std::string problem;
  std::string remedy;

  // "<file>:<line>:<column>: <key>: <problem>; <remedy>"
  std::string Text() const;
};

// Everything that is wrong with one or more files, in the order of finding.
class ValidationReport {
 public:
  void Add(ValidationIssue issue);
  void Append(const ValidationReport& other);

  bool Ok() const { return this->issues.empty(); }
  const std::vector<ValidationIssue>& Issues() const { return this->issues; }

  // One issue a line.
  std::string Text() const;
  Json::Value ToJson() const;
  // kInvalidArgument with the first issue and the number of the others. Call
  // only when !Ok().
  Error ToError() const;

 private:
  std::vector<ValidationIssue> issues;
};

// What was read, and what is wrong with it. `value` may be used only when
// Ok().
template <typename T>
struct ValidationResult {
  T value;
  ValidationReport report;

  bool Ok() const { return this->report.Ok(); }
};

}  // namespace carobbank
