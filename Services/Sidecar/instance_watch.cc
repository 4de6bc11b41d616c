// Reading the list, at a pace bounded in bytes a second.

#include "Sidecar/instance_watch.h"

#include <algorithm>
#include <utility>

namespace carobbank {

namespace {

constexpr Milliseconds kMinimumPause{1'000};
constexpr std::int64_t kBytesPerRow = 160;
constexpr std::int64_t kBytesPerSecond = 1'024;

Milliseconds PauseFor(std::size_t rows) {
  const std::int64_t bytes = static_cast<std::int64_t>(rows) * kBytesPerRow;
  return std::max(kMinimumPause, Milliseconds(bytes * 1'000 / kBytesPerSecond));
}

}  // namespace

InstanceWatch::InstanceWatch(ControlTimers& timers,
                             InstanceListClient& list,
                             std::string instance,
                             std::string pool,
                             std::function<void(const Neighbourhood&)> changed)
    : timers(timers),
      list(list),
      instance(std::move(instance)),
      pool(std::move(pool)),
      changed(std::move(changed)) {}

void InstanceWatch::Start() {
  this->Fetch();
}

void InstanceWatch::Fetch() {
  this->list.Fetch([this, token = std::weak_ptr<bool>(this->alive)](
                       const Outcome<InstanceListing>& listing) {
    if (!token.expired()) {
      this->OnListing(listing);
    }
  });
}

void InstanceWatch::OnListing(const Outcome<InstanceListing>& listing) {
  this->reachable = listing.Ok();
  const Milliseconds pause =
      listing.Ok() ? PauseFor(listing.Value().instances.size()) : kMinimumPause;
  this->timer = this->timers.CallAfter(pause, [this] { this->Fetch(); });
  if (!listing.Ok()) {
    return;
  }
  Neighbourhood read = this->Read(listing.Value());
  if (read != this->known) {
    this->known = std::move(read);
    this->changed(this->known);
  }
}

Neighbourhood InstanceWatch::Read(const InstanceListing& listing) const {
  Neighbourhood read;
  for (const ListedInstance& row : listing.instances) {
    const bool live = row.state == InstanceState::kLive;
    if (row.role == InstanceRole::kEntry) {
      if (live) {
        read.entries.push_back({row.id, row.address});
      }
      continue;
    }
    if (row.id == this->instance) {
      read.leaving = !live;
    }
    if (live && row.pool == this->pool) {
      read.pool.push_back(row.id);
    }
  }
  return read;
}

}  // namespace carobbank
