// In-memory environment of the subcommands: a fake log, scripted HTTP pages,
// and a clock that advances when a subcommand waits.

#pragma once

#include <deque>
#include <map>
#include <sstream>
#include <string>
#include <utility>

#include "LibOperator/operator.h"
#include "Support/fake_log.h"
#include "Support/manual_clock.h"

namespace carobbank {

class FakeEnvironment final : public OperatorEnvironment {
 public:
  FakeEnvironment() : log(this->clock), random(7) {}

  const Clock& GetClock() const override { return this->clock; }
  Random& GetRandom() override { return this->random; }
  std::ostream& Out() override { return this->out; }
  std::ostream& Progress() override { return this->progress; }
  LogClient& LogClientFor(std::string_view) override { return this->log; }

  void Fetch(std::string url,
             std::string_view token,
             JsonCallback callback) override {
    this->last_token = token;
    auto& responses = this->pages[url];
    if (responses.empty()) {
      callback(Error{ErrorKind::kUnavailable, url + " is down", "start it"});
      return;
    }
    const Json::Value response = responses.front();
    if (responses.size() > 1) {
      responses.pop_front();
    }
    callback(response);
  }

  // Every callback runs within its call, so Await() never gets here.
  void RunUntilWoken() override { std::abort(); }
  void Wake() override {}
  void Wait(Milliseconds duration) override {
    this->clock.Advance(duration);
    if (this->on_wait) {
      this->on_wait();
    }
  }

  // Returns the output since the last call and clears it.
  std::string TakeOut() { return std::exchange(this->out, {}).str(); }

  ManualClock clock;
  FakeLog log;
  Random random;
  std::ostringstream out;
  std::ostringstream progress;
  std::string last_token;
  std::function<void()> on_wait;
  // Responses by URL; the last one of a URL repeats.
  std::map<std::string, std::deque<Json::Value>> pages;
};

}  // namespace carobbank
