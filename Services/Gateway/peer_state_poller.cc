// Polling rounds, and the conclusions from the responses of the peers.

#include "peer_state_poller.h"

#include <utility>

#include "request_record_log.h"

#include "LibProcess/process.h"

namespace carobbank {

namespace {

constexpr int kOk = 200;
constexpr Milliseconds kRoundPeriod{500};
constexpr Milliseconds kCallTimeout{400};
// The state grows with the number of servers.
constexpr std::size_t kMaxStateBytes = 16 * 1024 * 1024;
// Consecutive rounds in which a peer reached the log, or no peer responded at
// all. One round is not enough: peers notice an outage at different moments,
// and single peers are down.
constexpr int kRoundsToCutOff = 2;

Json::Value EncodeRecords(const std::vector<KeyedLogRecord>& records) {
  Json::Value rows(Json::arrayValue);
  for (const KeyedLogRecord& record : records) {
    Json::Value row(Json::arrayValue);
    row.append(Json::UInt64(record.offset));
    row.append(record.record.key);
    row.append(EncodeBase64(record.record.value));
    rows.append(std::move(row));
  }
  return rows;
}

std::vector<KeyedLogRecord> DecodeRecords(const Json::Value& rows) {
  std::vector<KeyedLogRecord> records;
  for (const Json::Value& row : rows) {
    if (!row.isArray() || row.size() != 3 || !row[0].isUInt64() ||
        !row[1].isString() || !row[2].isString()) {
      continue;
    }
    if (auto value = DecodeBase64(row[2].asString())) {
      records.push_back(
          {row[0].asUInt64(), {row[1].asString(), std::move(*value)}});
    }
  }
  return records;
}

}  // namespace

std::string EncodePeerState(const PeerState& state) {
  Json::Value value;
  value["reaches_log"] = state.reaches_log;
  value["operator"] = EncodeRecords(state.operator_records);
  value["servers"] = EncodeRecords(state.server_records);
  value["crashes"] = RequestRecordLog::ToJson(state.known_records);
  value["unconfirmed_crashes"] =
      RequestRecordLog::ToJson(state.unconfirmed_records);
  return WriteJson(value);
}

std::optional<PeerState> DecodePeerState(std::string_view text) {
  const std::optional<Json::Value> body = ParseJsonObject(text);
  if (!body || !(*body)["reaches_log"].isBool()) {
    return std::nullopt;
  }
  PeerState state;
  state.reaches_log = (*body)["reaches_log"].asBool();
  state.operator_records = DecodeRecords((*body)["operator"]);
  state.server_records = DecodeRecords((*body)["servers"]);
  state.known_records = RequestRecordLog::FromJson((*body)["crashes"]);
  state.unconfirmed_records =
      RequestRecordLog::FromJson((*body)["unconfirmed_crashes"]);
  return state;
}

PeerStatePoller::PeerStatePoller(GatewayEnvironment& environment,
                                 std::vector<std::string> peers,
                                 PeerStatePollerHandlers handlers)
    : environment(environment),
      peers(std::move(peers)),
      handlers(std::move(handlers)) {}

PeerStatePoller::~PeerStatePoller() {
  *this->alive = false;
}

void PeerStatePoller::SetLogUnreachable(bool unreachable) {
  if (this->log_unreachable == unreachable) {
    return;
  }
  this->log_unreachable = unreachable;
  this->isolated_rounds = 0;
  ++this->round;
  this->timer.reset();
  if (unreachable) {
    this->Poll();
    return;
  }
  if (std::exchange(this->cut_off, false)) {
    this->handlers.on_cut_off_changed(false);
  }
}

std::string PeerStatePoller::Query() const {
  if (this->handlers.wants_records()) {
    return "?" + std::string(kRecordsQuery) + "=1";
  }
  const auto offset = this->handlers.configuration_offset
                          ? this->handlers.configuration_offset()
                          : std::nullopt;
  return offset ? "?" + std::string(kConfigurationQuery) + "=" +
                      std::to_string(*offset)
                : "";
}

void PeerStatePoller::ReceiveRecords(const PeerState& state) {
  if (state.operator_records.empty()) {
    return;
  }
  if (this->handlers.wants_records()) {
    this->handlers.on_records(state);
    return;
  }
  for (const KeyedLogRecord& record : state.operator_records) {
    const auto offset = this->handlers.configuration_offset
                            ? this->handlers.configuration_offset()
                            : std::nullopt;
    if (offset && record.offset > *offset) {
      this->handlers.on_newer_configuration(record);
    }
  }
}

void PeerStatePoller::Poll() {
  if (this->peers.empty()) {
    return;
  }
  ++this->round;
  this->pending = this->peers.size();
  this->responses = 0;
  this->peer_reaches_log = false;
  const std::string query = this->Query();
  for (const std::string& peer : this->peers) {
    this->Fetch(
        peer, query,
        [this, poll_round = this->round](const Outcome<HttpResponse>& outcome) {
          this->OnResponse(poll_round, outcome);
        });
  }
}

void PeerStatePoller::Fetch(
    const std::string& peer,
    const std::string& query,
    std::function<void(const Outcome<HttpResponse>&)> on_response) {
  HttpClientRequest request;
  request.url = "http://" + peer + std::string(kPath) + query;
  request.timeout = kCallTimeout;
  request.connect_timeout = kCallTimeout;
  request.max_body_bytes = kMaxStateBytes;
  this->environment.client.Fetch(
      std::move(request),
      [alive = this->alive, on_response = std::move(on_response)](
          const Outcome<HttpResponse>& outcome) {
        if (*alive) {
          on_response(outcome);
        }
      });
}

void PeerStatePoller::RequestConfigurations() {
  for (const std::string& peer : this->peers) {
    this->Fetch(peer, "?" + std::string(kRecordsQuery) + "=1",
                [this](const Outcome<HttpResponse>& outcome) {
                  const auto state = outcome.Ok()
                                         ? DecodePeerState(outcome.Value().body)
                                         : std::nullopt;
                  if (!state) {
                    return;
                  }
                  for (const auto& record : state->operator_records) {
                    this->handlers.on_newer_configuration(record);
                  }
                });
  }
}

void PeerStatePoller::OnResponse(std::uint64_t poll_round,
                                 const Outcome<HttpResponse>& outcome) {
  if (poll_round != this->round) {
    return;
  }
  --this->pending;
  const bool successful = outcome.Ok() && outcome.Value().status == kOk;
  if (const auto state =
          successful ? DecodePeerState(outcome.Value().body) : std::nullopt) {
    ++this->responses;
    this->peer_reaches_log = this->peer_reaches_log || state->reaches_log;
    if (this->handlers.on_request_records) {
      this->handlers.on_request_records(*state);
    }
    this->ReceiveRecords(*state);
  }
  if (this->pending == 0) {
    this->EndRound();
  }
}

void PeerStatePoller::EndRound() {
  const bool isolated = this->peer_reaches_log || this->responses == 0;
  this->isolated_rounds = isolated ? this->isolated_rounds + 1 : 0;
  const bool now_cut_off = this->isolated_rounds >= kRoundsToCutOff;
  if (now_cut_off != this->cut_off) {
    this->cut_off = now_cut_off;
    WriteLog(LogLevel::kWarning,
             now_cut_off ? "cut off from the log while peers may reach it; "
                           "releasing job partitions"
                         : "log unreachable from peers too; no longer cut off",
             {{"peers_answered", std::to_string(this->responses)},
              {"peer_reaches_log", this->peer_reaches_log ? "true" : "false"}});
    this->handlers.on_cut_off_changed(now_cut_off);
  }
  this->timer =
      this->environment.loop.CallAfter(kRoundPeriod, [this] { this->Poll(); });
}

}  // namespace carobbank
