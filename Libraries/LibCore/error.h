// Typed errors. Functions that fail at once return Result<T> (Boost.LEAF);
// answers that cross a thread or a callback travel as Outcome<T>.

#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace carobbank {

enum class ErrorKind {
  kInvalidArgument,   // the input is wrong and stays wrong when repeated
  kNotFound,          // the named thing does not exist
  kConflict,          // another writer was first
  kUnauthenticated,   // the proof of identity is missing, wrong or stale
  kOverloaded,        // refused for load; certainly not done
  kUnavailable,       // the peer could not be reached; certainly not done
  kOutcomeUnknown,    // the request may have taken effect
  kDeadlineExceeded,  // the deadline passed before the work began
  kFenced,            // a newer holder exists
  kExpired,           // the record is past the log's retention
  kCorrupt,           // data that breaks its own format
  kInternal,          // a broken invariant of this program
};

// The kind's name in lower_snake_case, as used in problem documents.
std::string_view ErrorKindName(ErrorKind kind);

// One failure. `message` says what is wrong, `remedy` what the reader can do.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string remedy;

  // "<message>; <remedy>"
  std::string Text() const;
};

template <typename T>
using Result = boost::leaf::result<T>;

// Builds the failure that a function with a Result return type returns.
inline boost::leaf::error_id Fail(ErrorKind kind,
                                  std::string message,
                                  std::string remedy) {
  return boost::leaf::new_error(
      Error{kind, std::move(message), std::move(remedy)});
}

inline boost::leaf::error_id Fail(Error error) {
  return boost::leaf::new_error(std::move(error));
}

// A value or an Error, stored by value so that it may outlive its scope.
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

// Runs `operation`, which returns Result<T>, and keeps its value or its error.
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
