// What the subcommands need from outside: the log, the processes' HTTP pages,
// time and output streams. The program and the tests have one implementation
// each.

#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibPlatform/platform.h"

namespace carobbank {

class OperatorEnvironment {
 public:
  virtual ~OperatorEnvironment() = default;

  virtual const Clock& GetClock() const = 0;
  virtual Random& GetRandom() = 0;
  // Results.
  virtual std::ostream& Out() = 0;
  // Progress and errors.
  virtual std::ostream& Progress() = 0;

  // The client of the log service at `base_url`; valid until the next call with
  // another URL.
  virtual LogClient& LogClientFor(std::string_view base_url) = 0;
  // Fetches a JSON document; `token` is sent as bearer token unless empty.
  using JsonCallback = std::function<void(Outcome<Json::Value>)>;
  virtual void Fetch(std::string url,
                     std::string_view token,
                     JsonCallback callback) = 0;
  // Runs callbacks until one of them calls Wake().
  virtual void RunUntilWoken() = 0;
  virtual void Wake() = 0;
  virtual void Wait(Milliseconds duration) = 0;
};

// The program's implementation: system clock, standard streams, HTTP.
std::unique_ptr<OperatorEnvironment> CreateSystemEnvironment();

// Starts one asynchronous call and blocks until its callback has run.
template <typename T, typename Start>
Outcome<T> Await(OperatorEnvironment& environment, Start&& start) {
  const auto result = std::make_shared<std::optional<Outcome<T>>>();
  start([&environment, result](Outcome<T> outcome) {
    result->emplace(std::move(outcome));
    environment.Wake();
  });
  while (!result->has_value()) {
    environment.RunUntilWoken();
  }
  return std::move(**result);
}

}  // namespace carobbank
