// Permits to send requests to backend servers that name a limit. A server's
// home gateway grants them to all gateways; see PermitHome. What a limit holds
// back is no failure of its server and no attempt of a sample.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibScheduling/scheduling.h"
#include "gateway_environment.h"

namespace carobbank {

// Where the home of a server is.
struct PermitHomeLocation {
  // When this gateway became the home; empty if another gateway is.
  std::optional<MonotonicTime> own_since;
  // "10.1.0.10:8166"; empty if the home is unknown.
  std::string address;
};

struct PermitHomes {
  std::function<PermitHomeLocation(std::string_view server_id)> find;
  // Called when a home did not answer, or is none any more.
  std::function<void()> on_silent;
};

// A permit to send one request.
struct SendPermit {
  std::string server_id;
  // Includes suspensions of the machine; see Clock::BootNow().
  MonotonicTime valid_until{};
};

struct PermitOutcome {
  // Empty: no server may be sent the request within the longest wait.
  std::optional<SendPermit> permit;
  // Without a permit: until a server has a free time.
  Milliseconds retry_after{0};
};

class SendPermits {
 public:
  // Calls `on_owed_change` when samples or reward calls that were held back may
  // be sent, or may ask again.
  SendPermits(GatewayEnvironment& environment,
              PermitHomes homes,
              std::function<void()> on_owed_change);
  ~SendPermits();
  SendPermits(const SendPermits&) = delete;
  SendPermits& operator=(const SendPermits&) = delete;

  bool NeedsPermit(const FleetServer& server) const;

  // Asks for a permit for a call to one of the servers, the one with the
  // earliest free time first. Calls `callback` when the call may be sent, or
  // when none may be sent within `longest_wait`; never before it returns.
  void Acquire(std::vector<std::string> server_ids,
               Milliseconds longest_wait,
               std::function<void(const PermitOutcome&)> callback);

  // A sample or reward call may be sent to the server now.
  bool MaySendOwed(const FleetServer& server) const;
  // Asks for permits for samples or reward calls, `count` in all, at most one
  // for each of the servers, which need permits.
  void RequestOwed(std::span<const FleetServer* const> servers,
                   std::size_t count);
  // A sample or reward call is sent to the server.
  void UseOwed(const FleetServer& server);

  // The response to another gateway that asks for a permit.
  HttpResponse HandlePeer(const HttpRequest& request);

  static constexpr std::string_view kPath = "/peer/permits";
  // Permits expire, so that those of a gateway that was suspended are not used
  // beside those that were granted since.
  static constexpr Milliseconds kValidity{250};

 private:
  using AnswerCallback = std::function<void(const PermitAnswer&)>;
  // A call that waits for a permit.
  struct Acquisition {
    // Servers that were not asked about yet.
    std::vector<std::string> server_ids;
    Milliseconds longest_wait{0};
    std::function<void(const PermitOutcome&)> callback;
    // Shortest time until one of the servers asked about has a free time.
    Milliseconds shortest_wait = Milliseconds::max();
    int homes_asked = 0;
    std::unique_ptr<Timer> timer;
  };
  using AcquisitionPointer = std::shared_ptr<Acquisition>;
  // What this gateway knows about the permits for one server.
  struct Server {
    // No permit is granted before, as of the last answer.
    MonotonicTime free_at{};
    // For samples and reward calls.
    bool asked_for_owed = false;
    std::optional<MonotonicTime> owed_valid_until;
  };

  void AskNext(const AcquisitionPointer& acquisition);
  void OnAnswer(const AcquisitionPointer& acquisition,
                const std::string& server_id,
                const PermitAnswer& answer);
  void End(const AcquisitionPointer& acquisition, const PermitOutcome& outcome);
  void AskForOwed(const FleetServer& server);
  // Lets samples and reward calls ask again at that time.
  void NotifyOwedAt(MonotonicTime time);
  // No permit is granted before, as of the last answer.
  MonotonicTime FreeAt(const std::string& server_id) const;
  // Time from now until then.
  Milliseconds ExpectedWait(const std::string& server_id) const;
  PermitRequest RequestFor(const FleetServer& server) const;
  // Calls `callback` from the event loop.
  void Ask(const PermitRequest& request, AnswerCallback callback);
  void AskPeer(const std::string& address,
               const PermitRequest& request,
               AnswerCallback callback);
  // Decides for this gateway alone while the server's home does not answer.
  PermitAnswer DecideWithoutHome(const PermitRequest& request);
  void CountHeldBack(std::string_view server_id,
                     std::string_view outcome) const;

  GatewayEnvironment& environment;
  PermitHomes homes;
  std::function<void()> on_owed_change;
  // Of the servers whose home is this gateway.
  PermitHome home;
  std::map<std::string, Server, std::less<>> servers;
  // Of the servers whose home does not answer.
  std::map<std::string, PermitSchedule, std::less<>> without_home;
  // Addresses of homes that did not answer, and until when they are not asked.
  std::map<std::string, MonotonicTime, std::less<>> silent_until;
  // Those with a permit whose time has not come.
  std::set<AcquisitionPointer> waiting;
  // As of the last answer of a home; zero before.
  std::size_t gateways = 0;
  MonotonicTime owed_notice_at = MonotonicTime::max();
  std::unique_ptr<Timer> owed_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
