// Builds the status as JSON. docs/PROTOCOL.md documents the members.

#include "Sidecar/status_report.h"

namespace carobbank {

namespace {

Json::Value ServiceJson(const ServiceReport& report) {
  Json::Value json;
  json["service"] = report.service;
  json["class"] = std::string(PriorityClassName(report.priority_class));
  json["queued"] = report.queued;
  json["running"] = report.running;
  json["served_tokens"] = Json::UInt64(report.served_tokens);
  return json;
}

Json::Value EngineJson(const EngineState& engine) {
  Json::Value json;
  json["version"] = Json::UInt64(engine.version);
  json["loading"] = engine.loading;
  json["last_order_id"] = engine.last_order_id;
  json["last_order_failed"] = engine.last_order_failed;
  json["fencing"] = Json::UInt64(engine.fencing_token);
  json["incarnation"] = Json::UInt64(engine.incarnation);
  return json;
}

}  // namespace

bool IsServing(const SidecarSettings& settings,
               const WorkDispatcher& work_dispatcher) {
  const SidecarControlSnapshot& snapshot = work_dispatcher.Snapshot();
  const bool engine_responds =
      settings.backend.kind != BackendKind::kEngine || snapshot.engine;
  return snapshot.configuration && engine_responds &&
         !work_dispatcher.Draining();
}

Json::Value BriefStatusJson(const SidecarSettings& settings,
                            const WorkDispatcher& work_dispatcher) {
  const SidecarControlSnapshot& snapshot = work_dispatcher.Snapshot();
  const WorkDispatcherLoad load = work_dispatcher.Load();
  Json::Value json;
  json["draining"] = work_dispatcher.Draining();
  json["serving"] = IsServing(settings, work_dispatcher);
  json["running"] = load.running;
  json["waiting"] = load.waiting;
  json["max_batch"] = load.max_batch;
  json["version"] =
      Json::UInt64(snapshot.engine ? snapshot.engine->version : 0);
  return json;
}

Json::Value StatusJson(const SidecarSettings& settings,
                       std::uint64_t incarnation,
                       const WorkDispatcher& work_dispatcher) {
  const SidecarControlSnapshot& snapshot = work_dispatcher.Snapshot();
  Json::Value json = BriefStatusJson(settings, work_dispatcher);
  json["instance"] = settings.place.instance;
  json["incarnation"] = Json::UInt64(incarnation);
  json["pool"] = settings.pool;
  json["data_center"] = settings.place.data_center;
  if (snapshot.engine) {
    json["engine"] = EngineJson(*snapshot.engine);
  }
  if (snapshot.target_version) {
    json["target_version"] = Json::UInt64(*snapshot.target_version);
  }
  json["order_state"] = std::string(OrderStateName(snapshot.order_state));
  json["config_offset"] = Json::Int64(
      snapshot.configuration ? snapshot.configuration->offset : kNoRevision);
  json["config_digest"] =
      snapshot.configuration ? snapshot.configuration->digest : "";
  json["services"] = Json::arrayValue;
  for (const ServiceReport& report : work_dispatcher.Services()) {
    json["services"].append(ServiceJson(report));
  }
  return json;
}

}  // namespace carobbank
