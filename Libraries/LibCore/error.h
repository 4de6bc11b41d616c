// Typed errors. Synchronous functions return Result<T> (Boost.LEAF); results
// that cross a thread or a callback are passed as Outcome<T>.

#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace carobbank {

enum class ErrorKind {
  kInvalidArgument,   // the input is invalid; a retry fails again
  kNotFound,          // the requested object does not exist
  kConflict,          // a concurrent writer was first
  kUnauthenticated,   // the credentials are missing, wrong or stale
  kOverloaded,        // rejected because of load; had no effect
  kUnavailable,       // the peer is unreachable; had no effect
  kOutcomeUnknown,    // the request may have taken effect
  kDeadlineExceeded,  // the deadline passed before the work started
  kFenced,            // the fencing token is outdated: a newer holder exists
  kExpired,           // the record is past the log's retention
  kCorrupt,           // data that breaks its own format
  kInternal,          // an invariant of this program is violated
};

// The kind's name in lower_snake_case, as used in problem documents.
std::string_view ErrorKindName(ErrorKind kind);

// One failure. `message` states the problem, `remedy` what the reader can do.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string remedy;

  // "<message>; <remedy>"
  std::string Text() const;
};

template <typename T>
using Result = boost::leaf::result<T>;

// Makes the error of a function that returns a Result.
inline boost::leaf::error_id Fail(ErrorKind kind,
                                  std::string message,
                                  std::string remedy) {
  return boost::leaf::new_error(
      Error{kind, std::move(message), std::move(remedy)});
}

inline boost::leaf::error_id Fail(Error error) {
  return boost::leaf::new_error(std::move(error));
}

// A value or an Error, stored by value so that it can outlive the scope of a
// Result's error handler.
template <typename T>
class Outcome {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): reads like a return value.
  Outcome(T value) : state(std::move(value)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): reads like a return value.
  Outcome(Error error) : state(std::move(error)) {}

  bool Ok() const { return std::holds_alternative<T>(this->state); }
  const T& Value() const { return std::get<T>(this->state); }
  T& Value() { return std::get<T>(this->state); }
  const Error& GetError() const { return std::get<Error>(this->state); }

 private:
  std::variant<T, Error> state;
};

template <typename>
struct ResultValue;

template <typename T>
struct ResultValue<Result<T>> {
  using Type = T;
};

// Runs `operation`, which returns Result<T>, and returns its value or its error
// as an Outcome<T>.
template <typename Operation>
auto Capture(Operation&& operation) {
  using Value = typename ResultValue<std::decay_t<decltype(operation())>>::Type;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome<Value>> {
        auto result = operation();
        if (!result) {
          return result.error();
        }
        return Outcome<Value>(std::move(result.value()));
      },
      [](const Error& error) { return Outcome<Value>(error); },
      [] {
        return Outcome<Value>(Error{ErrorKind::kInternal, "unclassified error",
                                    "report this as a defect"});
      });
}

}  // namespace carobbank
