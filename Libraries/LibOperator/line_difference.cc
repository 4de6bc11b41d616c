// The longest common subsequence of lines by dynamic programming, whose
// quadratic cost is acceptable since documents are small.

#include "LibOperator/line_difference.h"

#include <algorithm>
#include <vector>

namespace carobbank {

namespace {

using Lines = std::vector<std::string_view>;

Lines SplitLines(std::string_view text) {
  Lines lines;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    lines.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return lines;
}

// lengths[i][j]: longest common subsequence of before[i..] and after[j..].
using Lengths = std::vector<std::vector<std::size_t>>;

Lengths CommonLengths(const Lines& before, const Lines& after) {
  Lengths lengths(before.size() + 1,
                  std::vector<std::size_t>(after.size() + 1, 0));
  for (std::size_t i = before.size(); i-- > 0;) {
    for (std::size_t j = after.size(); j-- > 0;) {
      lengths[i][j] = before[i] == after[j]
                          ? lengths[i + 1][j + 1] + 1
                          : std::max(lengths[i + 1][j], lengths[i][j + 1]);
    }
  }
  return lengths;
}

}  // namespace

std::string LineDifference(std::string_view before, std::string_view after) {
  const Lines old_lines = SplitLines(before);
  const Lines new_lines = SplitLines(after);
  const Lengths lengths = CommonLengths(old_lines, new_lines);
  std::string text;
  const auto add = [&text](std::string_view prefix, std::string_view line) {
    text += std::string(prefix) + std::string(line) + "\n";
  };
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < old_lines.size() || j < new_lines.size()) {
    const bool both = i < old_lines.size() && j < new_lines.size();
    if (both && old_lines[i] == new_lines[j]) {
      add("  ", old_lines[i]);
      ++i;
      ++j;
    } else if (j == new_lines.size() ||
               (both && lengths[i + 1][j] >= lengths[i][j + 1])) {
      add("- ", old_lines[i]);
      ++i;
    } else {
      add("+ ", new_lines[j]);
      ++j;
    }
  }
  return text;
}

}  // namespace carobbank
