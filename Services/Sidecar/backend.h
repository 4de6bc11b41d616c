// Client of the backend server beside this sidecar: sends and cancels requests,
// and tells a crash from a broken connection.

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

  // Destroying the exchange aborts the request.
  [[nodiscard]] std::unique_ptr<HttpExchange> Start(
      const WorkRequest& work,
      HttpClientHandlers handlers);
  // Frees the engine's concurrency slot. Has no effect on an attempt that has
  // ended, or on a plain service.
  void Cancel(std::string_view attempt_id);

  // Called after a connection broke: reports whether the backend server
  // crashed. `incarnation` is the one that the engine reported when the request
  // began to run, if any.
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
