// Which responses name or end a server's limit.

#include "server_limits.h"

#include <algorithm>

#include "LibProcess/process.h"
#include "LibScheduling/scheduling.h"

namespace carobbank {

namespace {

constexpr int kMisdirected = 421;

std::ptrdiff_t CountHeaders(const HttpHeaders& headers, std::string_view name) {
  return std::count_if(headers.begin(), headers.end(),
                       [name](const HttpHeader& header) {
                         return HeaderNamesEqual(header.name, name);
                       });
}

}  // namespace

void ServerLimits::Observe(const LimitedRequest& request,
                           int status,
                           const HttpHeaders& headers) {
  const WireHeaderNames& names = this->environment.dialect.HeaderNames();
  const auto echoed = FindHeader(headers, names.request_id);
  const auto sender = FindHeader(headers, names.server_id);
  if (status == kMisdirected || (echoed && *echoed != request.request_id) ||
      (sender && *sender != request.server_id)) {
    return;
  }
  const FleetServer* const server =
      this->environment.fleet.Find(request.server_id);
  if (server == nullptr || server->started_at != request.server_start) {
    return;
  }
  const auto text = FindHeader(headers, names.request_limit);
  if (!text) {
    const auto known = this->limits.find(request.server_id);
    // Bytes that are no response of the server echo no id.
    if (known != this->limits.end() && echoed) {
      this->End(known, "a response names none");
    }
    return;
  }
  const std::optional<double> per_second = ParseRequestRate(*text);
  if (!per_second || CountHeaders(headers, names.request_limit) != 1) {
    std::string& reported = this->malformed[server->id];
    if (reported != *text) {
      reported = *text;
      WriteLog(LogLevel::kWarning,
               "request limit ignored: it is no single decimal number",
               {{"server", server->id},
                {"request", std::string(request.request_id)},
                {"limit", reported}});
    }
    return;
  }
  this->Set(*server, *per_second);
}

void ServerLimits::Set(const FleetServer& server, double per_second) {
  const MonotonicTime now = this->environment.clock.BootNow();
  ServerLimit& limit = this->limits[server.id];
  const bool is_new = limit.named_at == MonotonicTime() ||
                      limit.server_start != server.started_at;
  const double before = limit.per_second;
  limit = {server.started_at, per_second, now};
  if (is_new || before != per_second) {
    WriteLog(LogLevel::kInfo,
             is_new ? "backend server limits its requests"
                    : "backend server changed the limit of its requests",
             {{"server", server.id},
              {"service", server.service},
              {"server_started_at", std::to_string(server.started_at)},
              {"per_second_before", std::to_string(is_new ? 0.0 : before)},
              {"per_second", std::to_string(per_second)}});
    this->UpdateGauge(server.service);
  }
}

void ServerLimits::End(LimitMap::iterator limit, std::string_view reason) {
  const std::string id = limit->first;
  WriteLog(LogLevel::kInfo, "backend server no longer limits its requests",
           {{"server", id},
            {"server_started_at", std::to_string(limit->second.server_start)},
            {"reason", std::string(reason)}});
  this->limits.erase(limit);
  if (const FleetServer* const server = this->environment.fleet.Find(id)) {
    this->UpdateGauge(server->service);
  }
}

const ServerLimit* ServerLimits::Find(const FleetServer& server) const {
  const auto found = this->limits.find(server.id);
  const bool holds = found != this->limits.end() &&
                     found->second.server_start == server.started_at;
  return holds ? &found->second : nullptr;
}

void ServerLimits::RemoveEnded() {
  std::erase_if(this->malformed, [this](const auto& entry) {
    return this->environment.fleet.Find(entry.first) == nullptr;
  });
  for (auto next = this->limits.begin(); next != this->limits.end();) {
    const auto limit = next++;
    const FleetServer* const server =
        this->environment.fleet.Find(limit->first);
    if (server == nullptr) {
      this->End(limit, "the server is gone");
    } else if (server->started_at != limit->second.server_start) {
      this->End(limit, "the server started again");
    }
  }
}

void ServerLimits::UpdateGauge(std::string_view service) {
  double sum = 0;
  for (const auto& [id, limit] : this->limits) {
    const FleetServer* const server = this->environment.fleet.Find(id);
    if (server != nullptr && server->service == service) {
      sum += limit.per_second;
    }
  }
  this->environment.metrics
      .GetGauge(metrics::kServerLimits, {{"service", std::string(service)}})
      .Set(sum);
}

}  // namespace carobbank
