// Codec and delivery of texts in progress.

#include "sample_output_transfer.h"

#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr int kOk = 200;

// The next owner learns of its partition with its next join.
constexpr Milliseconds kPatience{2'000};
constexpr Milliseconds kRetryPause{100};
constexpr Milliseconds kCallTimeout{1'000};

Json::Value ToJson(const SampleOutput& text) {
  Json::Value value;
  value["sample"] = text.sample_id;
  value["text"] = text.text;
  value["events"] = Json::UInt64(text.events);
  value["last_event_id"] = text.last_event_id;
  value["versions"] = IntegersToJson(text.versions);
  value["whole"] = text.complete;
  return value;
}

std::optional<SampleOutput> FromJson(const Json::Value& value) {
  if (!value.isObject() || !value["sample"].isString() ||
      !value["text"].isString() || !value["events"].isUInt64() ||
      !value["last_event_id"].isString() || !value["versions"].isArray() ||
      !value["whole"].isBool()) {
    return std::nullopt;
  }
  SampleOutput text;
  text.sample_id = value["sample"].asString();
  text.text = value["text"].asString();
  text.events = value["events"].asUInt64();
  text.last_event_id = value["last_event_id"].asString();
  for (const Json::Value& version : value["versions"]) {
    if (!version.isInt64()) {
      return std::nullopt;
    }
    text.versions.insert(version.asInt64());
  }
  text.complete = value["whole"].asBool();
  return text;
}

}  // namespace

std::string EncodeSampleOutputs(const std::vector<SampleOutput>& texts) {
  Json::Value body;
  body["texts"] = Json::arrayValue;
  for (const SampleOutput& text : texts) {
    body["texts"].append(ToJson(text));
  }
  return WriteJson(body);
}

std::optional<std::vector<SampleOutput>> DecodeSampleOutputs(
    std::string_view text) {
  const std::optional<Json::Value> body = ParseJsonObject(text);
  if (!body || !(*body)["texts"].isArray()) {
    return std::nullopt;
  }
  std::vector<SampleOutput> texts;
  for (const Json::Value& value : (*body)["texts"]) {
    if (std::optional<SampleOutput> one = FromJson(value)) {
      texts.push_back(std::move(*one));
    }
  }
  return texts;
}

SampleOutputTransfer::SampleOutputTransfer(GatewayEnvironment& environment,
                                           OwnerDirectory& owners)
    : environment(environment), owners(owners) {}

SampleOutputTransfer::~SampleOutputTransfer() {
  *this->alive = false;
}

void SampleOutputTransfer::Send(std::int64_t partition,
                                const std::vector<SampleOutput>& texts) {
  if (texts.empty()) {
    return;
  }
  auto gift = std::make_shared<Gift>();
  gift->partition = partition;
  gift->body = EncodeSampleOutputs(texts);
  gift->texts = texts.size();
  gift->deadline = this->environment.clock.Now() + kPatience;
  this->gifts.insert(gift);
  this->AttemptLater(gift);
}

void SampleOutputTransfer::Attempt(const GiftPointer& gift) {
  const std::string_view owner =
      this->owners.OtherOwnerAddress(gift->partition);
  if (owner.empty()) {
    this->AttemptLater(gift);
    return;
  }
  HttpClientRequest request;
  request.method = "POST";
  request.url = "http://" + std::string(owner) + std::string(kPath) + "?" +
                std::string(kPartitionQuery) + "=" +
                std::to_string(gift->partition);
  request.headers = {{"Content-Type", "application/json"}};
  request.body = gift->body;
  request.timeout = kCallTimeout;
  request.connect_timeout = kCallTimeout;
  this->environment.client.Fetch(
      std::move(request),
      [this, kept = this->alive, gift](const Outcome<HttpResponse>& outcome) {
        if (!*kept) {
          return;
        }
        if (outcome.Ok() && outcome.Value().status == kOk) {
          this->End(gift, true);
        } else {
          this->AttemptLater(gift);
        }
      });
}

void SampleOutputTransfer::AttemptLater(const GiftPointer& gift) {
  if (this->environment.clock.Now() > gift->deadline) {
    this->End(gift, false);
    return;
  }
  this->owners.Refresh();
  gift->retry = this->environment.loop.CallAfter(
      kRetryPause, [this, kept = this->alive, gift] {
        gift->retry.reset();
        if (*kept) {
          this->Attempt(gift);
        }
      });
}

void SampleOutputTransfer::End(const GiftPointer& gift, bool taken) {
  this->gifts.erase(gift);
  WriteLog(taken ? LogLevel::kInfo : LogLevel::kWarning,
           taken ? "texts handed over" : "texts in progress are lost",
           {{"partition", std::to_string(gift->partition)},
            {"texts", std::to_string(gift->texts)}});
}

}  // namespace carobbank
