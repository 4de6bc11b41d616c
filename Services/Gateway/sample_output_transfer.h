// Transfers partial outputs from one owner of a partition to the next, so that
// a planned restart loses no work. Best effort: without the transfer the next
// owner has the outputs generated again.

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

// The partial or complete output of one sample.
struct SampleOutput {
  std::string sample_id;
  // The data of its events so far, separated by line feeds.
  std::string text;
  std::size_t events = 0;
  std::string last_event_id;
  std::set<std::int64_t> versions;
  // Software version of the server that began it; empty if unknown.
  std::string software_version;
  // No event follows; only the reward call may be missing.
  bool complete = false;
  // Of the job that it was generated for; only for jobs of the same workspace.
  std::string workspace;
};

// Identifies the sample among those of all workspaces.
std::string OutputKey(std::string_view workspace, std::string_view sample_id);

std::string EncodeSampleOutputs(const std::vector<SampleOutput>& outputs);
// Nothing if the JSON is malformed. Malformed entries are left out.
std::optional<std::vector<SampleOutput>> DecodeSampleOutputs(
    std::string_view json);

class SampleOutputTransfer {
 public:
  SampleOutputTransfer(GatewayEnvironment& environment, OwnerDirectory& owners);
  ~SampleOutputTransfer();
  SampleOutputTransfer(const SampleOutputTransfer&) = delete;
  SampleOutputTransfer& operator=(const SampleOutputTransfer&) = delete;

  // Sends the outputs to the partition's next owner.
  void Send(std::int64_t partition, const std::vector<SampleOutput>& outputs);
  // No transfer is in progress.
  bool Idle() const { return this->transfers.empty(); }

  static constexpr std::string_view kPath = "/peer/texts";
  static constexpr std::string_view kPartitionQuery = "partition";

 private:
  struct Transfer {
    std::int64_t partition = 0;
    std::string body;
    std::size_t output_count = 0;
    MonotonicTime deadline{};
    std::unique_ptr<Timer> retry;
  };
  using TransferPointer = std::shared_ptr<Transfer>;

  void Attempt(const TransferPointer& transfer);
  void AttemptLater(const TransferPointer& transfer);
  void End(const TransferPointer& transfer, bool accepted);

  GatewayEnvironment& environment;
  OwnerDirectory& owners;
  std::set<TransferPointer> transfers;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobbank
