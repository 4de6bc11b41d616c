// Requests, generations and reports of the engine stand-in. Steps are in
// engine_steps.cc, orders in engine_order_flow.cc.

#include "StandIns/engine_stand_in.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "StandIns/completion_writer.h"
#include "StandIns/token_model.h"

namespace carobbank {

namespace {

struct Route {
  std::string_view method;
  std::string_view path;
};

bool Matches(const HttpRequest& request, const Route& route) {
  return request.method == route.method && request.Path() == route.path;
}

constexpr Route kCompletions{"POST", "/v1/completions"};
constexpr Route kCancel{"POST", "/v1/cancel"};
constexpr Route kOrders{"POST", "/orders"};
constexpr Route kState{"GET", "/state"};
constexpr Route kLoad{"GET", "/load"};
constexpr Route kCacheEvents{"GET", "/cache_events"};

}  // namespace

EngineStandIn::EngineStandIn(EventLoop& loop, StandInOptions options)
    : StandIn(loop, std::move(options)), client(HttpClient::Create(loop)) {
  this->SetVersion(static_cast<std::uint64_t>(this->settings.version));
  this->ReportLoad();
}

void EngineStandIn::Handle(const HttpRequest& request,
                           std::shared_ptr<HttpResponder> responder) {
  this->has_received_request = true;
  if (Matches(request, kCompletions)) {
    this->HandleCompletion(request, std::move(responder));
  } else if (Matches(request, kCancel)) {
    this->HandleCancel(request, *responder);
  } else if (Matches(request, kOrders)) {
    this->HandleOrder(request, *responder);
  } else if (Matches(request, kState)) {
    this->SendState(*responder);
  } else if (Matches(request, kLoad)) {
    responder->Send(JsonResponse(200, this->load_report));
  } else if (Matches(request, kCacheEvents)) {
    this->SendCacheEvents(request, *responder);
  } else {
    SendCode(*responder, 404, "unknown_path");
  }
}

Result<void> EngineStandIn::ApplyControlMember(const std::string& name,
                                               const Json::Value& value) {
  if (name == "restart") {
    if (!value.isObject() || !value["version"].isUInt64()) {
      return Fail(ErrorKind::kInvalidArgument, "restart has no version",
                  "send {\"restart\": {\"version\": V}}");
    }
    this->restart_version = value["version"].asUInt64();
    this->After(Milliseconds(0), [this] { this->Crash(); });
    return {};
  }
  BOOST_LEAF_CHECK(ApplySetting<EngineSettings>(EngineSettingFields(), name,
                                                value, this->settings));
  const bool sets_initial_version =
      name == "version" && !this->has_received_request;
  if (sets_initial_version) {
    this->version_changes.clear();
    this->SetVersion(static_cast<std::uint64_t>(this->settings.version));
  }
  return {};
}

void EngineStandIn::WriteControlState(Json::Value& state) const {
  WriteSettings<EngineSettings>(EngineSettingFields(), this->settings, state);
}

Json::Value EngineStandIn::Record() const {
  Json::Value record;
  record["incarnation"] = Json::UInt64{this->incarnation};
  record["version"] = Json::UInt64{this->version};
  record["generations"] = Json::Value(Json::arrayValue);
  for (const GenerationPointer& generation : this->generations) {
    record["generations"].append(generation->ToRecord());
  }
  for (const VersionChange& change : this->version_changes) {
    Json::Value entry;
    entry["since_ms"] = Json::Int64{change.since_ms};
    entry["version"] = Json::UInt64{change.version};
    entry["incarnation"] = Json::UInt64{change.incarnation};
    record["versions"].append(std::move(entry));
  }
  return record;
}

void EngineStandIn::OnDown() {
  for (const GenerationPointer& generation : this->batch.RemoveAll()) {
    generation->writer->Abort();
    this->EndGeneration(generation, "crashed");
  }
  this->step_ends_at.reset();
  ++this->step_timer;
  this->orders.Clear();
  this->weights_are_loaded = false;
  this->cache.Clear();
  this->cache_events.Clear();
}

void EngineStandIn::OnUp() {
  ++this->incarnation;
  this->SetVersion(this->restart_version.value_or(this->version));
  this->restart_version.reset();
}

void EngineStandIn::HandleCompletion(const HttpRequest& request,
                                     std::shared_ptr<HttpResponder> responder) {
  const auto parsed =
      Capture([&] { return CompletionRequest::Parse(request); });
  if (!parsed.Ok()) {
    SendCode(*responder, 400, parsed.GetError().message);
    return;
  }
  const CompletionRequest& completion = parsed.Value();
  if (completion.model != this->settings.model) {
    SendCode(*responder, 404, "unknown_model");
    return;
  }
  const bool is_repeated = !completion.attempt_id.empty() &&
                           this->batch.Find(completion.attempt_id) != nullptr;
  if (is_repeated) {
    SendCode(*responder, 409, "attempt_in_progress");
    return;
  }
  this->BeginGeneration(completion, std::move(responder));
}

void EngineStandIn::BeginGeneration(const CompletionRequest& request,
                                    std::shared_ptr<HttpResponder> responder) {
  const LengthModel lengths{this->settings.median_tokens,
                            this->settings.length_sigma,
                            this->settings.max_length};
  const std::uint64_t length =
      CompletionLength(request.prompt, request.seed, lengths);
  auto generation = std::make_shared<EngineGeneration>();
  generation->attempt_id = request.attempt_id;
  generation->prompt = request.prompt;
  generation->prompt_digest = Sha256Hex(request.prompt);
  generation->seed = request.seed;
  generation->priority = request.priority;
  generation->incarnation = this->incarnation;
  generation->engine_version = this->version;
  generation->prompt_tokens = PromptTokens(request.prompt);
  generation->first_token = request.resumed_tokens;
  generation->next_token = request.resumed_tokens;
  generation->end_token =
      std::max(std::min(length, request.max_tokens), request.resumed_tokens);
  generation->finish_reason = length <= request.max_tokens ? "stop" : "length";
  generation->started_ms = this->clock.WallNow();
  this->ArmResponseFaults(*generation);
  responder->OnClosed([this, weak = std::weak_ptr(generation)] {
    if (const auto closed = weak.lock()) {
      this->OnPeerClosed(closed);
    }
  });
  const auto chunk_tokens =
      static_cast<std::uint64_t>(this->settings.chunk_tokens);
  generation->writer =
      request.streaming ? CreateStreamWriter(std::move(responder),
                                             this->settings.model, chunk_tokens)
                        : CreateNonStreamingWriter(std::move(responder),
                                                   this->settings.model);
  const auto running = this->batch.Running();
  if (!running.empty() && ConsumeFault(this->settings.cross_answers)) {
    std::swap(generation->writer, running.front()->writer);
  }
  this->generations.push_back(generation);
  this->batch.Add(std::move(generation));
  if (!this->step_ends_at.has_value()) {
    this->BeginStep();
    this->ScheduleStep();
  }
}

void EngineStandIn::ArmResponseFaults(EngineGeneration& generation) {
  generation.is_truncated = ConsumeFault(this->settings.truncate_answers);
  generation.is_aborted =
      !generation.is_truncated && ConsumeFault(this->settings.cut_answers);
  generation.fault_token = (generation.first_token + generation.end_token) / 2;
}

void EngineStandIn::EndGeneration(const GenerationPointer& generation,
                                  std::string final_state) {
  generation->state = std::move(final_state);
  generation->ended_ms = this->clock.WallNow();
  generation->prompt.clear();
  generation->writer.reset();
  this->batch.Remove(*generation);
}

void EngineStandIn::OnPeerClosed(const GenerationPointer& generation) {
  if (!generation->HasEnded()) {
    this->EndGeneration(generation, "peer_closed");
  }
}

void EngineStandIn::HandleCancel(const HttpRequest& request,
                                 HttpResponder& responder) {
  const auto body = Capture([&] { return ParseJson(request.body); });
  const std::string attempt_id =
      body.Ok() ? JsonString(body.Value(), "attempt_id") : "";
  if (attempt_id.empty()) {
    SendCode(responder, 400, "no_attempt_id");
    return;
  }
  const GenerationPointer generation = this->batch.Find(attempt_id);
  if (generation != nullptr) {
    generation->writer->Cancel(*generation);
    this->EndGeneration(generation, "cancelled");
  }
  Json::Value response_body;
  response_body["found"] = generation != nullptr;
  responder.Send(JsonResponse(200, response_body));
}

void EngineStandIn::SendState(HttpResponder& responder) const {
  Json::Value state;
  state["model"] = this->settings.model;
  state["version"] = Json::UInt64{this->version};
  state["incarnation"] = Json::UInt64{this->incarnation};
  this->orders.WriteState(state);
  responder.Send(JsonResponse(200, state));
}

void EngineStandIn::SendCacheEvents(const HttpRequest& request,
                                    HttpResponder& responder) const {
  const std::string text = request.Query("from").value_or("0");
  std::uint64_t from = 0;
  std::from_chars(text.data(), text.data() + text.size(), from);
  responder.Send(
      JsonResponse(200, this->cache_events.Page(from, this->clock.Now())));
}

void EngineStandIn::ReportLoad() {
  this->load_report["as_of_ms"] = Json::Int64{this->clock.WallNow()};
  this->load_report["running"] = Json::UInt64{this->batch.Running().size()};
  this->load_report["waiting"] = Json::UInt64{this->batch.WaitingCount()};
  this->load_report["max_batch"] = Json::Int64{this->settings.max_batch};
  this->load_report["cache_tokens_used"] =
      Json::UInt64{this->cache.UsedTokens()};
  this->load_report["cache_tokens_total"] =
      Json::Int64{this->settings.cache_tokens};
  const auto batch = static_cast<std::int64_t>(this->batch.Running().size());
  const auto interval =
      this->Scaled(this->settings.token_interval_us +
                   batch * this->settings.token_interval_per_sequence_us);
  this->load_report["token_interval_us"] = Json::Int64{interval.count()};
  this->After(this->ScaledDelay(this->settings.load_report_ms),
              [this] { this->ReportLoad(); });
}

}  // namespace carobbank
