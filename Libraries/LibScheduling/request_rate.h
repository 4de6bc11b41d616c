// The rate of requests that a backend server names as its limit. Pure.

#pragma once

#include <optional>
#include <string_view>

namespace carobbank {

// Requests per second: a finite decimal number that is not negative, such as
// "6.25". Nothing for any other text.
std::optional<double> ParseRequestRate(std::string_view text);

}  // namespace carobbank
