// Fake backend servers behind an HttpClient. A server holds each request for a
// while before it responds, crashes when it begins to run a fatal request,
// which breaks all its connections, and starts again after some time.

#pragma once

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibHTTP/http.h"
#include "LibMembership/membership.h"

namespace carobbank {

// A server that crashed when it began to run a fatal request.
struct FatalCrash {
  std::string server_id;
  // Of the request.
  std::string target;
  std::string body;
  // Name of the client that sent the request.
  std::string client;
  MonotonicTime at;
};

// A request that reached a server.
struct ServedRequest {
  std::string server_id;
  // Path and query.
  std::string target;
  std::string body;
  // Time that the server was given, as sent.
  Milliseconds time_left{0};
  MonotonicTime at;
  // Id of the server's start, as the client expected it.
  std::string expected_id;
};

class FakeServers {
 public:
  explicit FakeServers(EventLoop& loop) : loop(loop) {}

  // The sound response of a server to a request.
  std::function<HttpResponse(const HttpClientRequest&)> answer;
  // Requests whose body contains this text crash the server that begins to run
  // them.
  std::string fatal_text = "fatal";
  // Each run with this number, counted per body, of a fatal request completes;
  // zero for none.
  std::size_t survived_run = 0;
  // Further runs of fatal requests complete.
  std::size_t max_fatal_crashes = std::numeric_limits<std::size_t>::max();
  // Time from the beginning of a fatal run until its server crashes, also when
  // its client has gone.
  Milliseconds time_to_crash{0};
  // Time in which a server processes a sound request.
  Milliseconds duration{10};
  // Crashed servers break no connections; their clients hear nothing more.
  bool crash_silently = false;
  // Time from a crash until the server accepts connections again.
  Milliseconds downtime{60};
  // Time from then until the server's entry shows its new start.
  Milliseconds entry_delay{0};
  // Called with each start of a server; by owner.
  std::map<const void*, std::function<void(const FleetServer&)>> registries;
  // In order of time.
  std::vector<FatalCrash> fatal_crashes;
  // Number of requests that broke off at a server without being fatal.
  std::size_t innocent_losses = 0;
  // Requests of all clients that reached a server, without probes, in order of
  // time.
  std::vector<ServedRequest> served;

  std::vector<ServedRequest> ServedWithBody(std::string_view body) const {
    std::vector<ServedRequest> found;
    std::copy_if(
        this->served.begin(), this->served.end(), std::back_inserter(found),
        [body](const ServedRequest& request) { return request.body == body; });
    return found;
  }

  void Add(FleetServer server) {
    server.address = server.id + ":1";
    server.started_at = NextStart();
    this->servers.push_back({std::move(server), true, {}});
    this->Register(this->servers.back());
  }

  // Breaks all connections of the server, which starts again after the
  // downtime.
  void Crash(std::string_view id) {
    Server& server = *this->Find(id);
    server.up = false;
    for (const auto& run : std::exchange(server.runs, {})) {
      if (const auto held = run.lock()) {
        const std::string& body = held->request.body;
        this->innocent_losses +=
            body.find(this->fatal_text) == std::string::npos ? 1 : 0;
        if (!this->crash_silently) {
          this->Fail(held, SendState::kMayHaveBeenSent, "connection reset");
        }
      }
    }
    this->Later(this->downtime, [this, key = std::string(id)] {
      Server& restarted = *this->Find(key);
      restarted.up = true;
      this->ShowStart(restarted, NextStart());
    });
  }

  // Crashes the servers whose ids have the prefix; with `busy` only those that
  // run a request.
  void CrashWhere(std::string_view prefix, bool busy) {
    std::vector<std::string> ids;
    for (Server& server : this->servers) {
      std::erase_if(server.runs, [](const auto& run) { return run.expired(); });
      const bool runs_requests = !server.runs.empty();
      if (server.up && server.registered.id.starts_with(prefix) &&
          (runs_requests || !busy)) {
        ids.push_back(server.registered.id);
      }
    }
    for (const std::string& id : ids) {
      this->Crash(id);
    }
  }

