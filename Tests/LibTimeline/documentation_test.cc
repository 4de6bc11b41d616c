// Tests that docs/OPERATORS.md lists the metrics that the code defines, and no
// others. Run from the repository's root.

#include <fstream>
#include <set>
#include <sstream>

#include "LibTimeline/timeline.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

std::string_view TypeWord(MetricType type) {
  switch (type) {
    case MetricType::kCounter:
      return "counter";
    case MetricType::kGauge:
      return "gauge";
    case MetricType::kTiming:
      return "timing";
  }
  return "";
}

std::string Row(const MetricDefinition& definition) {
  std::ostringstream row;
  row << "| `" << definition.name << "` | " << TypeWord(definition.type)
      << " | " << definition.labels << " | " << definition.help << " |";
  return row.str();
}

}  // namespace

TEST_GROUP(MetricDocumentation){};

TEST(MetricDocumentation, OperatorsPageListsExactlyTheDefinedMetrics) {
  std::set<std::string> expected;
  for (const MetricDefinition& definition : kAllMetrics) {
    expected.insert(Row(definition));
  }
  std::ifstream page("docs/OPERATORS.md");
  std::size_t found = 0;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| `carobbank_")) {
      CHECK_TRUE_TEXT(expected.contains(line), line.c_str());
      ++found;
    }
  }
  LONGS_EQUAL(expected.size(), found);
}

}  // namespace carobbank
