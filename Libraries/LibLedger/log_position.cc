// Text form of log positions.

#include "LibLedger/log_position.h"

namespace carobbank {

namespace {

// True when `text` is one decimal number without leading zeros or signs.
template <typename Number>
bool ParseDecimal(std::string_view text, Number& number) {
  if (text.empty() || (text.size() > 1 && text.front() == '0')) {
    return false;
  }
  const auto parsed = ParseInteger<Number>(text);
  number = parsed.value_or(number);
  return parsed.has_value();
}

}  // namespace

std::string LogPosition::Text() const {
  return std::to_string(this->offset) + "." + std::to_string(this->index);
}

Result<LogPosition> LogPosition::Parse(std::string_view text) {
  LogPosition position;
  const std::size_t point = text.find('.');
  if (point == std::string_view::npos ||
      !ParseDecimal(text.substr(0, point), position.offset) ||
      !ParseDecimal(text.substr(point + 1), position.index)) {
    return Fail(ErrorKind::kInvalidArgument, "not a log position",
                "give it as <offset>.<index>");
  }
  return position;
}

}  // namespace carobbank
