// Dispatches peers' calls and serves the configuration long poll.

#include "peer_methods.h"

#include <algorithm>
#include <utility>

namespace carobbank {

namespace {

constexpr std::int64_t kMaxWaitMs = 10'000;

}  // namespace

PeerMethods::PeerMethods(EventLoop& loop,
                         std::shared_ptr<const EntryControlSnapshot>& control,
                         std::function<StepService&(std::string_view)> steps,
                         PeerCrashHandlers crash_handlers)
    : loop(loop), control(control), steps(std::move(steps)) {
  this->dispatcher.Register(
      "report_crash", [crash_handlers](const Json::Value& parameters) {
        crash_handlers.on_crash(ServerCrashFromJson(parameters));
        return RpcOutcome(Json::Value(Json::objectValue));
      });
  this->dispatcher.Register(
      "report_cleared", [crash_handlers](const Json::Value& parameters) {
        crash_handlers.on_cleared(JsonString(parameters, "digest"));
        return RpcOutcome(Json::Value(Json::objectValue));
      });
  this->dispatcher.RegisterDeferred(
      "configuration",
      [this](const Json::Value& parameters, RpcResponseCallback reply) {
        this->Configuration(parameters, std::move(reply));
      });
  this->dispatcher.RegisterDeferred(
      "step_owner",
      [this](const Json::Value& parameters, RpcResponseCallback reply) {
        this->StepOwner(parameters, std::move(reply));
      });
}

void PeerMethods::Handle(const HttpRequest& request,
                         std::shared_ptr<HttpResponder> responder) {
  this->dispatcher.Handle(
      request.body, [responder = std::move(responder)](std::string text) {
        HttpResponse response;
        response.body = std::move(text);
        SetHeader(response.headers, "Content-Type", "application/json");
        responder->Send(std::move(response));
      });
}

std::string PeerMethods::Fingerprint() const {
  const EntryControlSnapshot& snapshot = *this->control;
  std::string text = std::to_string(snapshot.configuration->offset);
  for (const ModelVersion& version : snapshot.versions) {
    text += "|" + version.model + ":" + std::to_string(version.newest);
  }
  text += "|" + std::to_string(snapshot.quarantined.size());
  return text;
}

Json::Value PeerMethods::ConfigurationJson(std::int64_t after_offset) const {
  const EntryControlSnapshot& snapshot = *this->control;
  Json::Value value = snapshot.configuration_export;
  if (after_offset >= snapshot.configuration->offset) {
    value.removeMember("documents");
  }
  value["fingerprint"] = this->Fingerprint();
  value["quarantine"] = Json::arrayValue;
  for (const std::string& digest : snapshot.quarantined) {
    value["quarantine"].append(digest);
  }
  value["crashes"] = Json::arrayValue;
  for (const SharedCrash& shared : snapshot.crashes) {
    value["crashes"].append(ServerCrashToJson(shared.crash));
  }
  value["versions"] = Json::objectValue;
  for (const ModelVersion& version : snapshot.versions) {
    value["versions"][version.model] = Json::UInt64(version.newest);
  }
  return value;
}

void PeerMethods::Configuration(const Json::Value& parameters,
                                RpcResponseCallback reply) {
  // `seen` is the fingerprint of an earlier response; callers that have only an
  // offset send `after_offset`.
  const std::string seen = JsonString(parameters, "seen");
  const std::int64_t after = JsonInteger(parameters, "after_offset", -1);
  const std::int64_t wait = std::clamp<std::int64_t>(
      JsonInteger(parameters, "wait_ms"), 0, kMaxWaitMs);
  const bool has_changes = seen.empty()
                               ? this->control->configuration->offset > after
                               : seen != this->Fingerprint();
  if (has_changes || wait == 0 || this->draining) {
    reply(this->ConfigurationJson(after));
    return;
  }
  auto poll = std::make_shared<LongPoll>();
  poll->seen = this->Fingerprint();
  poll->after_offset = after;
  poll->reply = std::move(reply);
  poll->timer = this->loop.CallAfter(
      Milliseconds(wait), [this, weak = std::weak_ptr<LongPoll>(poll)] {
        if (const auto expired = weak.lock(); expired) {
          std::erase(this->polls, expired);
          expired->reply(this->ConfigurationJson(expired->after_offset));
        }
      });
  this->polls.push_back(std::move(poll));
}

void PeerMethods::Drain() {
  this->draining = true;
  this->OnSnapshot();
}

void PeerMethods::OnSnapshot() {
  const std::string fingerprint = this->Fingerprint();
  std::vector<std::shared_ptr<LongPoll>> ready;
  std::erase_if(this->polls, [&](const std::shared_ptr<LongPoll>& poll) {
    if (poll->seen == fingerprint && !this->draining) {
      return false;
    }
    ready.push_back(poll);
    return true;
  });
  for (const std::shared_ptr<LongPoll>& poll : ready) {
    poll->timer->Cancel();
    poll->reply(this->ConfigurationJson(poll->after_offset));
  }
}

void PeerMethods::StepOwner(const Json::Value& parameters,
                            RpcResponseCallback reply) {
  const std::string service = JsonString(parameters, "service");
  const bool known = this->control->configuration->services.contains(service);
  if (!known) {
    Json::Value result;
    result["working"] = false;
    reply(std::move(result));
    return;
  }
  this->steps(service).CheckOwnership(JsonString(parameters, "request_id"),
                                      [reply](bool working) {
                                        Json::Value result;
                                        result["working"] = working;
                                        reply(std::move(result));
                                      });
}

}  // namespace carobbank
