// Control of one model engine: its reports, and the orders that it takes.

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

// How an engine treats generations that run when new weights are loaded.
enum class SwapMode {
  // Lets them finish on the old version first.
  kWait,
  // Goes on with them under the new version from the next token on.
  kInterrupt,
};

struct LoadVersionOrder {
  std::string order_id;
  // Orders with a lower number than one seen before are refused, if the
  // engine checks it at all.
  std::uint64_t fencing_token = 0;
  std::string model;
  std::uint64_t version = 0;
  SwapMode mode = SwapMode::kInterrupt;
};

struct EngineState {
  std::string model;
  // The version that the next token would be generated with.
  std::uint64_t version = 0;
  bool loading = false;
  // The order that was last finished, and whether it failed.
  std::string last_order_id;
  bool last_order_failed = false;
  std::uint64_t fencing_token = 0;
  // Grows when the engine restarts.
  std::uint64_t incarnation = 0;
};

struct EngineLoad {
  // When the engine measured; the report lags.
  WallMilliseconds as_of_ms = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t max_batch = 0;
  std::uint64_t cache_tokens_used = 0;
  std::uint64_t cache_tokens_total = 0;
  // The last time between two tokens of one generation, in microseconds.
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
  // Events before `first_retained` are lost when it is above the asked-for
  // sequence.
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

  // Errors: kFenced, kConflict (another order runs), kUnavailable (not taken),
  // kOutcomeUnknown. Success means taken, not finished: read ReadState().
  using OrderCallback = std::function<void(Outcome<bool>)>;
  virtual void LoadVersion(const LoadVersionOrder& order,
                           OrderCallback callback) = 0;

  using CacheCallback = std::function<void(Outcome<CacheEvents>)>;
  virtual void ReadCacheEvents(std::uint64_t from, CacheCallback callback) = 0;

  // Ends a generation; harmless when it has ended already.
  virtual void Cancel(std::string_view attempt_id) = 0;
};

// `base_url`: "http://127.0.0.1:7000". `client` outlives the adapter and every
// call that it began.
std::unique_ptr<EngineControl> CreateHttpEngineControl(
    HttpClient& client,
    std::string base_url,
    PlatformClientOptions options = {});

}  // namespace carobbank
