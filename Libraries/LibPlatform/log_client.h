// Client interface to the platform's append-only log service.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibHTTP/http.h"
#include "LibPlatform/platform_client_options.h"

namespace carobbank {

struct LogRecord {
  // Position within the stream; consecutive from 0.
  std::uint64_t offset = 0;
  // When the log service appended the record.
  WallMilliseconds time_ms = 0;
  std::string payload;
};

struct LogPage {
  // The oldest retained offset.
  std::uint64_t first_retained = 0;
  // The offset that the stream's next record will get.
  std::uint64_t end = 0;
  std::vector<LogRecord> records;
};

// As `from` of Read(): start at whichever record is the oldest retained one.
inline constexpr std::uint64_t kOldestRetained =
    std::numeric_limits<std::uint64_t>::max();

class LogClient {
 public:
  virtual ~LogClient() = default;

  // The offset of the new record. Errors: kOverloaded and kUnavailable mean
  // that nothing was appended; kOutcomeUnknown means that the record may have
  // been appended.
  using AppendCallback = std::function<void(Outcome<std::uint64_t>)>;
  virtual void Append(std::string_view stream,
                      std::string payload,
                      AppendCallback callback) = 0;

  // Records from `from` (an offset or kOldestRetained) on, at most
  // `max_records`; a long poll waits up to `wait` for the first one. Errors:
  // kExpired when `from` is no longer retained; kUnavailable; kCorrupt.
  using ReadCallback = std::function<void(Outcome<LogPage>)>;
  virtual void Read(std::string_view stream,
                    std::uint64_t from,
                    std::size_t max_records,
                    Milliseconds wait,
                    ReadCallback callback) = 0;
};

// `base_url`: "http://127.0.0.1:7000". `client` must outlive the adapter and
// every call that it started.
std::unique_ptr<LogClient> CreateHttpLogClient(
    HttpClient& client,
    std::string base_url,
    PlatformClientOptions options = {});

}  // namespace carobbank
