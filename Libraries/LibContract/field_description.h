// Rows of the operators' tables: one for each field of documents and settings.

#pragma once

#include <string>
#include <vector>

namespace carobbank {

struct FieldDescription {
  // Dotted path; members of list items have the form "callers[].name".
  std::string key;
  // Empty for a field without a unit.
  std::string unit;
  std::string range;
  // "required" for a field without a default.
  std::string default_text;
  std::string meaning;

  // "| `key` | unit | range | default | meaning |"
  std::string TableRow() const;
};

std::vector<FieldDescription> DescribeServiceDocument();
std::vector<FieldDescription> DescribeEntrySettings();
std::vector<FieldDescription> DescribeSidecarSettings();
std::vector<FieldDescription> DescribeGatewaySettings();

}  // namespace carobbank
