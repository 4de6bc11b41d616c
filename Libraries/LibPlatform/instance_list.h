// The platform's list of live and leaving instances. It lags.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibHTTP/http.h"
#include "LibPlatform/platform_client_options.h"

namespace carobbank {

enum class InstanceRole { kEntry, kBackendServer };
enum class InstanceState { kLive, kLeaving };

// One row of the list.
struct ListedInstance {
  std::string id;
  InstanceRole role = InstanceRole::kBackendServer;
  InstanceState state = InstanceState::kLive;
  std::string data_center;
  // The pool of equal backend servers that it belongs to, "scorer-lm".
  std::string pool;
  // Where carobbank listens there: the entry, or the sidecar beside the
  // backend server. "127.0.0.1:9001"
  std::string address;
  // Grows each time that the instance is replaced.
  std::uint64_t incarnation = 0;
};

struct InstanceListing {
  std::uint64_t version = 0;
  std::vector<ListedInstance> instances;
};

class InstanceListClient {
 public:
  virtual ~InstanceListClient() = default;
  using Callback = std::function<void(Outcome<InstanceListing>)>;
  virtual void Fetch(Callback callback) = 0;
};

// `base_url`: "http://127.0.0.1:7000". `client` outlives the adapter and every
// call that it began.
std::unique_ptr<InstanceListClient> CreateHttpInstanceListClient(
    HttpClient& client,
    std::string base_url,
    PlatformClientOptions options = {});

}  // namespace carobbank
