// Simulates the platform's list of live and leaving instances.

#pragma once

#include <deque>
#include <memory>
#include <string>

#include "StandIns/stand_in.h"

namespace carobbank {

struct InstanceListSettings {
  // Age of the list in responses: the state as of lag_ms ago.
  std::int64_t lag_ms = 0;
  bool outage = false;
};

// Control commands besides the settings: "set": [rows], "upsert": row,
// "remove": id, "state": {"id", "state"}. Rows have the form of
// docs/PLATFORM.md.
class InstanceListStandIn final : public StandIn {
 public:
  InstanceListStandIn(EventLoop& loop, StandInOptions options);

 protected:
  void Handle(const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder) override;
  Result<void> ApplyControlMember(const std::string& name,
                                  const Json::Value& value) override;
  void WriteControlState(Json::Value& state) const override;
  // {"history": [{"since_ms", "version", "instances"}]}
  Json::Value Record() const override;

 private:
  struct Snapshot {
    WallMilliseconds since_ms = 0;
    std::uint64_t version = 0;
    Json::Value rows{Json::arrayValue};
  };

  // The rows of the newest snapshot without the instance `id`.
  Json::Value RowsWithout(const std::string& id) const;
  Result<void> Upsert(const Json::Value& row);
  Result<void> ChangeState(const Json::Value& change);
  void Publish(Json::Value rows);

  InstanceListSettings settings;
  // Invariant: never empty, ascending in time and version.
  std::deque<Snapshot> history;
};

}  // namespace carobbank
