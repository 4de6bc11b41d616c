// Joins the group, renews the membership and leaves.

#include "partition_membership.h"

#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

// Joins per time to live of a member, so that a few lost joins cost no
// partition.
constexpr std::int64_t kJoinsPerTtl = 4;
// Interval at which an instance that is not a member checks whether owners are
// missing.
constexpr Milliseconds kNonMemberCheckPeriod{1'000};
// The same soon after the start, when all instances may have been lost: the
// owners before are listed until their time to live ends.
constexpr Milliseconds kStartCheckPeriod{250};
constexpr Milliseconds kStartTime{5'000};
// How long owners are missing before a machine that is not large enough joins.
// Larger machines notice within kStartCheckPeriod and a read of the log.
constexpr Milliseconds kLargerMachinesFirst{600};
// A member reads the owners this often. A new generation alone doesn't show
// them: partitions change hands only when the members before have joined again.
constexpr Milliseconds kOwnersReadPeriod{1'000};
// Delay before a retry while the owners have not been read yet.
constexpr Milliseconds kUnknownOwnersDelay{100};

}  // namespace

PartitionMembership::PartitionMembership(
    GatewayEnvironment& environment,
    OwnerDirectory& owners,
    std::string group,
    std::string topic,
    std::function<void(std::set<std::int64_t>)> on_owned)
    : environment(environment),
      owners(owners),
      group(std::move(group)),
      topic(std::move(topic)),
      on_owned(std::move(on_owned)),
      capacity(OwnerDirectory::Capacity(environment.settings)) {}

PartitionMembership::~PartitionMembership() {
  *this->alive = false;
}

void PartitionMembership::Start() {
  this->started_at = this->environment.clock.Now();
  this->owners.Refresh();
  this->ReconcileAfter(GroupJoinDelay(this->capacity));
}

void PartitionMembership::Shutdown() {
  this->shut_down = true;
  this->Leave();
}

void PartitionMembership::ReconcileAfter(Milliseconds delay) {
  this->timer = this->environment.loop.CallAfter(delay, [this] {
    this->timer.reset();
    this->Reconcile();
  });
}

void PartitionMembership::Reconcile() {
  if (!this->owners.OwnersRead()) {
    this->owners.Refresh();
    this->ReconcileAfter(kUnknownOwnersDelay);
    return;
  }
  const std::size_t target = TargetOwnerCount(
      static_cast<std::size_t>(this->environment.settings.job_partitions));
  const std::string name =
      OwnerDirectory::MemberName(this->environment.settings);
  const bool should_own =
      ShouldOwn({this->capacity, name}, !this->owned.empty(),
                this->owners.OtherOwners(), target);
  if (!this->member) {
    this->ReconcileAsNonMember(should_own);
    return;
  }
  if (should_own) {
    this->Join();
    return;
  }
  this->Leave();
  this->owners.Refresh();
  this->ReconcileAfter(kNonMemberCheckPeriod);
}

void PartitionMembership::ReconcileAsNonMember(bool should_own) {
  const MonotonicTime now = this->environment.clock.Now();
  if (!should_own) {
    this->owners_missing_since.reset();
  } else if (!this->owners_missing_since) {
    this->owners_missing_since = now;
  }
  const bool may_join =
      should_own && (IsLargeEnough(this->capacity) ||
                     now - *this->owners_missing_since >= kLargerMachinesFirst);
  if (may_join) {
    this->owners_missing_since.reset();
    this->Join();
    return;
  }
  this->owners.Refresh();
  const bool just_started = now - this->started_at < kStartTime;
  this->ReconcileAfter(should_own || just_started ? kStartCheckPeriod
                                                  : kNonMemberCheckPeriod);
}

void PartitionMembership::Join() {
  this->member = true;
  this->environment.log.Join(
      this->group, OwnerDirectory::MemberName(this->environment.settings),
      this->topic, this->generation,
      [this, alive = this->alive](const Outcome<GroupMembership>& outcome) {
        if (*alive) {
          this->OnJoined(outcome);
        }
      });
}

void PartitionMembership::OnJoined(const Outcome<GroupMembership>& outcome) {
  if (this->shut_down) {
    return;
  }
  this->ReconcileAfter(
      Milliseconds(this->environment.settings.member_ttl_ms / kJoinsPerTtl));
  if (!outcome.Ok()) {
    // Keep the owned partitions: no other instance has newer information while
    // the log is unreachable.
    return;
  }
  this->generation = outcome.Value().generation;
  this->owners.OnGeneration(this->generation);
  const MonotonicTime now = this->environment.clock.Now();
  if (now - this->owners_requested_at >= kOwnersReadPeriod) {
    this->owners_requested_at = now;
    this->owners.Refresh();
  }
  std::set<std::int64_t> assigned;
  for (const TopicPartition& partition : outcome.Value().partitions) {
    if (partition.partition < this->environment.settings.job_partitions) {
      assigned.insert(partition.partition);
    }
  }
  this->SetOwned(std::move(assigned));
}

void PartitionMembership::Leave() {
  this->timer.reset();
  if (std::exchange(this->member, false)) {
    this->environment.log.Leave(
        this->group, OwnerDirectory::MemberName(this->environment.settings));
  }
  this->SetOwned({});
}

void PartitionMembership::SetOwned(std::set<std::int64_t> partitions) {
  if (partitions != this->owned) {
    std::string list;
    for (const std::int64_t number : partitions) {
      list += (list.empty() ? "" : ",") + std::to_string(number);
    }
    WriteLog(LogLevel::kInfo, "owned job partitions changed",
             {{"partitions", list},
              {"generation", std::to_string(this->generation)}});
  }
  this->owned = std::move(partitions);
  this->on_owned(this->owned);
}

}  // namespace carobbank
