// Two parallel lanes of long polls, over the entries in rendezvous order.

#include "Sidecar/configuration_poll.h"

#include <algorithm>
#include <utility>

#include "LibMembership/membership.h"

namespace carobbank {

namespace {

constexpr Milliseconds kLongPollWait{10'000};
constexpr Milliseconds kCallTimeout{13'000};
constexpr Milliseconds kDelayAfterResponse{10};
constexpr Milliseconds kInitialBackoff{200};
constexpr Milliseconds kMaximumBackoff{3'000};
constexpr std::uint32_t kFailuresToSwitchEntry = 2;

Milliseconds Backoff(std::uint32_t failures) {
  const std::uint32_t doublings = std::min<std::uint32_t>(failures, 8);
  return std::min<Milliseconds>(kInitialBackoff * (1 << doublings),
                                kMaximumBackoff);
}

}  // namespace

ConfigurationPoll::ConfigurationPoll(ControlTimers& timers,
                                     PeerRpcClient& peers,
                                     std::string instance,
                                     std::string model,
                                     std::function<void()> changed)
    : timers(timers),
      peers(peers),
      instance(std::move(instance)),
      model(std::move(model)),
      changed(std::move(changed)) {}

ConfigurationPoll::~ConfigurationPoll() = default;

void ConfigurationPoll::SetEntries(std::vector<EntryAddress> entries) {
  if (this->entries == entries) {
    return;
  }
  this->entries = std::move(entries);
  this->AssignLanes();
}

void ConfigurationPoll::AssignLanes() {
  std::vector<std::string_view> ids;
  for (const EntryAddress& entry : this->entries) {
    ids.push_back(entry.id);
  }
  const auto ranked = RendezvousTop(this->instance, ids, ids.size());
  for (std::size_t index = 0; index < kLanes; ++index) {
    Lane& lane = this->lanes[index];
    const std::string next(
        index < ranked.size() ? ranked[(this->rotation + index) % ranked.size()]
                              : "");
    if (next != lane.entry) {
      lane.entry = next;
      lane.fingerprint.clear();
      lane.failures = 0;
    }
    if (!lane.entry.empty() && !lane.in_flight && !lane.timer) {
      this->Poll(index);
    }
  }
}

void ConfigurationPoll::Poll(std::size_t lane_index) {
  Lane& lane = this->lanes[lane_index];
  lane.timer.reset();
  const auto entry = std::find_if(
      this->entries.begin(), this->entries.end(),
      [&](const EntryAddress& known) { return known.id == lane.entry; });
  if (entry == this->entries.end()) {
    return;
  }
  Json::Value parameters;
  parameters["after_offset"] = Json::Int64(
      this->received.state ? this->received.state->offset : kNoRevision);
  parameters["seen"] = lane.fingerprint;
  parameters["wait_ms"] = Json::Int64(kLongPollWait.count());
  parameters["instance"] = this->instance;
  lane.in_flight = true;
  this->peers.Call(entry->address, "configuration", std::move(parameters),
                   kCallTimeout,
                   [this, lane_index, polled_entry = lane.entry,
                    token = std::weak_ptr<bool>(this->alive)](
                       const Outcome<Json::Value>& response) {
                     if (!token.expired()) {
                       this->OnResponse(lane_index, polled_entry, response);
                     }
                   });
}

void ConfigurationPoll::OnResponse(std::size_t lane_index,
                                   const std::string& entry,
                                   const Outcome<Json::Value>& response) {
  Lane& lane = this->lanes[lane_index];
  lane.in_flight = false;
  const bool current = lane.entry == entry;
  if (response.Ok()) {
    if (current) {
      lane.failures = 0;
      lane.fingerprint = JsonString(response.Value(), "fingerprint");
    }
    const bool updated = this->Apply(response.Value());
    // An entry that sends no fingerprint responds without waiting, so its lane
    // polls at a fixed interval.
    const bool waited = !lane.fingerprint.empty();
    this->PollAfter(lane_index,
                    waited ? kDelayAfterResponse : Milliseconds(500));
    if (updated) {
      this->changed();
    }
    return;
  }
  if (current) {
    ++lane.failures;
    if (lane.failures >= kFailuresToSwitchEntry &&
        this->entries.size() > kLanes) {
      ++this->rotation;
      this->AssignLanes();
    }
  }
  this->PollAfter(lane_index, Backoff(lane.failures));
}

void ConfigurationPoll::PollAfter(std::size_t lane_index, Milliseconds delay) {
  Lane& lane = this->lanes[lane_index];
  if (lane.in_flight) {
    return;
  }
  lane.timer = this->timers.CallAfter(
      delay, [this, lane_index] { this->Poll(lane_index); });
}

bool ConfigurationPoll::Apply(const Json::Value& response) {
  if (!response.isObject()) {
    ++this->malformed;
    return false;
  }
  bool updated = this->ApplyDocuments(response);
  for (const Json::Value& digest : response["quarantine"]) {
    if (digest.isString()) {
      updated |= this->received.quarantine.insert(digest.asString()).second;
    }
  }
  const Json::Value& versions = response["versions"];
  const std::int64_t version = JsonInteger(versions, this->model.c_str(), -1);
  const bool newer = version >= 0 && (!this->received.version ||
                                      static_cast<std::uint64_t>(version) >
                                          *this->received.version);
  if (newer) {
    this->received.version = static_cast<std::uint64_t>(version);
  }
  return updated || newer;
}

bool ConfigurationPoll::ApplyDocuments(const Json::Value& response) {
  const std::int64_t known =
      this->received.state ? this->received.state->offset : kNoRevision;
  if (JsonInteger(response, "offset", kNoRevision) <= known) {
    return false;
  }
  const auto imported = Capture([&]() -> Result<bool> {
    BOOST_LEAF_AUTO(exported, ConfigurationExportFromJson(response));
    return this->fold.Import(exported);
  });
  if (!imported.Ok()) {
    ++this->malformed;
    return false;
  }
  if (imported.Value()) {
    this->received.state = this->fold.State();
  }
  return imported.Value();
}

}  // namespace carobbank
