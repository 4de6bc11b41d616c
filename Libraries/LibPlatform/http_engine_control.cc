// HTTP adapter of EngineControl.

#include <utility>

#include "LibPlatform/engine_control.h"
#include "LibPlatform/platform_call.h"
#include "LibPlatform/platform_parsers.h"

namespace carobbank {

namespace {

constexpr std::string_view kSubject = "the engine";

std::string OrderBody(const LoadVersionOrder& order) {
  Json::Value body;
  body["order_id"] = order.order_id;
  body["fencing"] = Json::UInt64{order.fencing_token};
  body["kind"] = "load_version";
  body["model"] = order.model;
  body["version"] = Json::UInt64{order.version};
  body["mode"] = order.mode == SwapMode::kWait ? "wait" : "interrupt";
  return WriteJson(body);
}

Error OrderConflict(const HttpResponse& response) {
  const auto body = Capture([&] { return ParseJson(response.body); });
  const std::string code = body.Ok() ? JsonString(body.Value(), "code") : "";
  if (code == "stale_fencing") {
    return {ErrorKind::kFenced,
            "the engine has received a higher fencing token",
            "stop sending orders to this engine"};
  }
  if (code == "order_in_progress") {
    return {
        ErrorKind::kConflict, "the engine is executing another order",
        "retry when the engine's state shows that the other order has ended"};
  }
  return {ErrorKind::kInvalidArgument, "the engine refused the order",
          "check the order against docs/PLATFORM.md"};
}

Outcome<bool> OrderOutcome(const Outcome<HttpResponse>& outcome) {
  if (!outcome.Ok()) {
    return outcome.GetError();
  }
  const HttpResponse& response = outcome.Value();
  if (response.status == 202) {
    return true;
  }
  if (response.status == 409) {
    return OrderConflict(response);
  }
  return CommandErrorFromResponse(response, kSubject);
}

class HttpEngineControl final : public EngineControl {
 public:
  explicit HttpEngineControl(PlatformEndpoint endpoint)
      : endpoint(std::move(endpoint)) {}

  void ReadState(StateCallback callback) override {
    Query<EngineState>(this->endpoint, "/state", std::string(kSubject),
                       ParseEngineState, std::move(callback));
  }

  void ReadLoad(LoadCallback callback) override {
    Query<EngineLoad>(this->endpoint, "/load", std::string(kSubject),
                      ParseEngineLoad, std::move(callback));
  }

  void ReadCacheEvents(std::uint64_t from, CacheCallback callback) override {
    Query<CacheEvents>(
        this->endpoint, "/cache_events?from=" + std::to_string(from),
        std::string(kSubject), ParseCacheEvents, std::move(callback));
  }

  void LoadVersion(const LoadVersionOrder& order,
                   OrderCallback callback) override {
    this->endpoint.client->Fetch(
        BuildPlatformRequest(this->endpoint, "POST", "/orders",
                             OrderBody(order)),
        [callback = std::move(callback)](const Outcome<HttpResponse>& outcome) {
          callback(OrderOutcome(outcome));
        });
  }

  void Cancel(std::string_view attempt_id) override {
    Json::Value body;
    body["attempt_id"] = std::string(attempt_id);
    // The caller sees the end of the generation in its stream, so the response
    // is ignored.
    this->endpoint.client->Fetch(
        BuildPlatformRequest(this->endpoint, "POST", "/v1/cancel",
                             WriteJson(body)),
        [](const Outcome<HttpResponse>&) {});
  }

 private:
  PlatformEndpoint endpoint;
};

}  // namespace

std::unique_ptr<EngineControl> CreateHttpEngineControl(
    HttpClient& client,
    std::string base_url,
    PlatformClientOptions options) {
  return std::make_unique<HttpEngineControl>(
      PlatformEndpoint{&client, std::move(base_url), options});
}

}  // namespace carobbank