  // The servers' current registrations.
  std::vector<FleetServer> Registered() const {
    std::vector<FleetServer> registered;
    for (const Server& server : this->servers) {
      registered.push_back(server.registered);
    }
    return registered;
  }

  // Name of the gateway that is the home of all servers.
  std::string permit_home = "gateway-0";
  // Responds to the requests that gateways send each other, by address.
  std::map<std::string,
           std::function<HttpResponse(const HttpClientRequest&)>,
           std::less<>>
      peers;
  // Names of the clients whose requests to `peers` fail.
  std::set<std::string, std::less<>> cut_off_from_peers;

  // The client of one gateway.
  std::unique_ptr<HttpClient> Client(std::string name) {
    return std::make_unique<ServerClient>(*this, std::move(name));
  }

 private:
  struct Run {
    HttpClientRequest request;
    HttpClientHandlers handlers;
    std::string client;
    bool paused = false;
    // What is delivered after Resume(); empty for nothing.
    std::function<void()> rest{};
  };
  struct Server {
    FleetServer registered;
    bool up = true;
    std::vector<std::weak_ptr<Run>> runs;
  };
  class Exchange final : public HttpExchange {
   public:
    Exchange(EventLoop& loop, std::shared_ptr<Run> run)
        : loop(loop), run(std::move(run)) {}
    void Pause() override { this->run->paused = true; }
    void Resume() override {
      this->run->paused = false;
      if (this->run->rest) {
        this->loop.Post(std::exchange(this->run->rest, nullptr));
      }
    }

   private:
    EventLoop& loop;
    std::shared_ptr<Run> run;
  };
  class ServerClient final : public HttpClient {
   public:
    ServerClient(FakeServers& servers, std::string name)
        : servers(servers), name(std::move(name)) {}
    std::unique_ptr<HttpExchange> Start(HttpClientRequest request,
                                        HttpClientHandlers handlers) override {
      auto run = std::make_shared<Run>(
          Run{std::move(request), std::move(handlers), this->name});
      this->servers.loop.Post(
          [target = &this->servers, weak = std::weak_ptr<Run>(run)] {
            if (const auto begun = weak.lock()) {
              target->Begin(begun);
            }
          });
      return std::make_unique<Exchange>(this->servers.loop, std::move(run));
    }

   private:
    FakeServers& servers;
    std::string name;
  };

  static constexpr std::string_view kHealthPath = "/health";

  static Milliseconds TimeLeft(const HttpClientRequest& request) {
    const auto text = FindHeader(request.headers, "Time-Left");
    return Milliseconds(
        ParseInteger<std::int64_t>(text.value_or("0")).value_or(0));
  }

  static WallMilliseconds NextStart() {
    const auto now = std::chrono::duration_cast<Milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return static_cast<WallMilliseconds>(now.count());
  }

  Server* Find(std::string_view id) {
    const auto found = std::find_if(
        this->servers.begin(), this->servers.end(),
        [id](const Server& server) { return server.registered.id == id; });
    return found == this->servers.end() ? nullptr : &*found;
  }

  void ShowStart(Server& server, WallMilliseconds started_at) {
    if (this->entry_delay.count() == 0) {
      server.registered.started_at = started_at;
      this->Register(server);
      return;
    }
    this->Later(this->entry_delay,
                [this, id = server.registered.id, started_at] {
                  Server& shown = *this->Find(id);
                  shown.registered.started_at = started_at;
                  this->Register(shown);
                });
  }

  void Register(const Server& server) {
    for (const auto& [owner, put] : this->registries) {
      put(server.registered);
    }
  }

