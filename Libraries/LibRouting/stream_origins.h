// Which services and software versions may have begun the streams of a path.
// A gateway begins streams only at origins that the log records, so the records
// of a path include the origin of every stream that can still be resumed,
// whatever gateways know and since when. Pure.

#pragma once

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibMembership/membership.h"
#include "LibRouting/host_routes.h"

namespace carobbank {

struct StreamOrigin {
  // Of the route, as configured.
  std::string host;
  std::string path_prefix;
  std::string service;
  // Empty if the servers' entries name none.
  std::string software_version;

  auto operator<=>(const StreamOrigin&) const = default;
};

// The origins at which streams of the routes may begin.
std::set<StreamOrigin> OriginsOf(const HostRoutes& routes,
                                 std::span<const FleetServer* const> servers);

class StreamOriginTable {
 public:
  // The origins that the configuration and the servers have at `now`: call at
  // least as often as they change.
  void SetPresent(std::set<StreamOrigin> origins, MonotonicTime now);

  // The log holds a record of the origin.
  void OnRecorded(const StreamOrigin& origin, MonotonicTime now);
  void OnRemoved(const StreamOrigin& origin);
  void Reset();

  bool IsRecorded(const HostRoute& route, const FleetServer& server) const;
  const std::map<StreamOrigin, MonotonicTime>& Recorded() const {
    return this->recorded;
  }
  // Present origins without a record.
  std::vector<StreamOrigin> Unrecorded() const;
  // Recorded origins that were last present `retention` before `now` or
  // earlier.
  std::vector<StreamOrigin> Unused(MonotonicTime now,
                                   Milliseconds retention) const;
  // Whether an origin of a route whose paths may include those of `path_prefix`
  // is recorded.
  bool HasRecordFor(std::string_view host, std::string_view path_prefix) const;

  // The only origin of streams whose paths begin with `path`: recorded, and no
  // other one is recorded or present, whichever route matched then. Nothing if
  // its software version is unknown.
  std::optional<StreamOrigin> Only(std::string_view host,
                                   std::string_view path) const;

 private:
  std::set<StreamOrigin> present;
  // When each was last present.
  std::map<StreamOrigin, MonotonicTime> recorded;
};

}  // namespace carobbank
