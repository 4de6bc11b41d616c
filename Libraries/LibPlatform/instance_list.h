// Client interface to the platform's list of live and leaving instances. The
// list lags behind the instances' real state.

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
  // The instance's pool of interchangeable backend servers: "scorer-lm".
  std::string pool;
  // Listen address of the entry, or of the sidecar beside the backend server:
  // "127.0.0.1:9001".
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

// `base_url`: "http://127.0.0.1:7000". `client` must outlive the adapter and
// every call that it started.
std::unique_ptr<InstanceListClient> CreateHttpInstanceListClient(
    HttpClient& client,
    std::string base_url,
    PlatformClientOptions options = {});

}  // namespace carobbank
