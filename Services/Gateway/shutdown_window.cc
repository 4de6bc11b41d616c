// Response times of routes, and the deadlines within the grace period.

#include "shutdown_window.h"

#include <algorithm>

namespace carobbank {

namespace {

// The load balancer notices a failing readiness check within two checks, one
// per second; it opens new connections until then.
constexpr Milliseconds kBalancerRemovalTime{3'200};
// Until about now, most requests come from callers who could not know of the
// shutdown, and the grace period is long enough for usual ones.
constexpr Milliseconds kUsualWorkTime{2'500};
// Reserved at the end of the grace period for writing the last responses.
constexpr Milliseconds kResponseMargin{500};
// Reserved for the exit of the process.
constexpr Milliseconds kExitMargin{200};
// A response may take longer than the longest one of late by this part of it.
constexpr int kLongerPart = 4;

}  // namespace

void ResponseTimes::Add(Milliseconds took) {
  this->times[this->count % kKept] = took;
  ++this->count;
}

Milliseconds ResponseTimes::Median() const {
  const std::size_t size = std::min(this->count, kKept);
  std::array<Milliseconds, kKept> sorted = this->times;
  auto* const middle = sorted.data() + size / 2;
  std::nth_element(sorted.data(), middle, sorted.data() + size);
  return *middle;
}

Milliseconds ResponseTimes::Longest() const {
  const std::size_t size = std::min(this->count, kKept);
  return *std::max_element(this->times.data(), this->times.data() + size);
}

void ShutdownWindow::OnEnded(std::string_view route, Milliseconds took) {
  const auto found = this->routes.find(route);
  if (found != this->routes.end()) {
    found->second.Add(took);
    return;
  }
  this->routes[std::string(route)].Add(took);
}

void ShutdownWindow::Begin(MonotonicTime now) {
  this->began = now;
}

bool ShutdownWindow::MayBegin(const UnsentRequest& request,
                              MonotonicTime now) const {
  if (this->EndsInTime(request.time_left, now)) {
    return true;
  }
  const Milliseconds left = this->ResponseTime() - this->Elapsed(now);
  const auto known = this->routes.find(request.route);
  const bool early =
      this->Elapsed(now) < std::min(kUsualWorkTime, this->ResponseTime() / 3);
  if (known == this->routes.end()) {
    return early;
  }
  if (early) {
    return known->second.Median() <= left;
  }
  const Milliseconds longest = known->second.Longest();
  return request.repeatable && longest + longest / kLongerPart <= left;
}

bool ShutdownWindow::EndsInTime(Milliseconds longest, MonotonicTime now) const {
  return !this->began || longest <= this->ResponseTime() - this->Elapsed(now);
}

bool ShutdownWindow::OutOfRotation(MonotonicTime now) const {
  return this->began &&
         this->Elapsed(now) >=
             std::min(kBalancerRemovalTime, this->ResponseTime() / 2);
}

bool ShutdownWindow::ResponsesDue(MonotonicTime now) const {
  return this->began && this->Elapsed(now) >= this->ResponseTime();
}

bool ShutdownWindow::Over(MonotonicTime now) const {
  return this->began && this->Elapsed(now) >= this->grace - kExitMargin;
}

Milliseconds ShutdownWindow::ResponseTime() const {
  return this->grace - kResponseMargin;
}

Milliseconds ShutdownWindow::Elapsed(MonotonicTime now) const {
  return std::chrono::duration_cast<Milliseconds>(now - *this->began);
}

}  // namespace carobbank
