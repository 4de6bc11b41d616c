// Executions and injected faults of the plain service stand-in.

#include "StandIns/plain_service_stand_in.h"

#include <utility>

namespace carobbank {

namespace {

constexpr SettingField<PlainServiceSettings> kPlainServiceSettings[] = {
    {"key_header", &PlainServiceSettings::key_header},
    {"work_ms", &PlainServiceSettings::work_ms},
    {"fail_requests", &PlainServiceSettings::fail_requests},
    {"lose_answers", &PlainServiceSettings::lose_answers},
    {"lose_requests", &PlainServiceSettings::lose_requests},
    {"refuse_requests", &PlainServiceSettings::refuse_requests},
    {"crash_marker", &PlainServiceSettings::crash_marker},
};

std::string HeaderText(const HttpRequest& request, std::string_view name) {
  return std::string(FindHeader(request.headers, name).value_or(""));
}

}  // namespace

Result<void> PlainServiceStandIn::ApplyControlMember(const std::string& name,
                                                     const Json::Value& value) {
  return ApplySetting<PlainServiceSettings>(kPlainServiceSettings, name, value,
                                            this->settings);
}

void PlainServiceStandIn::WriteControlState(Json::Value& state) const {
  WriteSettings<PlainServiceSettings>(kPlainServiceSettings, this->settings,
                                      state);
}

Json::Value PlainServiceStandIn::Record() const {
  Json::Value result;
  result["executions"] = Json::Value(Json::arrayValue);
  result["by_key"] = Json::Value(Json::objectValue);
  result["by_attempt"] = Json::Value(Json::objectValue);
  for (const Execution& execution : this->executions) {
    Json::Value entry;
    entry["key"] = execution.key;
    entry["attempt"] = execution.attempt;
    entry["method"] = execution.method;
    entry["target"] = execution.target;
    entry["body_digest"] = execution.body_digest;
    entry["time_ms"] = Json::Int64{execution.time_ms};
    entry["ended"] = execution.state;
    result["executions"].append(std::move(entry));
    Json::Value& by_key = result["by_key"][execution.key];
    by_key = by_key.asInt64() + 1;
    Json::Value& by_attempt = result["by_attempt"][execution.attempt];
    by_attempt = by_attempt.asInt64() + 1;
  }
  return result;
}

void PlainServiceStandIn::OnDown() {
  for (std::size_t index = this->first_of_incarnation;
       index < this->executions.size(); ++index) {
    if (this->executions[index].state == "running") {
      this->executions[index].state = "crashed";
    }
  }
  this->first_of_incarnation = this->executions.size();
}

void PlainServiceStandIn::Handle(const HttpRequest& request,
                                 std::shared_ptr<HttpResponder> responder) {
  if (ConsumeFault(this->settings.lose_requests)) {
    responder->Abort();
    return;
  }
  if (ConsumeFault(this->settings.refuse_requests)) {
    SendCode(*responder, 503, "refused");
    return;
  }
  const std::size_t execution = this->StartExecution(request);
  if (this->ContainsCrashMarker(request)) {
    this->Crash();
    return;
  }
  this->After(Milliseconds(this->settings.work_ms),
              [this, execution, responder = std::move(responder)] {
                this->FinishExecution(execution, *responder);
              });
}

std::size_t PlainServiceStandIn::StartExecution(const HttpRequest& request) {
  Execution execution;
  execution.key = HeaderText(request, this->settings.key_header);
  execution.attempt = HeaderText(request, "X-Carobbank-Attempt");
  execution.method = request.method;
  execution.target = request.target;
  execution.body_digest = Sha256Hex(request.body);
  execution.time_ms = this->clock.WallNow();
  this->executions.push_back(std::move(execution));
  return this->executions.size() - 1;
}

void PlainServiceStandIn::FinishExecution(std::size_t index,
                                          HttpResponder& responder) {
  Execution& execution = this->executions[index];
  if (execution.state != "running") {
    return;
  }
  if (ConsumeFault(this->settings.lose_answers)) {
    execution.state = "lost";
    responder.Abort();
    return;
  }
  if (ConsumeFault(this->settings.fail_requests)) {
    execution.state = "failed";
    SendCode(responder, 500, "failed");
    return;
  }
  execution.state = "answered";
  Json::Value body;
  body["method"] = execution.method;
  body["target"] = execution.target;
  body["body_digest"] = execution.body_digest;
  body["execution"] = Json::UInt64{index};
  responder.Send(JsonResponse(200, body));
}

bool PlainServiceStandIn::ContainsCrashMarker(
    const HttpRequest& request) const {
  const std::string& marker = this->settings.crash_marker;
  if (marker.empty()) {
    return false;
  }
  return request.body.find(marker) != std::string::npos ||
         request.target.find(marker) != std::string::npos;
}

}  // namespace carobbank
