// Updates of the instance list and its lag.

#include "StandIns/instance_list_stand_in.h"

#include <utility>

namespace carobbank {

namespace {

constexpr SettingField<InstanceListSettings> kInstanceListSettings[] = {
    {"lag_ms", &InstanceListSettings::lag_ms},
    {"outage", &InstanceListSettings::outage},
};

}  // namespace

InstanceListStandIn::InstanceListStandIn(EventLoop& loop,
                                         StandInOptions options)
    : StandIn(loop, std::move(options)) {
  this->history.emplace_back();
}

void InstanceListStandIn::Handle(const HttpRequest& request,
                                 std::shared_ptr<HttpResponder> responder) {
  if (request.Path() != "/instances") {
    SendCode(*responder, 404, "unknown_path");
    return;
  }
  if (this->settings.outage) {
    SendCode(*responder, 503, "outage");
    return;
  }
  const WallMilliseconds as_of = this->clock.WallNow() - this->settings.lag_ms;
  const Snapshot* visible = &this->history.front();
  for (const Snapshot& snapshot : this->history) {
    if (snapshot.since_ms <= as_of) {
      visible = &snapshot;
    }
  }
  Json::Value body;
  body["version"] = Json::UInt64{visible->version};
  body["instances"] = visible->rows;
  responder->Send(JsonResponse(200, body));
}

Result<void> InstanceListStandIn::ApplyControlMember(const std::string& name,
                                                     const Json::Value& value) {
  if (name == "set" && value.isArray()) {
    this->Publish(value);
    return {};
  }
  if (name == "upsert") {
    return this->Upsert(value);
  }
  if (name == "remove" && value.isString()) {
    this->Publish(this->RowsWithout(value.asString()));
    return {};
  }
  if (name == "state") {
    return this->ChangeState(value);
  }
  return ApplySetting<InstanceListSettings>(kInstanceListSettings, name, value,
                                            this->settings);
}

void InstanceListStandIn::WriteControlState(Json::Value& state) const {
  WriteSettings<InstanceListSettings>(kInstanceListSettings, this->settings,
                                      state);
}

Json::Value InstanceListStandIn::Record() const {
  Json::Value history(Json::arrayValue);
  for (const Snapshot& snapshot : this->history) {
    Json::Value entry;
    entry["since_ms"] = Json::Int64{snapshot.since_ms};
    entry["version"] = Json::UInt64{snapshot.version};
    entry["instances"] = snapshot.rows;
    history.append(std::move(entry));
  }
  Json::Value result;
  result["history"] = std::move(history);
  return result;
}

Json::Value InstanceListStandIn::RowsWithout(const std::string& id) const {
  Json::Value rows(Json::arrayValue);
  for (const Json::Value& row : this->history.back().rows) {
    if (JsonString(row, "id") != id) {
      rows.append(row);
    }
  }
  return rows;
}

Result<void> InstanceListStandIn::Upsert(const Json::Value& row) {
  const std::string id = JsonString(row, "id");
  if (id.empty()) {
    return Fail(ErrorKind::kInvalidArgument, "upsert has no id",
                "send a complete row");
  }
  Json::Value rows = this->RowsWithout(id);
  rows.append(row);
  this->Publish(std::move(rows));
  return {};
}

Result<void> InstanceListStandIn::ChangeState(const Json::Value& change) {
  const std::string id = JsonString(change, "id");
  Json::Value rows = this->history.back().rows;
  for (Json::Value& row : rows) {
    if (JsonString(row, "id") == id) {
      row["state"] = JsonString(change, "state");
      this->Publish(std::move(rows));
      return {};
    }
  }
  return Fail(ErrorKind::kInvalidArgument, "no instance has the id " + id,
              "add it with upsert first");
}

void InstanceListStandIn::Publish(Json::Value rows) {
  Snapshot snapshot;
  snapshot.since_ms = this->clock.WallNow();
  snapshot.version = this->history.back().version + 1;
  snapshot.rows = std::move(rows);
  this->history.push_back(std::move(snapshot));
}

}  // namespace carobbank
