// Asks homes for permits, and answers the gateways that ask this one.

#include "send_permits.h"

#include <algorithm>
#include <utility>

#include "LibProcess/process.h"
#include "peer_request.h"
#include "permit_messages.h"
#include "server_limits.h"

namespace carobbank {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;

// A home responds within milliseconds.
constexpr Milliseconds kHomeTimeout{250};
// An answer that took longer was held up by a suspension of this machine.
constexpr Milliseconds kMaxAnswerTime{1'000};
// A home that did not answer is not asked again for this long.
constexpr Milliseconds kSilentTime{200};
// While nothing is known about the home of a server or about other gateways.
constexpr Milliseconds kUnknownHomeWait{250};
// Servers whose homes are asked about one call.
constexpr int kMaxHomesAsked = 3;
// Of the server's limit, over all gateways whose home is silent: the home may
// still answer others, and grants up to the limit.
constexpr double kShareWithoutHome = 0.5;

}  // namespace

SendPermits::SendPermits(GatewayEnvironment& environment,
                         PermitHomes homes,
                         std::function<void()> on_owed_change)
    : environment(environment),
      homes(std::move(homes)),
      on_owed_change(std::move(on_owed_change)) {}

SendPermits::~SendPermits() {
  *this->alive = false;
  for (const AcquisitionPointer& acquisition : this->waiting) {
    acquisition->timer.reset();
  }
}

bool SendPermits::NeedsPermit(const FleetServer& server) const {
  return this->environment.limits.Find(server) != nullptr;
}

void SendPermits::Acquire(std::vector<std::string> server_ids,
                          Milliseconds longest_wait,
                          std::function<void(const PermitOutcome&)> callback) {
  auto acquisition = std::make_shared<Acquisition>();
  acquisition->server_ids = std::move(server_ids);
  acquisition->longest_wait = longest_wait;
  acquisition->callback = std::move(callback);
  this->environment.loop.Post([this, kept = this->alive, acquisition] {
    if (*kept) {
      this->AskNext(acquisition);
    }
  });
}

MonotonicTime SendPermits::FreeAt(const std::string& server_id) const {
  const auto found = this->servers.find(server_id);
  return found == this->servers.end() ? MonotonicTime() : found->second.free_at;
}

Milliseconds SendPermits::ExpectedWait(const std::string& server_id) const {
  return std::max(
      std::chrono::ceil<Milliseconds>(this->FreeAt(server_id) -
                                      this->environment.clock.BootNow()),
      Milliseconds(0));
}

void SendPermits::AskNext(const AcquisitionPointer& acquisition) {
  std::vector<std::string>& ids = acquisition->server_ids;
  while (!ids.empty() && acquisition->homes_asked < kMaxHomesAsked) {
    const auto next = std::min_element(
        ids.begin(), ids.end(),
        [this](const std::string& left, const std::string& right) {
          return this->FreeAt(left) < this->FreeAt(right);
        });
    const std::string id = std::move(*next);
    ids.erase(next);
    const FleetServer* const server = this->environment.fleet.Find(id);
    if (server == nullptr) {
      continue;
    }
    if (!this->NeedsPermit(*server)) {
      this->End(acquisition,
                {SendPermit{id, this->environment.clock.BootNow() + kValidity},
                 Milliseconds(0)});
      return;
    }
    const Milliseconds expected = this->ExpectedWait(id);
    if (expected > acquisition->longest_wait) {
      acquisition->shortest_wait =
          std::min(acquisition->shortest_wait, expected);
      continue;
    }
    ++acquisition->homes_asked;
    PermitRequest request = this->RequestFor(*server);
    request.longest_wait = acquisition->longest_wait;
    this->Ask(request, [this, acquisition, id](const PermitAnswer& answer) {
      this->OnAnswer(acquisition, id, answer);
    });
    return;
  }
  const bool asked = acquisition->shortest_wait != Milliseconds::max();
  this->End(acquisition, {std::nullopt, asked ? acquisition->shortest_wait
                                              : kUnknownHomeWait});
}

void SendPermits::OnAnswer(const AcquisitionPointer& acquisition,
                           const std::string& server_id,
                           const PermitAnswer& answer) {
  const MonotonicTime now = this->environment.clock.BootNow();
  this->servers[server_id].free_at = now + answer.wait;
  if (!answer.granted) {
    acquisition->shortest_wait =
        std::min(acquisition->shortest_wait, answer.wait);
    this->AskNext(acquisition);
    return;
  }
  const SendPermit permit{server_id, now + answer.wait + kValidity};
  if (answer.wait.count() == 0) {
    this->End(acquisition, {permit, Milliseconds(0)});
    return;
  }
  this->CountHeldBack(server_id, "waited");
  this->waiting.insert(acquisition);
  acquisition->timer = this->environment.loop.CallAfter(
      answer.wait, [this, acquisition, permit] {
        this->waiting.erase(acquisition);
        acquisition->timer.reset();
        this->End(acquisition, {permit, Milliseconds(0)});
      });
}

void SendPermits::End(const AcquisitionPointer& acquisition,
                      const PermitOutcome& outcome) {
  const auto callback = std::move(acquisition->callback);
  callback(outcome);
}

bool SendPermits::MaySendOwed(const FleetServer& server) const {
  if (!this->NeedsPermit(server)) {
    return true;
  }
  const auto found = this->servers.find(server.id);
  return found != this->servers.end() && found->second.owed_valid_until &&
         *found->second.owed_valid_until > this->environment.clock.BootNow();
}

void SendPermits::UseOwed(const FleetServer& server) {
  if (this->NeedsPermit(server)) {
    this->servers[server.id].owed_valid_until.reset();
  }
}

void SendPermits::RequestOwed(std::span<const FleetServer* const> servers,
                              std::size_t count) {
  std::vector<const FleetServer*> to_ask;
  std::size_t expected = 0;
  for (const FleetServer* const server : servers) {
    if (this->servers[server->id].asked_for_owed ||
        this->MaySendOwed(*server)) {
      ++expected;
    } else {
      to_ask.push_back(server);
    }
  }
  std::stable_sort(to_ask.begin(), to_ask.end(),
                   [this](const FleetServer* left, const FleetServer* right) {
                     return this->FreeAt(left->id) < this->FreeAt(right->id);
                   });
  for (const FleetServer* const server : to_ask) {
    if (expected >= count) {
      return;
    }
    ++expected;
    if (this->ExpectedWait(server->id).count() > 0) {
      this->NotifyOwedAt(this->servers[server->id].free_at);
    } else {
      this->AskForOwed(*server);
    }
  }
}

void SendPermits::AskForOwed(const FleetServer& server) {
  this->servers[server.id].asked_for_owed = true;
  PermitRequest request = this->RequestFor(server);
  request.owed = true;
  this->Ask(request, [this, id = server.id](const PermitAnswer& answer) {
    const MonotonicTime now = this->environment.clock.BootNow();
    Server& known = this->servers[id];
    known.asked_for_owed = false;
    known.free_at = now + answer.wait;
    if (answer.granted) {
      known.owed_valid_until = now + kValidity;
      this->on_owed_change();
    } else {
      this->NotifyOwedAt(known.free_at);
    }
  });
}

void SendPermits::NotifyOwedAt(MonotonicTime time) {
  if (time >= this->owed_notice_at) {
    return;
  }
  this->owed_notice_at = time;
  const Milliseconds delay = std::max(
      std::chrono::ceil<Milliseconds>(time - this->environment.clock.BootNow()),
      Milliseconds(1));
  this->owed_timer = this->environment.loop.CallAfter(delay, [this] {
    this->owed_notice_at = MonotonicTime::max();
    this->on_owed_change();
  });
}

PermitRequest SendPermits::RequestFor(const FleetServer& server) const {
  const ServerLimit& limit = *this->environment.limits.Find(server);
  PermitRequest request;
  request.gateway = this->environment.settings.instance;
  request.server_id = server.id;
  request.server_start = server.started_at;
  request.per_second = limit.per_second;
  request.limit_age = std::chrono::duration_cast<Milliseconds>(
      this->environment.clock.BootNow() - limit.named_at);
  return request;
}

void SendPermits::Ask(const PermitRequest& request, AnswerCallback callback) {
  const MonotonicTime now = this->environment.clock.BootNow();
  const PermitHomeLocation location = this->homes.find(request.server_id);
  const auto silent = this->silent_until.find(location.address);
  const bool is_silent =
      silent != this->silent_until.end() && silent->second > now;
  if (!location.own_since && !location.address.empty() && !is_silent) {
    this->AskPeer(location.address, request, std::move(callback));
    return;
  }
  if (!location.own_since && location.address.empty()) {
    this->homes.on_silent();
  }
  const PermitAnswer answer =
      location.own_since ? this->home.Decide(request, *location.own_since, now)
                         : this->DecideWithoutHome(request);
  if (location.own_since) {
    this->gateways = answer.gateways;
  }
  this->environment.loop.Post(
      [kept = this->alive, callback = std::move(callback), answer] {
        if (*kept) {
          callback(answer);
        }
      });
}

void SendPermits::AskPeer(const std::string& address,
                          const PermitRequest& request,
                          AnswerCallback callback) {
  this->environment.client.Fetch(
      MakePeerRequest(address, kPath, EncodePermitRequest(request),
                      kHomeTimeout),
      [this, kept = this->alive, address, request,
       callback = std::move(callback),
       sent_at = this->environment.clock.BootNow()](
          const Outcome<HttpResponse>& outcome) {
        if (!*kept) {
          return;
        }
        const MonotonicTime now = this->environment.clock.BootNow();
        const auto answer = outcome.Ok() && outcome.Value().status == kOk
                                ? DecodePermitAnswer(outcome.Value().body)
                                : std::nullopt;
        if (answer && now - sent_at <= kMaxAnswerTime) {
          this->gateways = answer->gateways;
          this->without_home.erase(request.server_id);
          callback(*answer);
          return;
        }
        this->silent_until[address] = now + kSilentTime;
        this->homes.on_silent();
        callback(this->DecideWithoutHome(request));
      });
}

PermitAnswer SendPermits::DecideWithoutHome(const PermitRequest& request) {
  if (this->gateways == 0) {
    PermitAnswer unknown;
    unknown.wait = kUnknownHomeWait;
    return unknown;
  }
  this->CountHeldBack(request.server_id, "home_silent");
  const MonotonicTime now = this->environment.clock.BootNow();
  const auto [found, is_new] =
      this->without_home.try_emplace(request.server_id);
  PermitSchedule& schedule = found->second;
  schedule.SetRate(PermitHome::RateFor(request.per_second) * kShareWithoutHome /
                   static_cast<double>(this->gateways));
  if (is_new) {
    // Gateways that notice together that a home is silent don't send together.
    schedule.BlockUntil(
        now + std::chrono::duration_cast<MonotonicTime::duration>(
                  schedule.Interval() * this->environment.random.Unit()));
  }
  return PermitHome::TakeFrom(schedule, request, now);
}

void SendPermits::CountHeldBack(std::string_view server_id,
                                std::string_view outcome) const {
  if (const FleetServer* const server =
          this->environment.fleet.Find(server_id)) {
    this->environment.metrics
        .GetCounter(metrics::kHeldBack, {{"service", server->service},
                                         {"outcome", std::string(outcome)}})
        .Add();
  }
}

HttpResponse SendPermits::HandlePeer(const HttpRequest& request) {
  const std::optional<PermitRequest> asked = DecodePermitRequest(request.body);
  if (!asked) {
    return {kBadRequest, {}, ""};
  }
  const PermitHomeLocation location = this->homes.find(asked->server_id);
  if (!location.own_since) {
    return {kMisdirected, {}, ""};
  }
  const PermitAnswer answer = this->home.Decide(
      *asked, *location.own_since, this->environment.clock.BootNow());
  return JsonResponse(kOk, ToJson(answer));
}

}  // namespace carobbank
