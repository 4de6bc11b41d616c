// HTTP adapter of InstanceListClient.

#include <utility>

#include "LibPlatform/instance_list.h"
#include "LibPlatform/platform_call.h"
#include "LibPlatform/platform_parsers.h"

namespace carobbank {

namespace {

class HttpInstanceListClient final : public InstanceListClient {
 public:
  explicit HttpInstanceListClient(PlatformEndpoint endpoint)
      : endpoint(std::move(endpoint)) {}

  void Fetch(Callback callback) override {
    Query<InstanceListing>(this->endpoint, "/instances", "the instance list",
                           ParseInstanceListing, std::move(callback));
  }

 private:
  PlatformEndpoint endpoint;
};

}  // namespace

std::unique_ptr<InstanceListClient> CreateHttpInstanceListClient(
    HttpClient& client,
    std::string base_url,
    PlatformClientOptions options) {
  return std::make_unique<HttpInstanceListClient>(
      PlatformEndpoint{&client, std::move(base_url), options});
}

}  // namespace carobbank
