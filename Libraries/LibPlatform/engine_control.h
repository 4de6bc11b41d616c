// Client interface to one model engine: its status reports and its orders.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibHTTP/http.h"
#include "LibPlatform/platform_client_options.h"

namespace carobbank {

// How an engine treats running generations when it loads new weights.
enum class SwapMode {
  // Finishes them on the old version before loading.
  kWait,
  // Continues them with the new version from the next token on.
  kInterrupt,
};

struct LoadVersionOrder {
  std::string order_id;
  // An engine that checks fencing refuses an order whose token is lower than
  // the highest one it has received.
  std::uint64_t fencing_token = 0;
  std::string model;
  std::uint64_t version = 0;
  SwapMode mode = SwapMode::kInterrupt;
};

struct EngineState {
  std::string model;
  // The version that generates the next token.
  std::uint64_t version = 0;
  bool loading = false;
  // The order that ended last, and whether it failed.
  std::string last_order_id;
  bool last_order_failed = false;
  std::uint64_t fencing_token = 0;
  // Grows when the engine restarts.
  std::uint64_t incarnation = 0;
};

struct EngineLoad {
  // When the engine took the measurement; the report lags.
  WallMilliseconds as_of_ms = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t max_batch = 0;
  std::uint64_t cache_tokens_used = 0;
  std::uint64_t cache_tokens_total = 0;
  // The latest interval between two tokens of one generation, in microseconds.
  std::uint64_t token_interval_us = 0;
};

// A prompt prefix entered or left the engine's cache.
struct CacheEvent {
  std::uint64_t sequence = 0;
  bool stored = true;
  // FastHash of the prefix's first kCachePrefixCharacters characters.
  std::uint64_t prefix_hash = 0;
};

inline constexpr std::size_t kCachePrefixCharacters = 256;

struct CacheEvents {
  // When this is above the requested sequence, the events in between were
  // dropped.
  std::uint64_t first_retained = 0;
  std::vector<CacheEvent> events;
};

class EngineControl {
 public:
  virtual ~EngineControl() = default;

  using StateCallback = std::function<void(Outcome<EngineState>)>;
  virtual void ReadState(StateCallback callback) = 0;

  using LoadCallback = std::function<void(Outcome<EngineLoad>)>;
  virtual void ReadLoad(LoadCallback callback) = 0;

  // Errors: kFenced, kConflict (another order is in progress), kUnavailable
  // (not accepted), kOutcomeUnknown. Success means accepted, not finished;
  // ReadState() reports when the order has ended.
  using OrderCallback = std::function<void(Outcome<bool>)>;
  virtual void LoadVersion(const LoadVersionOrder& order,
                           OrderCallback callback) = 0;

  using CacheCallback = std::function<void(Outcome<CacheEvents>)>;
  virtual void ReadCacheEvents(std::uint64_t from, CacheCallback callback) = 0;

  // Cancels a generation; has no effect when it has already ended.
  virtual void Cancel(std::string_view attempt_id) = 0;
};

// `base_url`: "http://127.0.0.1:7000". `client` must outlive the adapter and
// every call that it started.
std::unique_ptr<EngineControl> CreateHttpEngineControl(
    HttpClient& client,
    std::string base_url,
    PlatformClientOptions options = {});

}  // namespace carobbank
