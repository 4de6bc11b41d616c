// Reads the owners of a group, at a bounded rate.

#include "owner_directory.h"

#include <optional>
#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

// Many calls may find an owner gone at the same moment; they share one read of
// the log.
constexpr Milliseconds kMinimumReadInterval{100};

// Separators before the address and the capacity in the name of a member.
constexpr char kAddressSeparator = '@';
constexpr char kCapacitySeparator = '#';

struct OwnerName {
  std::string_view address;
  std::int64_t capacity = 0;
};

// Empty when the name has another form.
std::optional<OwnerName> ParseOwnerName(std::string_view name) {
  const std::size_t address = name.rfind(kAddressSeparator);
  const std::size_t capacity = name.rfind(kCapacitySeparator);
  if (address == std::string_view::npos || capacity == std::string_view::npos ||
      capacity < address) {
    return std::nullopt;
  }
  const auto number = ParseInteger<std::int64_t>(name.substr(capacity + 1));
  if (!number) {
    return std::nullopt;
  }
  return OwnerName{name.substr(address + 1, capacity - address - 1), *number};
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

std::int64_t OwnerDirectory::Capacity(const GatewaySettings& settings) {
  const MachineSettings& machine = settings.machine;
  return OwnerCapacity({machine.cores, machine.link_mbps, machine.memory_mb});
}

std::string OwnerDirectory::MemberName(const GatewaySettings& settings) {
  return settings.instance + kAddressSeparator + settings.peer_listen +
         kCapacitySeparator + std::to_string(Capacity(settings));
}

std::string_view OwnerDirectory::OtherOwnerAddress(
    std::int64_t partition) const {
  const auto found = this->addresses.find(partition);
  const bool other = found != this->addresses.end() &&
                     found->second != this->environment.settings.peer_listen;
  return other ? std::string_view(found->second) : std::string_view();
}

std::set<std::string> OwnerDirectory::OtherOwnerAddresses() const {
  std::set<std::string> others;
  for (const auto& [partition, owner] : this->addresses) {
    if (owner != this->environment.settings.peer_listen) {
      others.insert(owner);
    }
  }
  return others;
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

std::vector<OwnerCandidate> OwnerDirectory::OtherOwners() const {
  std::vector<OwnerCandidate> candidates;
  for (const auto& [name, member_capacity] : this->other_owners) {
    candidates.push_back({member_capacity, name});
  }
  return candidates;
}

void OwnerDirectory::OnGeneration(std::int64_t seen) {
  if (std::exchange(this->generation, seen) != seen) {
    this->Refresh();
  }
}

void OwnerDirectory::Refresh() {
  if (this->reading || this->timer) {
    this->read_again = true;
    return;
  }
  this->ReadOwners();
}

void OwnerDirectory::ReadOwners() {
  this->reading = true;
  this->environment.log.ReadOwners(
      this->group, [this, alive = this->alive](const auto& outcome) {
        if (*alive) {
          this->OnOwnersRead(outcome);
        }
      });
}

void OwnerDirectory::OnOwnersRead(
    const Outcome<std::vector<PartitionOwner>>& outcome) {
  this->reading = false;
  if (outcome.Ok()) {
    this->ApplyOwners(outcome.Value());
  } else if (outcome.GetError().kind == ErrorKind::kNotFound) {
    // The group does not exist before its first member joins.
    this->ApplyOwners({});
  } else {
    WriteLog(
        LogLevel::kWarning,
        "failed to read the owners of job partitions; the previous ones stay",
        {{"error", outcome.GetError().Text()}});
  }
  this->timer = this->environment.loop.CallAfter(kMinimumReadInterval, [this] {
    this->timer.reset();
    if (std::exchange(this->read_again, false)) {
      this->ReadOwners();
    }
  });
}

void OwnerDirectory::ApplyOwners(std::span<const PartitionOwner> rows) {
  this->owners_read = true;
  this->addresses.clear();
  this->other_owners.clear();
  const std::string own = MemberName(this->environment.settings);
  for (const PartitionOwner& row : rows) {
    const std::optional<OwnerName> member = ParseOwnerName(row.member);
    if (row.partition.topic != this->topic || !member) {
      continue;
    }
    this->addresses[row.partition.partition] = member->address;
    if (row.member != own) {
      this->other_owners[row.member] = member->capacity;
    }
  }
}

}  // namespace carobbank
