// The origins of streams that the log records, kept for all gateways: each
// gateway records an origin before it begins a stream there.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibRouting/routing.h"
#include "gateway_environment.h"

namespace carobbank {

KeyedRecord EncodeStreamOrigin(const StreamOrigin& origin);
bool IsStreamOriginKey(std::string_view key);
// Nothing if the record is malformed or removes an origin.
std::optional<StreamOrigin> DecodeStreamOrigin(const KeyedRecord& record);

class RequestRecordLog;

class StreamOrigins {
 public:
  StreamOrigins(GatewayEnvironment& environment, RequestRecordLog& log)
      : environment(environment), log(log) {}

  // Records the origins that the configuration and the servers have now. Call
  // when either has changed, and regularly.
  void Update();
  // Whether a stream of the route may begin at the server.
  bool MayBegin(const HostRoute& route, const FleetServer& server) const;
  // See StreamOriginTable. A proof for a stream only after
  // RequestRecordLog::Refresh() has succeeded.
  std::optional<StreamOrigin> Only(std::string_view host,
                                   std::string_view path) const {
    return this->table.Only(host, path);
  }
  // Deletes the records of origins that have not been present for longer than a
  // stream can be resumed. One gateway does that for all.
  void RemoveUnused();

  // Apply records of the log.
  void OnRecord(const StreamOrigin& origin);
  void OnRemoved(std::string_view key);
  void Reset() { this->table.Reset(); }
  // The records of the log were read up to its end.
  void OnRead() { this->RecordMissing(); }
  std::vector<StreamOrigin> Recorded() const;

 private:
  void RecordMissing();

  GatewayEnvironment& environment;
  RequestRecordLog& log;
  StreamOriginTable table;
};

}  // namespace carobbank
