// Announces weight loads of engines to the owners of job partitions. An engine
// refuses samples of the model while it loads, so owners send none there. The
// holder of the order lease announces each load before it begins. A lost
// message costs refusals; the load ends by itself at its expected time.

#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_environment.h"

namespace carobbank {

class OwnerDirectory;

struct WeightLoad {
  std::string server_id;
  std::string model;
  std::int64_t version = 0;
  // How long the load may still take; zero once it has ended.
  Milliseconds remaining{0};
};

class WeightLoads {
 public:
  // `on_ended` is called when an engine that was loading may be used again.
  WeightLoads(GatewayEnvironment& environment,
              OwnerDirectory& owners,
              std::function<void()> on_ended);
  ~WeightLoads();
  WeightLoads(const WeightLoads&) = delete;
  WeightLoads& operator=(const WeightLoads&) = delete;

  // Applies the load here and sends it to the other owners, together with the
  // others of this turn of the event loop.
  void Announce(const WeightLoad& load);
  // The response to a peer's message.
  HttpResponse HandlePeer(const HttpRequest& request);

  static constexpr std::string_view kPath = "/peer/weight-loads";

 private:
  void Apply(const WeightLoad& load);
  void SendPending();

  GatewayEnvironment& environment;
  OwnerDirectory& owners;
  std::function<void()> on_ended;
  // Not sent yet; a send is posted while not empty.
  std::vector<WeightLoad> pending;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

std::string EncodeWeightLoads(std::span<const WeightLoad> loads);
// Nothing if the text is malformed; entries that are malformed are left out.
std::optional<std::vector<WeightLoad>> DecodeWeightLoads(std::string_view json);

}  // namespace carobbank
