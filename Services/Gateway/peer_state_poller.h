// What gateways ask each other while one of them has lost the log: whether the
// others still reach it, and what they know, for one that has just started.

#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "gateway_environment.h"

namespace carobbank {

// A gateway's answer to its peers.
struct PeerState {
  // It has heard from the log within `kFreshness`.
  bool reaches_log = false;
  // Newest records of the operator and of the servers; empty when not asked for
  // or not known.
  std::vector<KeyedLogRecord> operator_records;
  std::vector<KeyedLogRecord> server_records;

  // A waiting read and its answer take up to two seconds.
  static constexpr Milliseconds kFreshness{2'500};
};

std::string EncodePeerState(const PeerState& state);
// Nothing when the text can't be read.
std::optional<PeerState> DecodePeerState(std::string_view text);

struct PeerStatePollerHandlers {
  // Whether this gateway has lost a log that others still reach.
  std::function<void(bool cut_off)> on_cut_off_changed;
  // A peer's records, asked for while `wants_records` said so.
  std::function<void(const PeerState&)> on_records;
  std::function<bool()> wants_records;
};

class PeerStatePoller {
 public:
  // `peers`: "10.1.0.10:8166"; addresses may be stale.
  PeerStatePoller(GatewayEnvironment& environment,
                  std::vector<std::string> peers,
                  PeerStatePollerHandlers handlers);
  ~PeerStatePoller();
  PeerStatePoller(const PeerStatePoller&) = delete;
  PeerStatePoller& operator=(const PeerStatePoller&) = delete;

  // The log can't be reached any more, or is back.
  void SetLogUnreachable(bool lost);
  bool CutOff() const { return this->cut_off; }

  static constexpr std::string_view kPath = "/peer/state";

 private:
  void Ask();
  void Asked(std::uint64_t round, const Outcome<HttpResponse>& outcome);
  void EndRound();

  GatewayEnvironment& environment;
  std::vector<std::string> peers;
  PeerStatePollerHandlers handlers;
  bool lost = false;
  bool cut_off = false;
  // The round of questions under way.
  std::uint64_t round = 0;
  std::size_t open = 0;
  std::size_t answered = 0;
  bool reached = false;
  // Rounds in a row that speak for being cut off.
  int rounds_alone = 0;
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
