// The software versions that began clients' streams, so that any gateway can
// continue a stream at its version. While a path has several origins (see
// StreamOriginTable), they are shared through the log of request records;
// otherwise the only origin is known without a record of the stream.

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_environment.h"
#include "stream_origins.h"
#include "stream_server.h"

namespace carobbank {

struct StreamVersion {
  // Id of the client attempt that brought the stream's first event, as
  // StreamIdInLog() gives it.
  std::string request_id;
  // Empty if a record of an earlier release of this program doesn't say.
  std::string service;
  // Empty if streams of this id began at several services or versions.
  std::string software_version;
  // When the stream began.
  WallMilliseconds at = 0;
};

// The id under which records name a client attempt: a short one of letters,
// digits and "-._~" as it is, any other as "sha256:" and its hash. Clients
// choose ids, and a key of the log has at most 255 bytes.
std::string StreamIdInLog(std::string_view request_id);
KeyedRecord EncodeStreamVersion(const StreamVersion& stream);
bool IsStreamVersionKey(std::string_view key);
// Nothing if the record is malformed. The record of a removed stream has an
// empty value; then only the request id is set.
std::optional<StreamVersion> DecodeStreamVersion(const KeyedRecord& record);

class RequestRecordLog;

class StreamVersions {
 public:
  StreamVersions(GatewayEnvironment& environment,
                 RequestRecordLog& log,
                 const StreamOrigins& origins)
      : environment(environment), log(log), origins(origins) {}

  // A stream began, or went on, at the origin.
  void OnBegun(std::string_view request_id, const StreamOrigin& origin);
  // The same for an origin that is known only once it is confirmed which start
  // of `server` has answered; see ConfirmStarts(). Until then nothing is known
  // of the stream.
  void OnBegun(std::string_view request_id,
               const StreamOrigin& origin,
               const StreamServer& server);
  // Checks the servers of streams whose starts were not confirmed. Call when
  // servers have changed, and regularly.
  void ConfirmStarts();
  // Shares the streams of this gateway whose paths have several origins now.
  // Call when origins have changed.
  void ShareMixed();
  // Where the stream began, if a record or this gateway knows it.
  std::optional<StreamVersion> Find(std::string_view request_id) const;

  // Applies records of the log.
  void OnRecord(const StreamVersion& stream);
  void OnRemoved(std::string_view request_id);
  void Reset();
  std::vector<StreamVersion> Shared() const;
  // Forgets streams that are older than a stream can be taken up.
  // `remove_records`: deletes their records too.
  void RemoveOld(bool remove_records);

  static constexpr Milliseconds kRetention{120'000};

 private:
  struct Stream {
    // The software version is empty if it is ambiguous. Without a path for a
    // stream of which only its record is known.
    StreamOrigin origin;
    WallMilliseconds at = 0;
    bool shared = false;

    bool IsOwn() const { return !this->origin.path_prefix.empty(); }
  };

  struct Unconfirmed {
    std::string request_id;
    StreamOrigin origin;
    StreamServer server;
  };

  // False while it is not confirmed which start of the server has answered.
  bool Resolve(const Unconfirmed& stream);
  // The server of the stream may have been of another software version.
  void OnRefuted(const Unconfirmed& stream);
  // Another gateway may need a record of the stream.
  bool NeedsRecord(const StreamOrigin& origin) const;
  // The id stands for streams of several origins.
  void SetAmbiguous(const std::string& request_id, Stream& stream);
  void Share(const std::string& request_id, Stream& stream);

  GatewayEnvironment& environment;
  RequestRecordLog& log;
  const StreamOrigins& origins;
  std::map<std::string, Stream, std::less<>> streams;
  // Of this gateway.
  std::vector<Unconfirmed> unconfirmed;
  // Origins of the streams that are not shared, and maybe of some more.
  std::set<StreamOrigin> unshared_origins;
};

}  // namespace carobbank
