// Client interface to the platform's weight store, which lists the versions of
// a model.

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

struct ModelVersions {
  std::string model;
  // Ascending.
  std::vector<std::uint64_t> versions;
};

class WeightStoreClient {
 public:
  virtual ~WeightStoreClient() = default;
  using Callback = std::function<void(Outcome<ModelVersions>)>;
  // Errors: kNotFound, kOverloaded (rate limit), kUnavailable.
  virtual void ReadVersions(std::string_view model, Callback callback) = 0;
};

// `base_url`: "http://127.0.0.1:7000". `client` must outlive the adapter and
// every call that it started.
std::unique_ptr<WeightStoreClient> CreateHttpWeightStoreClient(
    HttpClient& client,
    std::string base_url,
    PlatformClientOptions options = {});

}  // namespace carobbank
