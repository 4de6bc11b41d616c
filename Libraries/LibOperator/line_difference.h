// A line difference between two texts.

#pragma once

#include <string>
#include <string_view>

namespace carobbank {

// Every line of both, marked "  " for common, "- " for only in `before`, "+ "
// for only in `after`; smallest number of marked lines.
std::string LineDifference(std::string_view before, std::string_view after);

}  // namespace carobbank
