// Strict parsing of a rate.

#include "LibScheduling/request_rate.h"

#include <charconv>
#include <cmath>
#include <system_error>

namespace carobbank {

std::optional<double> ParseRequestRate(std::string_view text) {
  double rate = 0;
  const char* const end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data(), end, rate, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(rate) ||
      std::signbit(rate)) {
    return std::nullopt;
  }
  return rate;
}

}  // namespace carobbank
