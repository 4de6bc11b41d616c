// HTTP adapter of WeightStoreClient.

#include <utility>

#include "LibPlatform/platform_call.h"
#include "LibPlatform/platform_parsers.h"
#include "LibPlatform/weight_store.h"

namespace carobbank {

namespace {

class HttpWeightStoreClient final : public WeightStoreClient {
 public:
  explicit HttpWeightStoreClient(PlatformEndpoint endpoint)
      : endpoint(std::move(endpoint)) {}

  void ReadVersions(std::string_view model, Callback callback) override {
    Query<ModelVersions>(this->endpoint, "/models/" + PercentEncode(model),
                         "the weight store", ParseModelVersions,
                         std::move(callback));
  }

 private:
  PlatformEndpoint endpoint;
};

}  // namespace

std::unique_ptr<WeightStoreClient> CreateHttpWeightStoreClient(
    HttpClient& client,
    std::string base_url,
    PlatformClientOptions options) {
  return std::make_unique<HttpWeightStoreClient>(
      PlatformEndpoint{&client, std::move(base_url), options});
}

}  // namespace carobbank
