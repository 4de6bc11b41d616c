// Executions and faults of the plain service's stand-in.

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

Result<void> PlainServiceStandIn::ControlMember(const std::string& name,
                                                const Json::Value& value) {
  return ApplySetting<PlainServiceSettings>(kPlainServiceSettings, name, value,
                                            this->settings);
}

void PlainServiceStandIn::ShowControl(Json::Value& shown) const {
  ShowSettings<PlainServiceSettings>(kPlainServiceSettings, this->settings,
                                     shown);
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
    entry["ended"] = execution.ended;
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
    if (this->executions[index].ended == "running") {
      this->executions[index].ended = "crashed";
    }
  }
  this->first_of_incarnation = this->executions.size();
}

void PlainServiceStandIn::Handle(const HttpRequest& request,
                                 std::shared_ptr<HttpResponder> responder) {
  if (TakeOne(this->settings.lose_requests)) {
    responder->Abort();
    return;
  }
  if (TakeOne(this->settings.refuse_requests)) {
    SendCode(*responder, 503, "refused");
    return;
  }
  const std::size_t execution = this->Execute(request);
  if (this->HoldsCrashMarker(request)) {
    this->Crash();
    return;
  }
  this->After(Milliseconds(this->settings.work_ms),
              [this, execution, responder = std::move(responder)] {
                this->End(execution, *responder);
              });
}

std::size_t PlainServiceStandIn::Execute(const HttpRequest& request) {
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

void PlainServiceStandIn::End(std::size_t index, HttpResponder& responder) {
  Execution& execution = this->executions[index];
  if (execution.ended != "running") {
    return;
  }
  if (TakeOne(this->settings.lose_answers)) {
    execution.ended = "lost";
    responder.Abort();
    return;
  }
  if (TakeOne(this->settings.fail_requests)) {
    execution.ended = "failed";
    SendCode(responder, 500, "failed");
    return;
  }
  execution.ended = "answered";
  Json::Value answer;
  answer["method"] = execution.method;
  answer["target"] = execution.target;
  answer["body_digest"] = execution.body_digest;
  answer["execution"] = Json::UInt64{index};
  responder.Send(JsonResponse(200, answer));
}

bool PlainServiceStandIn::HoldsCrashMarker(const HttpRequest& request) const {
  const std::string& marker = this->settings.crash_marker;
  if (marker.empty()) {
    return false;
  }
  return request.body.find(marker) != std::string::npos ||
         request.target.find(marker) != std::string::npos;
}

}  // namespace carobbank
