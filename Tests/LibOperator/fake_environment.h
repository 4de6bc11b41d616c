// The verbs' environment in memory: a fake log, scripted status pages, and a
// clock that moves when a verb waits.

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
  LogClient& Log(std::string_view) override { return this->log; }

  void Fetch(std::string url,
             std::string_view token,
             JsonCallback callback) override {
    this->last_token = token;
    auto& answers = this->pages[url];
    if (answers.empty()) {
      callback(Error{ErrorKind::kUnavailable, url + " is down", "start it"});
      return;
    }
    const Json::Value answer = answers.front();
    if (answers.size() > 1) {
      answers.pop_front();
    }
    callback(answer);
  }

  // Every answer comes within the call, so nothing is ever waited for.
  void RunUntilWoken() override { std::abort(); }
  void Wake() override {}
  void Wait(Milliseconds duration) override {
    this->clock.Advance(duration);
    if (this->on_wait) {
      this->on_wait();
    }
  }

  // What the last verb wrote; empties it.
  std::string TakeOut() { return std::exchange(this->out, {}).str(); }

  ManualClock clock;
  FakeLog log;
  Random random;
  std::ostringstream out;
  std::ostringstream progress;
  std::string last_token;
  std::function<void()> on_wait;
  // The last answer of a URL repeats.
  std::map<std::string, std::deque<Json::Value>> pages;
};

}  // namespace carobbank
