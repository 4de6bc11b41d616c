// Codec and delivery of partial outputs.

#include "sample_output_transfer.h"

#include <utility>

#include "LibProcess/process.h"
#include "peer_request.h"

namespace carobbank {

namespace {

constexpr int kOk = 200;

// The next owner receives its partitions with its next join of the group.
constexpr Milliseconds kTransferTimeout{2'000};
constexpr Milliseconds kRetryDelay{100};
constexpr Milliseconds kCallTimeout{1'000};

Json::Value ToJson(const SampleOutput& output) {
  Json::Value value;
  value["sample"] = output.sample_id;
  value["text"] = output.text;
  value["events"] = Json::UInt64(output.events);
  value["last_event_id"] = output.last_event_id;
  value["versions"] = IntegersToJson(output.versions);
  value["software_version"] = output.software_version;
  value["whole"] = output.complete;
  if (!output.workspace.empty()) {
    value["workspace"] = output.workspace;
  }
  return value;
}

std::optional<SampleOutput> FromJson(const Json::Value& value) {
  if (!value.isObject() || !value["sample"].isString() ||
      !value["text"].isString() || !value["events"].isUInt64() ||
      !value["last_event_id"].isString() || !value["versions"].isArray() ||
      !value["whole"].isBool()) {
    return std::nullopt;
  }
  SampleOutput output;
  output.sample_id = value["sample"].asString();
  output.text = value["text"].asString();
  output.events = value["events"].asUInt64();
  output.last_event_id = value["last_event_id"].asString();
  for (const Json::Value& version : value["versions"]) {
    if (!version.isInt64()) {
      return std::nullopt;
    }
    output.versions.insert(version.asInt64());
  }
  // Earlier releases don't send it.
  output.software_version = JsonString(value, "software_version");
  output.complete = value["whole"].asBool();
  output.workspace = JsonString(value, "workspace");
  return output;
}

}  // namespace

std::string OutputKey(std::string_view workspace, std::string_view sample_id) {
  // Neither has a line feed.
  return workspace.empty()
             ? std::string(sample_id)
             : std::string(workspace) + "\n" + std::string(sample_id);
}

std::string EncodeSampleOutputs(const std::vector<SampleOutput>& outputs) {
  Json::Value body;
  body["texts"] = Json::arrayValue;
  for (const SampleOutput& output : outputs) {
    body["texts"].append(ToJson(output));
  }
  return WriteJson(body);
}

std::optional<std::vector<SampleOutput>> DecodeSampleOutputs(
    std::string_view json) {
  const std::optional<Json::Value> body = ParseJsonObject(json);
  if (!body || !(*body)["texts"].isArray()) {
    return std::nullopt;
  }
  std::vector<SampleOutput> outputs;
  for (const Json::Value& value : (*body)["texts"]) {
    if (std::optional<SampleOutput> one = FromJson(value)) {
      outputs.push_back(std::move(*one));
    }
  }
  return outputs;
}

SampleOutputTransfer::SampleOutputTransfer(GatewayEnvironment& environment,
                                           OwnerDirectory& owners)
    : environment(environment), owners(owners) {}

SampleOutputTransfer::~SampleOutputTransfer() {
  *this->alive = false;
}

void SampleOutputTransfer::Send(std::int64_t partition,
                                const std::vector<SampleOutput>& outputs) {
  if (outputs.empty()) {
    return;
  }
  auto transfer = std::make_shared<Transfer>();
  transfer->partition = partition;
  transfer->body = EncodeSampleOutputs(outputs);
  transfer->output_count = outputs.size();
  transfer->deadline = this->environment.clock.Now() + kTransferTimeout;
  this->transfers.insert(transfer);
  this->AttemptLater(transfer);
}

void SampleOutputTransfer::Attempt(const TransferPointer& transfer) {
  const std::string_view owner =
      this->owners.OtherOwnerAddress(transfer->partition);
  if (owner.empty()) {
    this->AttemptLater(transfer);
    return;
  }
  const std::string target = std::string(kPath) + "?" +
                             std::string(kPartitionQuery) + "=" +
                             std::to_string(transfer->partition);
  this->environment.client.Fetch(
      MakePeerRequest(owner, target, transfer->body, kCallTimeout),
      [this, kept = this->alive,
       transfer](const Outcome<HttpResponse>& outcome) {
        if (!*kept) {
          return;
        }
        if (outcome.Ok() && outcome.Value().status == kOk) {
          this->End(transfer, true);
        } else {
          this->AttemptLater(transfer);
        }
      });
}

void SampleOutputTransfer::AttemptLater(const TransferPointer& transfer) {
  if (this->environment.clock.Now() > transfer->deadline) {
    this->End(transfer, false);
    return;
  }
  this->owners.Refresh();
  transfer->retry = this->environment.loop.CallAfter(
      kRetryDelay, [this, kept = this->alive, transfer] {
        transfer->retry.reset();
        if (*kept) {
          this->Attempt(transfer);
        }
      });
}

void SampleOutputTransfer::End(const TransferPointer& transfer, bool accepted) {
  this->transfers.erase(transfer);
  WriteLog(accepted ? LogLevel::kInfo : LogLevel::kWarning,
           accepted
               ? "partial outputs transferred to the partition's next owner"
               : "partial outputs lost: no next owner accepted them; their "
                 "samples are generated again",
           {{"partition", std::to_string(transfer->partition)},
            {"outputs", std::to_string(transfer->output_count)}});
}

}  // namespace carobbank
