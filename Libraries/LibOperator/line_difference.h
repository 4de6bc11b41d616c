// A line difference between two texts.

#pragma once

#include <string>
#include <string_view>

namespace carobbank {

// Every line of both texts, prefixed with "  " when common, "- " when only in
// `before` and "+ " when only in `after`. The number of "- " and "+ " lines is
// minimal.
std::string LineDifference(std::string_view before, std::string_view after);

}  // namespace carobbank
