// Simulates the rate-limited weight store. All transfers share one link and run
// one after the other.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "StandIns/stand_in.h"

namespace carobbank {

struct WeightStoreSettings {
  // Rate of the shared link; zero means no limit.
  std::int64_t bytes_per_second = 0;
  // Requests are refused with 429 while the link's backlog is longer.
  std::int64_t max_backlog_ms = 10'000;
  // Size of a version that was stored without a size.
  std::int64_t version_bytes = 1'000'000;
  bool outage = false;
};

// Control command besides the settings: "put": {"model", "version", "bytes"}
// or a list of such objects.
class WeightStoreStandIn final : public StandIn {
 public:
  using StandIn::StandIn;

 protected:
  void Handle(const HttpRequest& request,
              std::shared_ptr<HttpResponder> responder) override;
  Result<void> ApplyControlMember(const std::string& name,
                                  const Json::Value& value) override;
  void WriteControlState(Json::Value& state) const override;
  // {"models": {model: {version: bytes}}, "transfers": N, "refused": N}
  Json::Value Record() const override;

 private:
  // Sizes in bytes by version.
  using Versions = std::map<std::uint64_t, std::int64_t>;

  Result<void> Put(const Json::Value& value);
  void SendVersions(const std::string& model, HttpResponder& responder) const;
  void SendBytes(const std::string& model,
                 std::uint64_t version,
                 std::shared_ptr<HttpResponder> responder);
  void Store(const std::string& model,
             std::uint64_t version,
             std::int64_t bytes);
  Milliseconds Backlog() const;
  // Queues a transfer on the link and returns the time until it completes.
  Milliseconds ReserveLink(std::int64_t bytes);

  WeightStoreSettings settings;
  std::map<std::string, Versions> models;
  // When the queued transfers will be complete.
  MonotonicTime link_free_at;
  std::uint64_t transfers = 0;
  std::uint64_t refused = 0;
};

}  // namespace carobbank
