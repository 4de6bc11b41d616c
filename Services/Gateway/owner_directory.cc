// Reading the owners of a group, at a bounded rate.

#include "owner_directory.h"

#include <utility>

#include "LibProcess/process.h"

namespace carobbank {

namespace {

// Many calls may find an owner gone at the same moment; the log is asked once.
constexpr Milliseconds kPauseBetweenReads{100};

// Separates an instance's name from its address in the name of a member.
constexpr char kAddressMark = '@';

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

std::string OwnerDirectory::MemberName(const GatewaySettings& settings) {
  return settings.instance + kAddressMark + settings.peer_listen;
}

std::string_view OwnerDirectory::AddressOf(std::int64_t partition) const {
  const auto found = this->addresses.find(partition);
  return found == this->addresses.end() ? std::string_view()
                                        : std::string_view(found->second);
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

void OwnerDirectory::Asked(const Outcome<std::vector<PartOwner>>& outcome) {
  this->asking = false;
  if (outcome.Ok()) {
    this->addresses.clear();
    for (const PartOwner& owner : outcome.Value()) {
      const std::size_t mark = owner.member.rfind(kAddressMark);
      if (owner.part.topic == this->topic && mark != std::string::npos) {
        this->addresses[owner.part.part] = owner.member.substr(mark + 1);
      }
    }
  } else {
    WriteLog(LogLevel::kWarning, "owners of job partitions not read",
             {{"error", outcome.GetError().Text()}});
  }
  this->timer = this->environment.loop.CallAfter(kPauseBetweenReads, [this] {
    const std::unique_ptr<Timer> done = std::move(this->timer);
    if (std::exchange(this->again, false)) {
      this->Ask();
    }
  });
}

}  // namespace carobbank
