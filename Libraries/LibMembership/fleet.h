// The registered backend servers and the last entry of each, with a grace
// period for entries that expired while the registry could not be written.
// Pure.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct ServedVersion {
  std::string model;
  std::int64_t version = 0;
};

// A load of weights that an engine carries out.
struct WeightLoadState {
  std::string model;
  std::int64_t version = 0;
  // When it has ended at the latest; see Clock::BootNow().
  MonotonicTime until = MonotonicTime::min();
};

struct FleetServer {
  std::string id;
  std::string service;
  // "10.1.0.13:8165"
  std::string address;
  std::string data_center;
  // Requests that the server processes at once.
  std::int64_t slots = 1;
  // The server's entry announces that it leaves: it gets no new work.
  bool draining = false;
  // When a request was sent whose response said that the server leaves; zero
  // without one. Holds for the starts of the server before it, one of which
  // sent the response, whatever their entries say.
  WallMilliseconds leaving_at = 0;
  // Engines only: the versions that the server serves.
  std::vector<ServedVersion> models;
  // Start time of the server; differs after a restart under the same id. Zero
  // where each start has an id of its own.
  WallMilliseconds started_at = 0;
  // The latest time at which this start was certainly up, by its entries.
  MonotonicTime alive_at = MonotonicTime::min();
  // Version of the server's software, such as "v1"; empty if its entry names
  // none. What two versions generate must not be joined in one output.
  std::string software_version;
  // The last load that was announced for this start of the server.
  WeightLoadState load{};

  // The server refuses requests for the model until it has loaded a version.
  bool IsLoading(std::string_view model, MonotonicTime now) const {
    return this->load.until > now && this->load.model == model &&
           this->VersionOf(model) < this->load.version;
  }
  // The server gets no new work.
  bool Leaves() const {
    return this->draining ||
           (this->leaving_at != 0 && this->started_at <= this->leaving_at);
  }
  // The served version of the model, or 0.
  std::int64_t VersionOf(std::string_view model) const;
};

class ServerFleet {
 public:
  // A server's entry replaces its previous one. A version that was observed
  // directly stays if it is newer, until the server restarts.
  void Put(FleetServer server);
  // The registry removed the server's entry. Within `kReregistrationGrace`
  // after an outage the server stays, marked as lapsed, until RemoveLapsed().
  void OnEntryRemoved(std::string_view id, MonotonicTime now);
  // The registry is unreachable or has just become reachable again.
  void RecordOutage(MonotonicTime now);
  // Removes expired servers if `confirmed_at`, the start of the latest reading
  // of the registry, is after the grace period. Another outage restarts the
  // period, because a server that could not register may still be available.
  void RemoveExpired(MonotonicTime confirmed_at);
  // Applies a complete listing; servers that the listing lacks are handled as
  // by OnEntryRemoved().
  void Replace(std::vector<FleetServer> servers, MonotonicTime now);
  // A response of the server showed that it serves this version.
  void ObserveVersion(std::string_view id,
                      std::string_view model,
                      std::int64_t version);

  // The server loads weights; one whose time has passed has ended.
  void SetLoad(std::string_view id, WeightLoadState load);

  // The service has servers of these software versions at `now`: call at least
  // as often as it changes.
  void RecordSoftware(MonotonicTime now);
  // The only software version of the service's servers from `since` on; nothing
  // if there were several, or if it is not known for all of this time.
  std::optional<std::string> OnlySoftware(std::string_view service,
                                          MonotonicTime since) const;

  // An entry of this start of the server was written at `at` or later.
  void ConfirmAlive(std::string_view id,
                    WallMilliseconds started_at,
                    MonotonicTime at);
  // Whether a response that the server sent at `at` is certainly of this start,
  // and not of a later one under the same id whose entry was read late.
  bool IsCertain(std::string_view id,
                 WallMilliseconds started_at,
                 MonotonicTime at) const;

  // The response to a request that was sent at `sent_at` said that the server
  // leaves. Returns whether that is new.
  bool MarkLeaving(std::string_view id, WallMilliseconds sent_at);

  const FleetServer* Find(std::string_view id) const;
  // Servers of the service that accept new work, ordered by id. Pointers are
  // valid until the next change.
  std::vector<const FleetServer*> Eligible(std::string_view service) const;
  // All servers, also those that leave. Pointers are valid until the next
  // change.
  std::vector<const FleetServer*> All() const;
  std::size_t Size() const { return this->servers.size(); }

  // Servers register again within two seconds after the registry becomes
  // reachable; the rest is the time until their entries are read.
  static constexpr Milliseconds kReregistrationGrace{2'300};

 private:
  struct Registered {
    FleetServer server;
    // The entry was removed during or shortly after an outage.
    bool expired = false;
  };
  std::map<std::string, Registered, std::less<>> servers;
  MonotonicTime last_outage = MonotonicTime::min();
  // By service and software version.
  struct SoftwareSpan {
    MonotonicTime first{};
    MonotonicTime last{};
  };
  std::map<std::string, std::map<std::string, SoftwareSpan>, std::less<>>
      software;
};

}  // namespace carobbank
