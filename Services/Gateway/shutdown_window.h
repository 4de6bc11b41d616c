// Decides which requests a gateway still begins between SIGTERM and the end of
// its process. The load balancer sends new connections until two readiness
// checks have failed, and an open connection stays with its gateway until a
// response closes it, so requests arrive during the whole grace period. One
// that is cut by the end of the process may have run and can't be repeated; one
// that is refused as not run is served by another instance at once. Pure: times
// come in as arguments.

#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "LibContract/contract.h"

namespace carobbank {

// The latest response times of one route.
class ResponseTimes {
 public:
  void Add(Milliseconds took);
  bool Empty() const { return this->count == 0; }
  // Require that the times are not empty.
  Milliseconds Median() const;
  Milliseconds Longest() const;

 private:
  static constexpr std::size_t kKept = 128;

  // Invariant: the first min(count, kKept) entries are set.
  std::array<Milliseconds, kKept> times{};
  std::size_t count = 0;
};

// A request that no server has received yet.
struct UnsentRequest {
  std::string_view route;
  // Until it is answered without the server's response.
  Milliseconds time_left{0};
  // If it is cut, its caller gets an error and may send it again. Not so for a
  // request that may run only once, or whose response is a stream.
  bool repeatable = false;
};

class ShutdownWindow {
 public:
  // `grace`: time from SIGTERM to SIGKILL.
  explicit ShutdownWindow(Milliseconds grace) : grace(grace) {}

  // A call of the route has ended, `took` after its request was read.
  void OnEnded(std::string_view route, Milliseconds took);

  // SIGTERM was received.
  void Begin(MonotonicTime now);
  bool Begun() const { return this->began.has_value(); }

  // Whether the request may be sent to a server. Lengths of earlier responses
  // say little about a further one, so that only a repeatable request relies on
  // them; any other must end within its time limit. Soon after SIGTERM all
  // requests of routes with usual response times begin.
  bool MayBegin(const UnsentRequest& request, MonotonicTime now) const;
  // Whether work that takes at most `longest` ends before responses are due.
  bool EndsInTime(Milliseconds longest, MonotonicTime now) const;
  // The load balancer has noticed that the gateway isn't ready.
  bool OutOfRotation(MonotonicTime now) const;
  // Every request must get its response now.
  bool ResponsesDue(MonotonicTime now) const;
  // The process must exit, also if callers haven't read their responses.
  bool Over(MonotonicTime now) const;

 private:
  Milliseconds ResponseTime() const;
  Milliseconds Elapsed(MonotonicTime now) const;

  Milliseconds grace;
  std::optional<MonotonicTime> began;
  std::map<std::string, ResponseTimes, std::less<>> routes;
};

}  // namespace carobbank
