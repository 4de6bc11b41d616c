// Texts in progress on their way from one owner of a partition to the next, so
// that a planned restart costs no work. Best effort: without them the next
// owner has the texts generated again.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gateway_environment.h"
#include "owner_directory.h"

namespace carobbank {

// What has been generated of one sample.
struct SampleOutput {
  std::string sample_id;
  // The data of its events so far, separated by line feeds.
  std::string text;
  std::size_t events = 0;
  std::string last_event_id;
  std::set<std::int64_t> versions;
  // Nothing follows; only its reward call may be missing.
  bool complete = false;
};

std::string EncodeSampleOutputs(const std::vector<SampleOutput>& texts);
// Nothing when the text can't be read; texts without a sample are left out.
std::optional<std::vector<SampleOutput>> DecodeSampleOutputs(
    std::string_view text);

class SampleOutputTransfer {
 public:
  SampleOutputTransfer(GatewayEnvironment& environment, OwnerDirectory& owners);
  ~SampleOutputTransfer();
  SampleOutputTransfer(const SampleOutputTransfer&) = delete;
  SampleOutputTransfer& operator=(const SampleOutputTransfer&) = delete;

  // Sends the texts to whoever owns the partition next.
  void Send(std::int64_t partition, const std::vector<SampleOutput>& texts);
  // Nothing is on its way.
  bool Idle() const { return this->gifts.empty(); }

  static constexpr std::string_view kPath = "/peer/texts";
  static constexpr std::string_view kPartitionQuery = "partition";

 private:
  struct Gift {
    std::int64_t partition = 0;
    std::string body;
    std::size_t texts = 0;
    MonotonicTime deadline{};
    std::unique_ptr<Timer> retry;
  };
  using GiftPointer = std::shared_ptr<Gift>;

  void Attempt(const GiftPointer& gift);
  void AttemptLater(const GiftPointer& gift);
  void End(const GiftPointer& gift, bool taken);

  GatewayEnvironment& environment;
  OwnerDirectory& owners;
  std::set<GiftPointer> gifts;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
