// Data centers and their latencies.

#include "LibMembership/data_center.h"

namespace carobbank {

void DataCenterMap::Add(DataCenter data_center) {
  std::string id = data_center.id;
  this->data_centers.insert_or_assign(std::move(id), std::move(data_center));
}

void DataCenterMap::SetLatency(std::string_view from,
                               std::string_view to,
                               std::chrono::microseconds one_way) {
  const bool ordered = from < to;
  Pair pair{std::string(ordered ? from : to), std::string(ordered ? to : from)};
  this->latencies.insert_or_assign(std::move(pair), one_way);
}

void DataCenterMap::SetDefaultLatency(
    std::chrono::microseconds within_region,
    std::chrono::microseconds between_regions) {
  this->within_region = within_region;
  this->between_regions = between_regions;
}

const DataCenter* DataCenterMap::Find(std::string_view id) const {
  const auto found = this->data_centers.find(id);
  return found == this->data_centers.end() ? nullptr : &found->second;
}

std::chrono::microseconds DataCenterMap::Latency(std::string_view from,
                                                 std::string_view to) const {
  if (from == to) {
    return std::chrono::microseconds(0);
  }
  const bool ordered = from < to;
  const auto configured = this->latencies.find(
      {std::string(ordered ? from : to), std::string(ordered ? to : from)});
  if (configured != this->latencies.end()) {
    return configured->second;
  }
  const DataCenter* left = this->Find(from);
  const DataCenter* right = this->Find(to);
  const bool same_region =
      left != nullptr && right != nullptr && left->region == right->region;
  return same_region ? this->within_region : this->between_regions;
}

}  // namespace carobbank
