// One instance as the platform's list states it.

#pragma once

#include <cstdint>
#include <string>

#include "LibCore/core.h"

namespace carobbank {

enum class MemberRole { kEntry, kBackendServer };
enum class ListedState { kLive, kLeaving };

// The members match the rows of the platform's instance list one by one.
struct Instance {
  std::string id;
  MemberRole role = MemberRole::kBackendServer;
  ListedState state = ListedState::kLive;
  std::string data_center;
  // The pool of equal backend servers that it belongs to, "scorer-lm".
  std::string pool;
  // "127.0.0.1:9001"
  std::string address;
  // Grows each time that the instance is replaced.
  std::uint64_t incarnation = 0;

  bool operator==(const Instance&) const = default;
};

}  // namespace carobbank
