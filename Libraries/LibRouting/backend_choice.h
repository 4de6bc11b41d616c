// Choice of a backend server from this process's own observations: requests in
// flight, failures, refusals, and processing times. Pure.

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
#include "LibRouting/server_paces.h"

namespace carobbank {

// Outcome of one attempt at a backend server.
enum class SendOutcome {
  kAnswered,
  // The server refused the request without running it, for example because it
  // had no free slot or changed its weights.
  kRefused,
  // No connection, a reset, a timeout, or an invalid response.
  kFailed,
  // Cancelled by this process.
  kCancelled,
};

// Observations of this process per backend server.
class BackendLoads {
 public:
  void Begin(std::string_view server_id);
  void End(std::string_view server_id,
           SendOutcome outcome,
           Milliseconds elapsed,
           MonotonicTime now);

  // The server has started again: what was observed of its earlier start no
  // longer holds, but for the requests that have not ended yet.
  void OnRestarted(std::string_view server_id);

  std::int64_t InFlight(std::string_view server_id) const;
  // The backoff after a failure or refusal of the server has not ended yet.
  bool InBackoff(std::string_view server_id, MonotonicTime now) const;
  // Records the mean gap between the latest events of a stream from the server.
  void RecordEventGap(std::string_view server_id,
                      Milliseconds gap,
                      MonotonicTime now);
  // Estimated processing time of the server in milliseconds: the shortest
  // recent gap between events of a stream, else the moving average of its
  // response times; 0 without a measurement. The shortest gap ignores pauses of
  // a stream, such as those for a change of weights.
  double ProcessingTimeMs(std::string_view server_id) const;
  // A stream's first event came this long after its request was sent.
  void RecordFirstEvent(std::string_view server_id,
                        Milliseconds since_sent,
                        MonotonicTime now);
  // A stream from the server has received nothing for this long.
  void RecordSilence(std::string_view server_id,
                     Milliseconds silence,
                     MonotonicTime now);
  const ServerPaces& Paces() const { return this->paces; }
  // Removes the state of servers that `is_known` rejects and that have nothing
  // in flight.
  template <typename Predicate>
  void RemoveUnknown(Predicate is_known) {
    std::erase_if(this->states, [&](const auto& entry) {
      return entry.second.in_flight == 0 && !is_known(entry.first);
    });
    this->paces.RemoveUnknown(is_known);
  }

  // A full server frees a slot within about the time of one request.
  static constexpr Milliseconds kRefusalBackoff{60};
  // The backoff doubles with each consecutive failure, up to the time within
  // which a crashed server is back or its registration has expired. Attempts
  // that were in flight at a failure don't count again.
  static constexpr Milliseconds kInitialFailureBackoff{250};
  static constexpr Milliseconds kMaximumFailureBackoff{4'000};
  // A server's shortest gap covers the last one to two windows of this length.
  static constexpr Milliseconds kEventGapWindow{500};

 private:
  struct State {
    std::int64_t in_flight = 0;
    std::int64_t failures_in_row = 0;
    // Attempts that began before it failed for the same reason.
    MonotonicTime last_failure = MonotonicTime::min();
    MonotonicTime backoff_until = MonotonicTime::min();
    double mean_response_ms = 0;
    // Shortest gaps between events in the previous and the current window.
    std::optional<Milliseconds> previous_gap;
    std::optional<Milliseconds> current_gap;
    std::optional<MonotonicTime> window_start;
  };
  std::map<std::string, State, std::less<>> states;
  ServerPaces paces;
};

struct BackendQuery {
  // Candidates, minus the servers in `excluded`.
  std::span<const FleetServer* const> servers;
  std::span<const std::string> excluded;
  // Servers in this data center win over others of similar load.
  std::string_view data_center;
  // Chosen whenever it has free capacity and is not in backoff; empty for none.
  std::string_view preferred_id;
  // Requests that this process may have in flight at a server, per slot of the
  // server.
  double max_in_flight_per_slot = 1.0;
  // Choose a server in backoff rather than none.
  bool allow_backoff = false;
};

// Lower median of the known processing times of the servers, in milliseconds;
// 0 when none is known.
double MedianProcessingTimeMs(std::span<const FleetServer* const> servers,
                              const BackendLoads& loads);

// Shortest known processing time of the servers, in milliseconds; 0 when none
// is known.
double ShortestProcessingTimeMs(std::span<const FleetServer* const> servers,
                                const BackendLoads& loads);

// The server's processing time relative to the median, at least 0.5; 1 when
// either is unknown.
double RelativeSlowdown(const FleetServer& server,
                        const BackendLoads& loads,
                        double median_ms);

// Whether a stream with `events` events so far completes earlier at a server
// with `other_ms` between events than at its own with `own_ms`, including the
// cost of the migration. Assumes that as many events are still to come. False
// when either time is unknown (0).
bool ShouldMigrateStream(std::size_t events, double own_ms, double other_ms);

// The server with the lowest load relative to its slots, or null when none has
// free capacity. The capacity of a slow server is reduced by its slowdown.
const FleetServer* ChooseBackend(const BackendQuery& query,
                                 const BackendLoads& loads,
                                 MonotonicTime now,
                                 Random& random);

}  // namespace carobbank
