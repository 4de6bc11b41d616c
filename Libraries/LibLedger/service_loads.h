// The requests of each gateway at the servers of each service and data center,
// shared through a keyed topic of the log with one key per gateway.

#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct ServiceLocation {
  std::string service;
  std::string data_center;

  auto operator<=>(const ServiceLocation&) const = default;
};

// Mean number of requests in flight.
using ServiceLoads = std::map<ServiceLocation, std::int64_t>;

KeyedRecord EncodeServiceLoads(std::string_view instance,
                               const ServiceLoads& loads);
// Empty when the value is malformed.
std::optional<ServiceLoads> DecodeServiceLoads(std::string_view value);

// The loads of all gateways. Times are of Clock::BootNow().
class ServiceLoadFold {
 public:
  // Applies a record that was read at `now`.
  void Apply(const KeyedRecord& record, MonotonicTime now);
  void Clear() { this->gateways.clear(); }
  // The sum over the gateways whose record was read at most kValid ago: a
  // gateway that has requests appends more often.
  ServiceLoads Sum(MonotonicTime now) const;
  // Deletions of gateways that have not appended for kKept.
  std::vector<KeyedRecord> Deletions(MonotonicTime now) const;

  static constexpr Milliseconds kValid{15'000};
  static constexpr Milliseconds kKept{120'000};

 private:
  struct Gateway {
    MonotonicTime read_at;
    ServiceLoads loads;
  };
  // By key.
  std::map<std::string, Gateway, std::less<>> gateways;
};

}  // namespace carobbank
