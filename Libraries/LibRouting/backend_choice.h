// Choice of a backend server from what this process has seen itself: requests
// it has in flight there, failures, and refusals. Pure.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"
#include "LibMembership/membership.h"

namespace carobbank {

// How one send to a backend server ended.
enum class SendOutcome {
  kAnswered,
  // Full or in the middle of a change: it said that it did not run.
  kRefused,
  // No connection, a reset, silence or a spoiled answer.
  kFailed,
  // Ended from this side.
  kCancelled,
};

class BackendLoads {
 public:
  void Begin(std::string_view server_id);
  void End(std::string_view server_id,
           SendOutcome outcome,
           Milliseconds took,
           MonotonicTime now);

  std::int64_t InFlight(std::string_view server_id) const;
  // The server failed or refused a moment ago.
  bool InBackoff(std::string_view server_id, MonotonicTime now) const;
  // A stream from the server brought its last events `gap` apart, on average.
  void RecordEventGap(std::string_view server_id,
                      Milliseconds gap,
                      MonotonicTime now);
  // How long the server takes for one piece of work, in milliseconds: the
  // shortest recent gap between events of a stream, else the mean time of its
  // answers; 0 when nothing is known. Pauses of a stream, as for a change of
  // weights, don't count against a server.
  double ProcessingTimeMs(std::string_view server_id) const;
  // Drops what is known of servers that `is_known` rejects and that have
  // nothing in flight.
  template <typename Predicate>
  void RemoveUnknown(Predicate is_known) {
    std::erase_if(this->states, [&](const auto& entry) {
      return entry.second.in_flight == 0 && !is_known(entry.first);
    });
  }

  // A full server frees a place within about the time of one request.
  static constexpr Milliseconds kRefusalBackoff{60};
  // The pause doubles with each failure in a row, up to the time within which
  // a crashed server is back or its entry is gone.
  static constexpr Milliseconds kInitialFailureBackoff{250};
  static constexpr Milliseconds kMaximumFailureBackoff{4'000};
  // A server's shortest gap is taken over the last one to two of these.
  static constexpr Milliseconds kEventGapWindow{500};

 private:
  struct State {
    std::int64_t in_flight = 0;
    std::int64_t failures_in_row = 0;
    MonotonicTime avoided_until = MonotonicTime::min();
    double mean_answer_ms = 0;
    // Shortest gaps between events in the window before and in this one.
    std::optional<Milliseconds> last_gap;
    std::optional<Milliseconds> current_gap;
    std::optional<MonotonicTime> window_began;
  };
  std::map<std::string, State, std::less<>> states;
};

struct BackendQuery {
  // Candidates; servers in `excluded` are passed over.
  std::span<const FleetServer* const> servers;
  std::span<const std::string> excluded;
  // Servers here are taken before farther ones of like load.
  std::string_view data_center;
  // Taken whenever it has room; empty for none.
  std::string_view preferred_id;
  // Requests of this process that a server may hold, in relation to its slots.
  double room_per_slot = 1.0;
  // Take an avoided server rather than none.
  bool allow_backoff = false;
};

// The middle work time of those servers of which one is known, or 0.
double MedianProcessingTimeMs(std::span<const FleetServer* const> servers,
                              const BackendLoads& loads);

// The shortest work time of those servers of which one is known, or 0.
double ShortestProcessingTimeMs(std::span<const FleetServer* const> servers,
                                const BackendLoads& loads);

// How many times slower than usual the server is; 1 when nothing is known.
double RelativeSlowdown(const FleetServer& server,
                        const BackendLoads& loads,
                        double typical_ms);

// Whether a text of that many events, which probably has as many to come, is
// whole earlier at a server with the other time for an event, the new start
// there included. Unknown times (0) are no reason to move.
bool ShouldMigrateStream(std::size_t events, double own_ms, double other_ms);

// The server with the most room, or null when none has any. A slow server has
// room for less.
const FleetServer* ChooseBackend(const BackendQuery& query,
                                 const BackendLoads& loads,
                                 MonotonicTime now,
                                 Random& random);

}  // namespace carobbank
