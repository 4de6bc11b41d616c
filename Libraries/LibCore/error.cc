// Names and text form of typed errors.

#include "LibCore/error.h"

namespace carobbank {

std::string_view ErrorKindName(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return "invalid_argument";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kUnauthenticated:
      return "unauthenticated";
    case ErrorKind::kOverloaded:
      return "overloaded";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorKind::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorKind::kFenced:
      return "fenced";
    case ErrorKind::kExpired:
      return "expired";
    case ErrorKind::kCorrupt:
      return "corrupt";
    case ErrorKind::kInternal:
      return "internal";
  }
  return "internal";
}

std::string Error::Text() const {
  return this->message + "; " + this->remedy;
}

}  // namespace carobbank
