// The backend servers that registered themselves: what each last said, with a
// grace for entries that lapsed while the registry could not be written. Pure.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct ServedVersion {
  std::string model;
  std::int64_t version = 0;
};

struct FleetServer {
  std::string id;
  std::string service;
  // "10.1.0.13:8165"
  std::string address;
  std::string data_center;
  // Requests that it processes at once.
  std::int64_t slots = 1;
  // It announced that it leaves: no new work.
  bool draining = false;
  // Engines only: the versions that it serves.
  std::vector<ServedVersion> models;
  // When it started; differs after a restart under the same id.
  WallMilliseconds started_at = 0;

  // The version of that model, or 0.
  std::int64_t VersionOf(std::string_view model) const;
};

class ServerFleet {
 public:
  // What a server says of itself replaces what it said before. A version that
  // was observed directly stays if it is newer, until the server restarts.
  void Put(FleetServer server);
  // The registry dropped the server's entry. Within `kLapseGrace` after an
  // outage the server stays until it had time to register again.
  void OnEntryRemoved(std::string_view id, MonotonicTime now);
  // The registry could not be reached or has just come back.
  void RecordOutage(MonotonicTime now);
  // Forgets lapsed servers that a reading of the registry, begun at
  // `confirmed_at`, still lacked after the grace. Another outage begins the
  // grace anew: who could not register is not gone.
  void RemoveLapsed(MonotonicTime confirmed_at);
  // A whole listing: servers that are not in it are dropped.
  void Replace(std::vector<FleetServer> servers, MonotonicTime now);
  // A server's own answer showed that it serves this version.
  void ObserveVersion(std::string_view id,
                      std::string_view model,
                      std::int64_t version);

  const FleetServer* Find(std::string_view id) const;
  // Servers of the service that take new work, by id. Pointers are valid until
  // the next change.
  std::vector<const FleetServer*> Eligible(std::string_view service) const;
  std::size_t Size() const { return this->servers.size(); }

  // Registered servers are back within two seconds of the registry's return;
  // the rest is the time until their entries are read.
  static constexpr Milliseconds kLapseGrace{2'300};

 private:
  struct Registered {
    FleetServer server;
    // Its entry was dropped around an outage.
    bool lapsed = false;
  };
  std::map<std::string, Registered, std::less<>> servers;
  MonotonicTime last_outage = MonotonicTime::min();
};

}  // namespace carobbank
