// Reads the configuration by long polls from two entries at a time.

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibContract/contract.h"
#include "LibProcess/process.h"
#include "Sidecar/control_timer.h"

namespace carobbank {

// An entry as the platform's instance list names it.
struct EntryAddress {
  std::string id;
  std::string address;

  bool operator==(const EntryAddress&) const = default;
};

// The configuration received from the entries. Every field only advances: the
// offset and the version grow, and the quarantine only gains digests.
struct ReceivedConfiguration {
  std::shared_ptr<const ConfigurationState> state;
  std::set<std::string, std::less<>> quarantine;
  // Newest announced version of the model.
  std::optional<std::uint64_t> version;
};

class ConfigurationPoll {
 public:
  // `changed` is called after Received() changed.
  ConfigurationPoll(ControlTimers& timers,
                    PeerRpcClient& peers,
                    std::string instance,
                    std::string model,
                    std::function<void()> changed);
  ~ConfigurationPoll();

  // Replaces the entries to poll, and starts polling once there are any.
  void SetEntries(std::vector<EntryAddress> entries);

  const ReceivedConfiguration& Received() const { return this->received; }
  // Number of responses that were not a valid configuration.
  std::uint64_t Malformed() const { return this->malformed; }

 private:
  // One of the parallel polls; each polls a different entry.
  struct Lane {
    std::string entry;
    // Fingerprint of the entry's last response. The entry responds to the next
    // poll as soon as its fingerprint differs.
    std::string fingerprint;
    std::uint32_t failures = 0;
    bool in_flight = false;
    std::unique_ptr<Timer> timer;
  };

  static constexpr std::size_t kLanes = 2;

  void AssignLanes();
  void Poll(std::size_t lane_index);
  void OnResponse(std::size_t lane_index,
                  const std::string& entry,
                  const Outcome<Json::Value>& response);
  void PollAfter(std::size_t lane_index, Milliseconds delay);
  bool Apply(const Json::Value& response);
  bool ApplyDocuments(const Json::Value& response);

  ControlTimers& timers;
  PeerRpcClient& peers;
  std::string instance;
  std::string model;
  std::function<void()> changed;
  ConfigurationFold fold;
  ReceivedConfiguration received;
  std::vector<EntryAddress> entries;
  // How many entries the lanes have skipped because they did not respond.
  std::size_t rotation = 0;
  std::array<Lane, kLanes> lanes;
  std::uint64_t malformed = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
