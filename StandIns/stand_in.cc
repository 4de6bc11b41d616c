// Dispatch, control and the faults that all roles share.

#include "StandIns/stand_in.h"

#include <cstdlib>
#include <utility>

#include "StandIns/guarded_responder.h"

namespace carobbank {

namespace {

constexpr int kCrashExitStatus = 70;
constexpr std::size_t kOpenAnswersBeforeCleaning = 1'024;
constexpr Milliseconds kListenRetryDelay{100};

constexpr SettingField<CommonSettings> kCommonSettings[] = {
    {"delay_ms", &CommonSettings::delay_ms},
    {"silent", &CommonSettings::silent},
    {"crash_down_ms", &CommonSettings::crash_down_ms},
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
  auto guarded = this->Guard(request, std::move(responder));
  if (silenced) {
    guarded->Silence();
    this->silenced_answers.push_back(std::move(guarded));
    return;
  }
  if (this->common.delay_ms == 0) {
    this->Handle(request, std::move(guarded));
    return;
  }
  this->After(
      Milliseconds(this->common.delay_ms),
      [this, request = std::move(request), guarded = std::move(guarded)] {
        this->Handle(request, guarded);
      });
}

std::shared_ptr<GuardedResponder> StandIn::Guard(
    const HttpRequest& request,
    std::shared_ptr<HttpResponder> responder) {
  this->known_peers.insert(request.peer);
  if (this->open_answers.size() >= kOpenAnswersBeforeCleaning) {
    std::erase_if(this->open_answers,
                  [](const auto& answer) { return answer.expired(); });
  }
  auto guarded =
      std::make_shared<GuardedResponder>(std::move(responder), request.peer);
  this->open_answers.push_back(guarded);
  return guarded;
}

void StandIn::HandleControl(const HttpRequest& request,
                            HttpResponder& responder) {
  if (request.method == "POST") {
    const auto taken = Capture([&]() -> Result<bool> {
      BOOST_LEAF_AUTO(members, ParseJson(request.body));
      BOOST_LEAF_CHECK(this->Control(members));
      return true;
    });
    if (!taken.Ok()) {
      SendCode(responder, 400, taken.GetError().Text());
      return;
    }
  }
  Json::Value shown(Json::objectValue);
  ShowSettings<CommonSettings>(kCommonSettings, this->common, shown);
  this->ShowControl(shown);
  responder.Send(JsonResponse(200, shown));
}

Result<void> StandIn::Control(const Json::Value& members) {
  if (!members.isObject()) {
    return Fail(ErrorKind::kInvalidArgument, "control is no JSON object",
                "send settings and faults as one object");
  }
  for (const std::string& name : members.getMemberNames()) {
    BOOST_LEAF_CHECK(this->ControlOne(name, members[name]));
  }
  return {};
}

Result<void> StandIn::ControlOne(const std::string& name,
                                 const Json::Value& value) {
  if (name == "silence_open_connections") {
    this->SilenceOpenConnections();
    return {};
  }
  if (name == "crash") {
    this->After(Milliseconds(0), [this] { this->Crash(); });
    return {};
  }
  for (const SettingField<CommonSettings>& field : kCommonSettings) {
    if (name == field.name) {
      return ApplySetting<CommonSettings>(kCommonSettings, name, value,
                                          this->common);
    }
  }
  return this->ControlMember(name, value);
}

void StandIn::SilenceOpenConnections() {
  this->silenced_peers = this->known_peers;
  for (const auto& answer : this->open_answers) {
    if (auto guarded = answer.lock()) {
      guarded->Silence();
      this->silenced_answers.push_back(std::move(guarded));
    }
  }
  this->open_answers.clear();
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
  for (const auto& answer : std::exchange(this->open_answers, {})) {
    if (const auto guarded = answer.lock()) {
      guarded->Abort();
    }
  }
  for (const auto& guarded : std::exchange(this->silenced_answers, {})) {
    guarded->Abort();
  }
  this->known_peers.clear();
  this->silenced_peers.clear();
  this->OnDown();
  // The server may be running the request that crashed it.
  this->After(Milliseconds(0), [this] { this->server.reset(); });
  this->After(Milliseconds(this->common.crash_down_ms),
              [this] { this->ComeBack(); });
}

void StandIn::ComeBack() {
  const auto listening = Capture([this]() -> Result<bool> {
    BOOST_LEAF_CHECK(this->Listen());
    return true;
  });
  if (!listening.Ok()) {
    this->After(kListenRetryDelay, [this] { this->ComeBack(); });
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
