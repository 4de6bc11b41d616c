// One row of the operators' tables for each field of documents and settings.

#pragma once

#include <string>
#include <vector>

namespace carobbank {

struct FieldDescription {
  // Dotted path; members of lists read "callers[].name".
  std::string key;
  // "" where there is none.
  std::string unit;
  std::string range;
  // "required" where there is none.
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
