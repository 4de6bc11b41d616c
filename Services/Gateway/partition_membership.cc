// Joining, staying and leaving.

#include "partition_membership.h"

#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

// Joins within one time to live, so that lost ones cost no partition.
constexpr std::int64_t kJoinsPerTtl = 4;
// An instance outside looks so often whether owners are missing.
constexpr Milliseconds kOutsidePause{1'000};
// Before the owners were read for the first time.
constexpr Milliseconds kUnknownPause{100};

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
      capacity(OwnerDirectory::Fitness(environment.settings)) {}

PartitionMembership::~PartitionMembership() {
  *this->alive = false;
}

void PartitionMembership::Start() {
  this->owners.Refresh();
  this->ReviewAfter(GroupJoinDelay(this->capacity));
}

void PartitionMembership::Shutdown() {
  this->shut_down = true;
  this->Leave();
}

void PartitionMembership::ReviewAfter(Milliseconds delay) {
  this->timer = this->environment.loop.CallAfter(delay, [this] {
    this->timer.reset();
    this->Review();
  });
}

void PartitionMembership::Review() {
  if (!this->owners.Known()) {
    this->owners.Refresh();
    this->ReviewAfter(kUnknownPause);
    return;
  }
  const std::size_t wanted = TargetOwnerCount(
      static_cast<std::size_t>(this->environment.settings.job_partitions));
  if (ShouldOwn(this->capacity, this->member,
                this->owners.OtherOwnerCapacities(), wanted)) {
    this->Join();
    return;
  }
  if (this->member) {
    this->Leave();
  }
  this->owners.Refresh();
  this->ReviewAfter(kOutsidePause);
}

void PartitionMembership::Join() {
  this->member = true;
  this->environment.log.Join(
      this->group, OwnerDirectory::MemberName(this->environment.settings),
      this->topic, this->generation,
      [this, kept = this->alive](const Outcome<GroupMembership>& outcome) {
        if (*kept) {
          this->Joined(outcome);
        }
      });
}

void PartitionMembership::Joined(const Outcome<GroupMembership>& outcome) {
  if (this->shut_down) {
    return;
  }
  this->ReviewAfter(
      Milliseconds(this->environment.settings.member_ttl_ms / kJoinsPerTtl));
  if (!outcome.Ok()) {
    // What is known of ownership stays: nobody else can learn better.
    return;
  }
  this->generation = outcome.Value().generation;
  this->owners.NoteGeneration(this->generation);
  std::set<std::int64_t> shared_out;
  for (const TopicPartition& part : outcome.Value().partitions) {
    if (part.partition < this->environment.settings.job_partitions) {
      shared_out.insert(part.partition);
    }
  }
  this->SetOwned(std::move(shared_out));
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
    for (const std::int64_t part : partitions) {
      list += (list.empty() ? "" : ",") + std::to_string(part);
    }
    WriteLog(LogLevel::kInfo, "owns job partitions",
             {{"partitions", list},
              {"generation", std::to_string(this->generation)}});
  }
  this->owned = std::move(partitions);
  this->on_owned(this->owned);
}

}  // namespace carobbank
