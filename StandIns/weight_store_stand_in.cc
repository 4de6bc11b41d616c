// Versions and transfers of the weight store stand-in.

#include "StandIns/weight_store_stand_in.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace carobbank {

namespace {

// Size of the response body, which is a placeholder for the weights. Only the
// transfer time depends on the version's size.
constexpr std::size_t kBodyBytes = 1'024;

constexpr SettingField<WeightStoreSettings> kWeightStoreSettings[] = {
    {"bytes_per_second", &WeightStoreSettings::bytes_per_second},
    {"max_backlog_ms", &WeightStoreSettings::max_backlog_ms},
    {"version_bytes", &WeightStoreSettings::version_bytes},
    {"outage", &WeightStoreSettings::outage},
};

// The parts of "/models/{model}[/versions/{version}]".
struct WeightPath {
  std::string model;
  std::optional<std::uint64_t> version;
};

std::string DecodeModel(std::string_view text) {
  // Uses Query() to decode percent-encoding.
  HttpRequest request;
  request.target = "/?model=" + std::string(text);
  return request.Query("model").value_or("");
}

std::optional<WeightPath> ParsePath(std::string_view path) {
  constexpr std::string_view kModels = "/models/";
  constexpr std::string_view kVersions = "/versions/";
  if (!path.starts_with(kModels)) {
    return std::nullopt;
  }
  path.remove_prefix(kModels.size());
  const std::size_t versions = path.find(kVersions);
  WeightPath result;
  result.model = DecodeModel(path.substr(0, versions));
  if (versions == std::string_view::npos) {
    return result;
  }
  const std::string_view digits = path.substr(versions + kVersions.size());
  std::uint64_t version = 0;
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  result.version = version;
  return result;
}

}  // namespace

Result<void> WeightStoreStandIn::ApplyControlMember(const std::string& name,
                                                    const Json::Value& value) {
  if (name == "put") {
    return this->Put(value);
  }
  return ApplySetting<WeightStoreSettings>(kWeightStoreSettings, name, value,
                                           this->settings);
}

Result<void> WeightStoreStandIn::Put(const Json::Value& value) {
  if (value.isArray()) {
    for (const Json::Value& item : value) {
      BOOST_LEAF_CHECK(this->Put(item));
    }
    return {};
  }
  const std::string model = JsonString(value, "model");
  const std::int64_t version = JsonInteger(value, "version");
  if (model.empty() || version <= 0) {
    return Fail(ErrorKind::kInvalidArgument,
                "put has no model or no positive version",
                "send {\"model\", \"version\", \"bytes\"}");
  }
  this->Store(model, static_cast<std::uint64_t>(version),
              JsonInteger(value, "bytes", this->settings.version_bytes));
  return {};
}

void WeightStoreStandIn::WriteControlState(Json::Value& state) const {
  WriteSettings<WeightStoreSettings>(kWeightStoreSettings, this->settings,
                                     state);
}

Json::Value WeightStoreStandIn::Record() const {
  Json::Value result;
  result["models"] = Json::Value(Json::objectValue);
  for (const auto& [model, versions] : this->models) {
    for (const auto& [version, bytes] : versions) {
      result["models"][model][std::to_string(version)] = Json::Int64{bytes};
    }
  }
  result["transfers"] = Json::UInt64{this->transfers};
  result["refused"] = Json::UInt64{this->refused};
  return result;
}

void WeightStoreStandIn::Handle(const HttpRequest& request,
                                std::shared_ptr<HttpResponder> responder) {
  if (this->settings.outage) {
    SendCode(*responder, 503, "outage");
    return;
  }
  const auto path = ParsePath(request.Path());
  if (!path.has_value()) {
    SendCode(*responder, 404, "unknown_path");
    return;
  }
  if (request.method == "PUT" && path->version.has_value()) {
    this->Store(path->model, *path->version, this->settings.version_bytes);
    responder->Send(JsonResponse(200, Json::Value(Json::objectValue)));
    return;
  }
  if (this->Backlog() > Milliseconds(this->settings.max_backlog_ms)) {
    ++this->refused;
    SendCode(*responder, 429, "rate_limit");
    return;
  }
  if (path->version.has_value()) {
    this->SendBytes(path->model, *path->version, std::move(responder));
    return;
  }
  this->SendVersions(path->model, *responder);
}

void WeightStoreStandIn::SendVersions(const std::string& model,
                                      HttpResponder& responder) const {
  const auto found = this->models.find(model);
  if (found == this->models.end()) {
    SendCode(responder, 404, "unknown_model");
    return;
  }
  Json::Value body;
  body["model"] = model;
  for (const auto& [version, bytes] : found->second) {
    body["versions"].append(Json::UInt64{version});
  }
  responder.Send(JsonResponse(200, body));
}

void WeightStoreStandIn::SendBytes(const std::string& model,
                                   std::uint64_t version,
                                   std::shared_ptr<HttpResponder> responder) {
  const auto found = this->models.find(model);
  const bool known =
      found != this->models.end() && found->second.contains(version);
  if (!known) {
    SendCode(*responder, 404, "unknown_version");
    return;
  }
  ++this->transfers;
  this->After(this->ReserveLink(found->second.at(version)),
              [responder = std::move(responder)] {
                HttpResponse response;
                response.body.assign(kBodyBytes, 'w');
                responder->Send(std::move(response));
              });
}

void WeightStoreStandIn::Store(const std::string& model,
                               std::uint64_t version,
                               std::int64_t bytes) {
  this->models[model][version] = bytes;
}

Milliseconds WeightStoreStandIn::Backlog() const {
  const auto backlog = this->link_free_at - this->clock.Now();
  return std::chrono::duration_cast<Milliseconds>(backlog);
}

Milliseconds WeightStoreStandIn::ReserveLink(std::int64_t bytes) {
  const std::int64_t rate = this->settings.bytes_per_second;
  if (rate == 0) {
    return Milliseconds(0);
  }
  const Milliseconds transfer(bytes * 1'000 / rate);
  const MonotonicTime begin = std::max(this->link_free_at, this->clock.Now());
  this->link_free_at = begin + transfer;
  return std::max(this->Backlog(), Milliseconds(0));
}

}  // namespace carobbank
