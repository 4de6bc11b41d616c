// Reading the owners of a group, at a bounded rate.

#include "owner_directory.h"

#include <optional>
#include <set>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

// Many calls may find an owner gone at the same moment; the log is asked once.
constexpr Milliseconds kPauseBetweenReads{100};

// Before the address and the fitness in the name of a member.
constexpr char kAddressMark = '@';
constexpr char kFitnessMark = '#';

struct OwnerName {
  std::string_view address;
  std::int64_t capacity = 0;
};

// Nothing when the name has another form.
std::optional<OwnerName> ParseOwnerName(std::string_view name) {
  const std::size_t address = name.rfind(kAddressMark);
  const std::size_t fitness = name.rfind(kFitnessMark);
  if (address == std::string_view::npos || fitness == std::string_view::npos ||
      fitness < address) {
    return std::nullopt;
  }
  const auto number = ParseInteger<std::int64_t>(name.substr(fitness + 1));
  if (!number) {
    return std::nullopt;
  }
  return OwnerName{name.substr(address + 1, fitness - address - 1), *number};
}

}  // namespace

OwnerDirectory::OwnerDirectory(GatewayEnvironment& environment,
                               std::string group,
                               std::string topic)
    : environment(environment),
      group(std::move(group)),
      topic(std::move(topic)) {}

OwnerDirectory::~OwnerDirectory() {
  *this->alive = false;
}

std::int64_t OwnerDirectory::Fitness(const GatewaySettings& settings) {
  const MachineSettings& machine = settings.machine;
  return OwnerCapacity({machine.cores, machine.link_mbps, machine.memory_mb});
}

std::string OwnerDirectory::MemberName(const GatewaySettings& settings) {
  return settings.instance + kAddressMark + settings.peer_listen +
         kFitnessMark + std::to_string(Fitness(settings));
}

std::string_view OwnerDirectory::OtherOwnerAddress(
    std::int64_t partition) const {
  const auto found = this->addresses.find(partition);
  const bool other = found != this->addresses.end() &&
                     found->second != this->environment.settings.peer_listen;
  return other ? std::string_view(found->second) : std::string_view();
}

std::vector<std::int64_t> OwnerDirectory::PartitionsOf(
    std::string_view address) const {
  std::vector<std::int64_t> owned;
  for (const auto& [partition, owner] : this->addresses) {
    if (owner == address) {
      owned.push_back(partition);
    }
  }
  return owned;
}

void OwnerDirectory::NoteGeneration(std::int64_t seen) {
  if (std::exchange(this->generation, seen) != seen) {
    this->Refresh();
  }
}

void OwnerDirectory::Refresh() {
  if (this->asking || this->timer) {
    this->again = true;
    return;
  }
  this->Ask();
}

void OwnerDirectory::Ask() {
  this->asking = true;
  this->environment.log.ReadOwners(
      this->group, [this, kept = this->alive](const auto& outcome) {
        if (*kept) {
          this->Asked(outcome);
        }
      });
}

void OwnerDirectory::Asked(
    const Outcome<std::vector<PartitionOwner>>& outcome) {
  this->asking = false;
  if (outcome.Ok()) {
    this->Take(outcome.Value());
  } else if (outcome.GetError().kind == ErrorKind::kNotFound) {
    // The group begins with its first member.
    this->Take({});
  } else {
    WriteLog(LogLevel::kWarning, "owners of job partitions not read",
             {{"error", outcome.GetError().Text()}});
  }
  this->timer = this->environment.loop.CallAfter(kPauseBetweenReads, [this] {
    this->timer.reset();
    if (std::exchange(this->again, false)) {
      this->Ask();
    }
  });
}

void OwnerDirectory::Take(std::span<const PartitionOwner> rows) {
  this->known = true;
  this->addresses.clear();
  this->other_owners.clear();
  const std::string own = MemberName(this->environment.settings);
  std::set<std::string_view> counted = {own};
  for (const PartitionOwner& row : rows) {
    const std::optional<OwnerName> member = ParseOwnerName(row.member);
    if (row.partition.topic != this->topic || !member) {
      continue;
    }
    this->addresses[row.partition.partition] = member->address;
    if (counted.insert(row.member).second) {
      this->other_owners.push_back(member->capacity);
    }
  }
}

}  // namespace carobbank
