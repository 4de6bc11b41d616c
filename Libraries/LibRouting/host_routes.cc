// Longest-prefix match within a host, and weighted choice of a service.

#include "LibRouting/host_routes.h"

#include <algorithm>

namespace carobbank {

namespace {

std::string NormalizedHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](char letter) {
    return letter >= 'A' && letter <= 'Z'
               ? static_cast<char>(letter - 'A' + 'a')
               : letter;
  });
  return name;
}

}  // namespace

const std::string& ChooseService(const HostRoute& route, std::uint64_t draw) {
  std::uint64_t total = 0;
  for (const WeightedService& target : route.services) {
    total += static_cast<std::uint64_t>(target.weight);
  }
  std::uint64_t left = draw % std::max<std::uint64_t>(total, 1);
  for (const WeightedService& target : route.services) {
    const auto weight = static_cast<std::uint64_t>(target.weight);
    if (left < weight) {
      return target.service;
    }
    left -= weight;
  }
  return route.services.back().service;
}

HostRoutes::HostRoutes(std::vector<HostRoute> routes) {
  for (HostRoute& route : routes) {
    this->have_public_jobs =
        this->have_public_jobs ||
        (route.is_public && route.use == RouteUse::kBatchJobs);
    this->routes_by_host[NormalizedHost(route.host)].push_back(
        std::move(route));
  }
  for (auto& [host, host_routes] : this->routes_by_host) {
    std::stable_sort(host_routes.begin(), host_routes.end(),
                     [](const HostRoute& left, const HostRoute& right) {
                       return left.path_prefix.size() >
                              right.path_prefix.size();
                     });
  }
}

const HostRoute* HostRoutes::Find(std::string_view host,
                                  std::string_view path) const {
  const auto found = this->routes_by_host.find(NormalizedHost(host));
  if (found == this->routes_by_host.end()) {
    return nullptr;
  }
  for (const HostRoute& route : found->second) {
    if (path.starts_with(route.path_prefix)) {
      return &route;
    }
  }
  return nullptr;
}

std::vector<const HostRoute*> HostRoutes::All() const {
  std::vector<const HostRoute*> all;
  for (const auto& [host, routes] : this->routes_by_host) {
    for (const HostRoute& route : routes) {
      all.push_back(&route);
    }
  }
  return all;
}

}  // namespace carobbank
