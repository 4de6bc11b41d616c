// Dispatch, control and the faults common to all roles.

#include "StandIns/stand_in.h"

#include <cstdlib>
#include <utility>

#include "StandIns/fault_injecting_responder.h"

namespace carobbank {

namespace {

constexpr int kCrashExitStatus = 70;
constexpr std::size_t kOpenRespondersBeforePruning = 1'024;
constexpr Milliseconds kListenRetryDelay{100};

constexpr SettingField<CommonStandInSettings> kCommonSettings[] = {
    {"delay_ms", &CommonStandInSettings::delay_ms},
    {"silent", &CommonStandInSettings::silent},
    {"crash_down_ms", &CommonStandInSettings::crash_down_ms},
};

}  // namespace

void SendCode(HttpResponder& responder, int status, std::string_view code) {
  Json::Value body;
  body["code"] = std::string(code);
  HttpResponse response = JsonResponse(status, body);
  if (status == 429 || status == 503) {
    SetHeader(response.headers, "Retry-After", "1");
  }
  responder.Send(std::move(response));
}

StandIn::StandIn(EventLoop& loop, StandInOptions options)
    : loop(loop),
      options(std::move(options)),
      random(this->options.seed),
      port(this->options.port) {}

StandIn::~StandIn() = default;

Result<void> StandIn::Listen() {
  HttpServerOptions server_options;
  server_options.address = this->options.address;
  server_options.port = this->port;
  BOOST_LEAF_ASSIGN(
      this->server,
      HttpServer::Create(this->loop, server_options,
                         [this](HttpRequest request,
                                std::shared_ptr<HttpResponder> responder) {
                           this->Dispatch(std::move(request),
                                          std::move(responder));
                         }));
  this->port = this->server->Port();
  return {};
}

void StandIn::Dispatch(HttpRequest request,
                       std::shared_ptr<HttpResponder> responder) {
  if (this->down) {
    responder->Abort();
    return;
  }
  if (request.Path() == "/control") {
    this->HandleControl(request, *responder);
    return;
  }
  if (request.Path() == "/record") {
    responder->Send(JsonResponse(200, this->Record()));
    return;
  }
  const bool silenced =
      this->common.silent || this->silenced_peers.contains(request.peer);
  auto wrapped = this->Wrap(request, std::move(responder));
  if (silenced) {
    wrapped->Silence();
    this->silenced_responders.push_back(std::move(wrapped));
    return;
  }
  if (this->common.delay_ms == 0) {
    this->Handle(request, std::move(wrapped));
    return;
  }
  this->After(
      Milliseconds(this->common.delay_ms),
      [this, request = std::move(request), wrapped = std::move(wrapped)] {
        this->Handle(request, wrapped);
      });
}

std::shared_ptr<FaultInjectingResponder> StandIn::Wrap(
    const HttpRequest& request,
    std::shared_ptr<HttpResponder> responder) {
  this->known_peers.insert(request.peer);
  if (this->open_responders.size() >= kOpenRespondersBeforePruning) {
    std::erase_if(this->open_responders,
                  [](const auto& candidate) { return candidate.expired(); });
  }
  auto wrapped = std::make_shared<FaultInjectingResponder>(std::move(responder),
                                                           request.peer);
  this->open_responders.push_back(wrapped);
  return wrapped;
}

void StandIn::HandleControl(const HttpRequest& request,
                            HttpResponder& responder) {
  if (request.method == "POST") {
    const auto applied = Capture([&]() -> Result<bool> {
      BOOST_LEAF_AUTO(members, ParseJson(request.body));
      BOOST_LEAF_CHECK(this->ApplyControl(members));
      return true;
    });
    if (!applied.Ok()) {
      SendCode(responder, 400, applied.GetError().Text());
      return;
    }
  }
  Json::Value state(Json::objectValue);
  WriteSettings<CommonStandInSettings>(kCommonSettings, this->common, state);
  this->WriteControlState(state);
  responder.Send(JsonResponse(200, state));
}

Result<void> StandIn::ApplyControl(const Json::Value& members) {
  if (!members.isObject()) {
    return Fail(ErrorKind::kInvalidArgument,
                "control request is not a JSON object",
                "send settings and faults as one object");
  }
  for (const std::string& name : members.getMemberNames()) {
    BOOST_LEAF_CHECK(this->DispatchControlMember(name, members[name]));
  }
  return {};
}

Result<void> StandIn::DispatchControlMember(const std::string& name,
                                            const Json::Value& value) {
  if (name == "silence_open_connections") {
    this->SilenceOpenConnections();
    return {};
  }
  if (name == "crash") {
    this->After(Milliseconds(0), [this] { this->Crash(); });
    return {};
  }
  for (const SettingField<CommonStandInSettings>& field : kCommonSettings) {
    if (name == field.name) {
      return ApplySetting<CommonStandInSettings>(kCommonSettings, name, value,
                                                 this->common);
    }
  }
  return this->ApplyControlMember(name, value);
}

void StandIn::SilenceOpenConnections() {
  this->silenced_peers = this->known_peers;
  for (const auto& responder : this->open_responders) {
    if (auto wrapped = responder.lock()) {
      wrapped->Silence();
      this->silenced_responders.push_back(std::move(wrapped));
    }
  }
  this->open_responders.clear();
}

void StandIn::Crash() {
  if (this->options.exits_on_crash) {
    std::_Exit(kCrashExitStatus);
  }
  if (this->down) {
    return;
  }
  this->down = true;
  this->server->StopAccepting();
  for (const auto& responder : std::exchange(this->open_responders, {})) {
    if (const auto wrapped = responder.lock()) {
      wrapped->Abort();
    }
  }
  for (const auto& wrapped : std::exchange(this->silenced_responders, {})) {
    wrapped->Abort();
  }
  this->known_peers.clear();
  this->silenced_peers.clear();
  this->OnDown();
  // The server may still be in the handler of the request that caused the
  // crash.
  this->After(Milliseconds(0), [this] { this->server.reset(); });
  this->After(Milliseconds(this->common.crash_down_ms),
              [this] { this->Restart(); });
}

void StandIn::Restart() {
  const auto listening = Capture([this]() -> Result<bool> {
    BOOST_LEAF_CHECK(this->Listen());
    return true;
  });
  if (!listening.Ok()) {
    this->After(kListenRetryDelay, [this] { this->Restart(); });
    return;
  }
  this->OnUp();
  this->down = false;
}

void StandIn::After(Milliseconds delay, std::function<void()> task) {
  const std::uint64_t id = this->next_timer++;
  this->timers[id] =
      this->loop.CallAfter(delay, [this, id, task = std::move(task)] {
        this->timers.erase(id);
        task();
      });
}

}  // namespace carobbank
