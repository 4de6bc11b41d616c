// What the verbs need of the world: the log, the processes' status pages, time,
// and somewhere to write. One implementation is real, the tests have another.

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
  // Progress and problems.
  virtual std::ostream& Progress() = 0;

  // The same client until another URL is asked for.
  virtual LogClient& Log(std::string_view base_url) = 0;
  // Fetches a JSON document; `token` is sent as bearer token unless empty.
  using JsonCallback = std::function<void(Outcome<Json::Value>)>;
  virtual void Fetch(std::string url,
                     std::string_view token,
                     JsonCallback callback) = 0;
  // Lets callbacks run until Wake() is called by one of them.
  virtual void RunUntilWoken() = 0;
  virtual void Wake() = 0;
  virtual void Wait(Milliseconds duration) = 0;
};

// The program's own: system clock, standard streams, HTTP.
std::unique_ptr<OperatorEnvironment> CreateSystemEnvironment();

// Starts one asynchronous call and blocks until it is answered.
template <typename T, typename Start>
Outcome<T> Await(OperatorEnvironment& environment, Start&& start) {
  const auto answer = std::make_shared<std::optional<Outcome<T>>>();
  start([&environment, answer](Outcome<T> outcome) {
    answer->emplace(std::move(outcome));
    environment.Wake();
  });
  while (!answer->has_value()) {
    environment.RunUntilWoken();
  }
  return std::move(**answer);
}

}  // namespace carobbank
