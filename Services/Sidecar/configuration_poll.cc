// Two lanes of long polls over the entries in rendezvous order.

#include "Sidecar/configuration_poll.h"

#include <algorithm>
#include <utility>

#include "LibMembership/membership.h"

namespace carobbank {

namespace {

constexpr Milliseconds kWait{10'000};
constexpr Milliseconds kTimeout{13'000};
constexpr Milliseconds kAfterAnswer{10};
constexpr Milliseconds kInitialBackoff{200};
constexpr Milliseconds kMaximumBackoff{3'000};
constexpr std::uint32_t kFailuresToMoveOn = 2;

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
      lane.seen.clear();
      lane.failures = 0;
    }
    if (!lane.entry.empty() && !lane.asking && !lane.timer) {
      this->Ask(index);
    }
  }
}

void ConfigurationPoll::Ask(std::size_t lane_index) {
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
      this->learned.state ? this->learned.state->offset : kNoRevision);
  parameters["seen"] = lane.seen;
  parameters["wait_ms"] = Json::Int64(kWait.count());
  parameters["instance"] = this->instance;
  lane.asking = true;
  this->peers.Call(entry->address, "configuration", std::move(parameters),
                   kTimeout,
                   [this, lane_index, asked = lane.entry,
                    token = std::weak_ptr<bool>(this->alive)](
                       const Outcome<Json::Value>& answer) {
                     if (!token.expired()) {
                       this->OnAnswer(lane_index, asked, answer);
                     }
                   });
}

void ConfigurationPoll::OnAnswer(std::size_t lane_index,
                                 const std::string& entry,
                                 const Outcome<Json::Value>& answer) {
  Lane& lane = this->lanes[lane_index];
  lane.asking = false;
  const bool current = lane.entry == entry;
  if (answer.Ok()) {
    if (current) {
      lane.failures = 0;
      lane.seen = JsonString(answer.Value(), "fingerprint");
    }
    const bool news = this->Take(answer.Value());
    // An entry that doesn't wait is asked no more often than one that does.
    const bool waited = !lane.seen.empty();
    this->AskLater(lane_index, waited ? kAfterAnswer : Milliseconds(500));
    if (news) {
      this->changed();
    }
    return;
  }
  if (current) {
    ++lane.failures;
    if (lane.failures >= kFailuresToMoveOn && this->entries.size() > kLanes) {
      ++this->rotation;
      this->AssignLanes();
    }
  }
  this->AskLater(lane_index, Backoff(lane.failures));
}

void ConfigurationPoll::AskLater(std::size_t lane_index, Milliseconds delay) {
  Lane& lane = this->lanes[lane_index];
  if (lane.asking) {
    return;
  }
  lane.timer = this->timers.CallAfter(
      delay, [this, lane_index] { this->Ask(lane_index); });
}

bool ConfigurationPoll::Take(const Json::Value& answer) {
  if (!answer.isObject()) {
    ++this->malformed;
    return false;
  }
  bool news = this->TakeDocuments(answer);
  for (const Json::Value& digest : answer["quarantine"]) {
    if (digest.isString()) {
      news |= this->learned.quarantine.insert(digest.asString()).second;
    }
  }
  const Json::Value& versions = answer["versions"];
  const std::int64_t version = JsonInteger(versions, this->model.c_str(), -1);
  const bool newer = version >= 0 && (!this->learned.version ||
                                      static_cast<std::uint64_t>(version) >
                                          *this->learned.version);
  if (newer) {
    this->learned.version = static_cast<std::uint64_t>(version);
  }
  return news || newer;
}

bool ConfigurationPoll::TakeDocuments(const Json::Value& answer) {
  const std::int64_t known =
      this->learned.state ? this->learned.state->offset : kNoRevision;
  if (JsonInteger(answer, "offset", kNoRevision) <= known) {
    return false;
  }
  const auto imported = Capture([&]() -> Result<bool> {
    BOOST_LEAF_AUTO(exported, ConfigurationExportFromJson(answer));
    return this->fold.Import(exported);
  });
  if (!imported.Ok()) {
    ++this->malformed;
    return false;
  }
  if (imported.Value()) {
    this->learned.state = this->fold.State();
  }
  return imported.Value();
}

}  // namespace carobbank
