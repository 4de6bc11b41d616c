// Reads the instance list at an interval that bounds the bytes per second.

#include "Sidecar/instance_watch.h"

#include <algorithm>
#include <utility>

namespace carobbank {

namespace {

constexpr Milliseconds kMinimumInterval{1'000};
constexpr std::int64_t kBytesPerRow = 160;
constexpr std::int64_t kBytesPerSecond = 1'024;

Milliseconds IntervalFor(std::size_t rows) {
  const std::int64_t bytes = static_cast<std::int64_t>(rows) * kBytesPerRow;
  return std::max(kMinimumInterval,
                  Milliseconds(bytes * 1'000 / kBytesPerSecond));
}

}  // namespace

InstanceWatch::InstanceWatch(
    ControlTimers& timers,
    InstanceListClient& list,
    std::string instance,
    std::string pool,
    std::function<void(const InstanceListView&)> changed)
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
  const Milliseconds interval =
      listing.Ok() ? IntervalFor(listing.Value().instances.size())
                   : kMinimumInterval;
  this->timer = this->timers.CallAfter(interval, [this] { this->Fetch(); });
  if (!listing.Ok()) {
    return;
  }
  InstanceListView view = this->ViewOf(listing.Value());
  if (view != this->current) {
    this->current = std::move(view);
    this->changed(this->current);
  }
}

InstanceListView InstanceWatch::ViewOf(const InstanceListing& listing) const {
  InstanceListView view;
  for (const ListedInstance& row : listing.instances) {
    const bool live = row.state == InstanceState::kLive;
    if (row.role == InstanceRole::kEntry) {
      if (live) {
        view.entries.push_back({row.id, row.address});
      }
      continue;
    }
    if (row.id == this->instance) {
      view.leaving = !live;
    }
    if (live && row.pool == this->pool) {
      view.pool.push_back(row.id);
    }
  }
  return view;
}

}  // namespace carobbank
