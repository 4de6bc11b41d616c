// One instance of the platform's instance list.

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
  // The pool of equivalent backend servers of the instance, e.g. "scorer-lm".
  std::string pool;
  // "127.0.0.1:9001"
  std::string address;
  // Increases each time the instance is replaced.
  std::uint64_t incarnation = 0;

  bool operator==(const Instance&) const = default;
};

}  // namespace carobbank
