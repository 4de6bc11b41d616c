// Polls the other gateways while this one can't reach the log: whether they
// still reach it, a newer configuration, and, for a gateway that has just
// started, their newest records.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gateway_environment.h"

namespace carobbank {

// A gateway's response to its peers.
struct PeerState {
  // A read of the log has succeeded within `kFreshness`.
  bool reaches_log = false;
  // Newest records of the operator and of the servers; empty when not requested
  // or when the peer has none.
  std::vector<KeyedLogRecord> operator_records;
  std::vector<KeyedLogRecord> server_records;
  // All known crashes, and those that the log has not confirmed yet.
  std::vector<KeyedRecord> known_records;
  std::vector<KeyedRecord> unconfirmed_records;

  // A waiting read and its response take up to two seconds.
  static constexpr Milliseconds kFreshness{2'500};
};

std::string EncodePeerState(const PeerState& state);
// Empty when the text is malformed.
std::optional<PeerState> DecodePeerState(std::string_view text);

struct PeerStatePollerHandlers {
  // Called when this gateway becomes, or stops being, cut off from a log that
  // others still reach.
  std::function<void(bool cut_off)> on_cut_off_changed;
  // Receives a peer's records, requested while `wants_records` returns true.
  std::function<void(const PeerState&)> on_records;
  std::function<bool()> wants_records;
  // The offset of the newest known configuration; nothing if no newer one is
  // wanted from a peer. May be empty.
  std::function<std::optional<std::uint64_t>()> configuration_offset;
  // Receives a peer's configuration whose offset is higher. Called with each of
  // the operator's records after RequestConfigurations().
  std::function<void(const KeyedLogRecord&)> on_newer_configuration;
  // Receives a peer's crashes; may be empty.
  std::function<void(const PeerState&)> on_request_records;
};

class PeerStatePoller {
 public:
  // `peers` are addresses such as "10.1.0.10:8166"; they may be stale.
  PeerStatePoller(GatewayEnvironment& environment,
                  std::vector<std::string> peers,
                  PeerStatePollerHandlers handlers);
  ~PeerStatePoller();
  PeerStatePoller(const PeerStatePoller&) = delete;
  PeerStatePoller& operator=(const PeerStatePoller&) = delete;

  // Starts polling when the log becomes unreachable, and stops when the log is
  // reachable again.
  void SetLogUnreachable(bool unreachable);
  bool CutOff() const { return this->cut_off; }
  // Requests the peers' configurations once, whether or not the log is
  // reachable; they go to `on_newer_configuration` with any offset.
  void RequestConfigurations();

  static constexpr std::string_view kPath = "/peer/state";
  // Query parameters: all records are requested, or the configuration if its
  // offset is higher than the parameter.
  static constexpr std::string_view kRecordsQuery = "records";
  static constexpr std::string_view kConfigurationQuery = "configuration_after";

 private:
  void Poll();
  std::string Query() const;
  void Fetch(const std::string& peer,
             const std::string& query,
             std::function<void(const Outcome<HttpResponse>&)> on_response);
  void ReceiveRecords(const PeerState& state);
  void OnResponse(std::uint64_t poll_round,
                  const Outcome<HttpResponse>& outcome);
  void EndRound();

  GatewayEnvironment& environment;
  std::vector<std::string> peers;
  PeerStatePollerHandlers handlers;
  bool log_unreachable = false;
  bool cut_off = false;
  // Number of the current polling round.
  std::uint64_t round = 0;
  std::size_t pending = 0;
  std::size_t responses = 0;
  bool peer_reaches_log = false;
  // Consecutive rounds that indicate that this gateway is cut off.
  int isolated_rounds = 0;
  std::unique_ptr<Timer> timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
