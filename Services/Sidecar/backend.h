// The backend server beside this sidecar: sending work to it, cancelling, and
// telling a crash from a broken connection.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibHTTP/http.h"
#include "LibPlatform/platform.h"
#include "Sidecar/work_request.h"

namespace carobbank {

class Backend {
 public:
  // `engine` is null for a plain service.
  Backend(HttpClient& client, EngineControl* engine, std::string base_url)
      : client(client), engine(engine), base_url(std::move(base_url)) {}

  bool IsEngine() const { return this->engine != nullptr; }

  // Destroying the exchange breaks it off.
  [[nodiscard]] std::unique_ptr<HttpExchange> Start(
      const WorkRequest& work,
      HttpClientHandlers handlers);
  // Frees the engine's place; harmless for what has ended.
  void Cancel(std::string_view attempt_id);

  // After a broken exchange: whether the backend server went down under it.
  // `incarnation` is the engine's when the work began, if it was known.
  using CrashCallback = std::function<void(bool crashed)>;
  void ProbeCrash(std::optional<std::uint64_t> incarnation,
                  CrashCallback callback);

 private:
  void ProbeEngine(std::optional<std::uint64_t> incarnation,
                   CrashCallback callback);
  void ProbePlainService(CrashCallback callback);

  HttpClient& client;
  EngineControl* engine;
  std::string base_url;
};

}  // namespace carobbank
