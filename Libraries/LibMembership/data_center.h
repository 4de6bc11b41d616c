// Data centers, their regions, and the latency between them.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct DataCenter {
  std::string id;
  // Data centers of one region lose the connection to another region together.
  std::string region;
};

// One-way latencies between data centers, from the settings.
class DataCenterMap {
 public:
  void Add(DataCenter data_center);
  void SetLatency(std::string_view from,
                  std::string_view to,
                  std::chrono::microseconds one_way);
  // Latency for pairs without an entry in the settings.
  void SetDefaultLatency(std::chrono::microseconds within_region,
                         std::chrono::microseconds between_regions);

  const DataCenter* Find(std::string_view id) const;
  // Zero within one data center.
  std::chrono::microseconds Latency(std::string_view from,
                                    std::string_view to) const;

 private:
  struct Pair {
    std::string from;
    std::string to;
    auto operator<=>(const Pair&) const = default;
  };

  std::map<std::string, DataCenter, std::less<>> data_centers;
  // Invariant: from < to.
  std::map<Pair, std::chrono::microseconds> latencies;
  std::chrono::microseconds within_region{1000};
  std::chrono::microseconds between_regions{40000};
};

}  // namespace carobbank