  void Begin(const std::shared_ptr<Run>& run) {
    const std::string_view rest =
        std::string_view(run->request.url).substr(sizeof("http://") - 1);
    const auto peer = this->peers.find(rest.substr(0, rest.find('/')));
    if (peer != this->peers.end() &&
        this->cut_off_from_peers.contains(run->client)) {
      this->Fail(run, SendState::kNotSent, "connection refused");
      return;
    }
    if (peer != this->peers.end()) {
      Deliver(peer->second(run->request), run);
      return;
    }
    Server* const server = this->Find(rest.substr(0, rest.find(':')));
    if (server == nullptr || !server->up) {
      this->Fail(run, SendState::kNotSent, "connection refused");
      return;
    }
    server->runs.push_back(run);
    if (!run->request.url.ends_with(kHealthPath)) {
      this->served.push_back(
          {server->registered.id, std::string(rest.substr(rest.find('/'))),
           run->request.body, TimeLeft(run->request),
           std::chrono::steady_clock::now(),
           std::string(
               FindHeader(run->request.headers, "For-Server").value_or(""))});
    }
    if (this->IsFatalRun(run->request)) {
      const FatalCrash crash{
          server->registered.id, std::string(rest.substr(rest.find('/'))),
          run->request.body, run->client, std::chrono::steady_clock::now()};
      if (this->time_to_crash.count() == 0) {
        this->CrashUnder(crash);
      } else {
        this->Later(this->time_to_crash,
                    [this, crash] { this->CrashUnder(crash); });
      }
      return;
    }
    this->Later(this->duration, [this, id = server->registered.id,
                                 weak = std::weak_ptr<Run>(run)] {
      this->Complete(id, weak.lock());
    });
  }

  void CrashUnder(FatalCrash crash) {
    crash.at = std::chrono::steady_clock::now();
    this->fatal_crashes.push_back(crash);
    this->Crash(crash.server_id);
  }

  bool IsFatalRun(const HttpClientRequest& request) {
    if (request.body.find(this->fatal_text) == std::string::npos ||
        this->fatal_crashes.size() >= this->max_fatal_crashes) {
      return false;
    }
    const std::size_t number = ++this->fatal_runs[request.body];
    return this->survived_run == 0 || number % this->survived_run != 0;
  }

  void Complete(std::string_view id, const std::shared_ptr<Run>& run) {
    std::vector<std::weak_ptr<Run>>& runs = this->Find(id)->runs;
    const bool running =
        run && std::any_of(runs.begin(), runs.end(), [&](const auto& held) {
          return held.lock() == run;
        });
    std::erase_if(runs, [&](const auto& held) {
      return held.expired() || held.lock() == run;
    });
    if (!running) {
      return;
    }
    Deliver(this->answer(run->request), run);
  }

  // The handlers are copied because they may destroy the exchange.
  static void Deliver(const HttpResponse& response,
                      const std::shared_ptr<Run>& run) {
    const HttpClientHandlers handlers = run->handlers;
    handlers.on_headers(response.status, response.headers);
    auto rest = [handlers, body = response.body,
                 weak = std::weak_ptr<Run>(run)] {
      if (!weak.expired()) {
        handlers.on_body(body);
        handlers.on_done();
      }
    };
    if (run->paused) {
      run->rest = std::move(rest);
    } else {
      rest();
    }
  }

  void Fail(const std::shared_ptr<Run>& run,
            SendState state,
            const char* reason) {
    const ErrorKind kind = state == SendState::kNotSent
                               ? ErrorKind::kUnavailable
                               : ErrorKind::kOutcomeUnknown;
    const HttpClientHandlers handlers = run->handlers;
    handlers.on_failure({state, {kind, reason, "retry"}});
  }

  void Later(Milliseconds delay, std::function<void()> action) {
    const auto timer = this->timers.emplace(this->timers.end());
    *timer = this->loop.CallAfter(delay, [this, timer, action] {
      action();
      this->timers.erase(timer);
    });
  }

  EventLoop& loop;
  std::vector<Server> servers;
  // Runs of fatal requests, by body.
  std::map<std::string, std::size_t, std::less<>> fatal_runs;
  std::list<std::unique_ptr<Timer>> timers;
};

}  // namespace carobbank
