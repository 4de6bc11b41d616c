// Pace of each backend server: the time between two events of a stream, as this
// process observes it, separate from the wait for a slot. Pure.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

class ServerPace {
 public:
  // Milliseconds between two events while this process has `in_flight` requests
  // at the server; 0 without a measurement. Load of other processes shows as a
  // slower pace.
  double EventMs(std::int64_t in_flight, MonotonicTime now) const;
  // Like EventMs(), but a slowdown counts only after kSettlingTime: a pause for
  // new weights is part of a few gaps.
  double SettledEventMs(std::int64_t in_flight, MonotonicTime now) const;
  // Time that a request lately waited at the server before its first event, or
  // since the server's last event while it sends none, in milliseconds.
  double WaitMs(MonotonicTime now) const;
  // Enough events were observed to rely on the pace.
  bool IsKnown() const;

  static constexpr Milliseconds kSettlingTime{800};

 private:
  friend class ServerPaces;

  // Natural logarithms of milliseconds at one request in flight: the mean of
  // the last few events, and of the last half minute.
  double recent = 0;
  double usual = 0;
  std::int64_t observations = 0;
  // Since when the recent pace is slower than the usual one by
  // kSlowdownFactor.
  std::optional<MonotonicTime> slow_since;
  MonotonicTime observed_at{};
  double wait_ms = 0;
  MonotonicTime waited_at{};
  // Since the last event.
  double silence_ms = 0;
  MonotonicTime silent_at{};
};

class ServerPaces {
 public:
  // Mean gap between the latest events of a stream from the server, with this
  // process's requests in flight there.
  void OnEventGap(std::string_view server_id,
                  double gap_ms,
                  std::int64_t in_flight,
                  MonotonicTime now);
  // A request's first event came this long after it was sent.
  void OnFirstEvent(std::string_view server_id,
                    Milliseconds since_sent,
                    std::int64_t in_flight,
                    MonotonicTime now);
  // A stream has received nothing for this long.
  void OnSilence(std::string_view server_id,
                 Milliseconds silence,
                 MonotonicTime now);
  // The server refused a request.
  void OnRefused(std::string_view server_id, MonotonicTime now);
  void Remove(std::string_view server_id);
  template <typename Predicate>
  void RemoveUnknown(Predicate is_known) {
    std::erase_if(this->paces,
                  [&](const auto& entry) { return !is_known(entry.first); });
  }

  // Null without an observation.
  const ServerPace* Find(std::string_view server_id) const;

 private:
  std::map<std::string, ServerPace, std::less<>> paces;
};

}  // namespace carobbank
