// Interface by which calls choose a backend server for each attempt and report
// its outcome.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "attempt.h"

namespace carobbank {

struct SelectionRequest {
  std::string_view service;
  std::string_view pool;
  RouteClass service_class = RouteClass::kLive;
  // The beginning of the prompt; empty for plain services.
  std::string_view prompt;
  std::string_view digest;
  VersionRange versions;
  // Instances excluded for this request because an attempt failed there.
  std::vector<std::string> excluded;
  // Only an idle server is eligible (duplicate of a straggler).
  bool idle_only = false;
  // Only a server that runs no other request is eligible.
  bool exclusive = false;
};

// How an attempt ended; the router uses it to eject failing servers.
enum class AttemptOutcome {
  kComplete,
  kRefused,
  kDraining,
  kLinkFailed,
  kBackendCrashed,
  kCancelled,
};

// A digest that crashed this many distinct servers is quarantined.
inline constexpr std::size_t kCrashesBeforeQuarantine = 2;

class ServerSelector {
 public:
  virtual ~ServerSelector() = default;

  // A server, or the problem to report when none is eligible.
  virtual std::variant<AttemptTarget, Problem> Choose(
      const SelectionRequest& request) = 0;

  virtual void OnStarted(std::string_view instance,
                         std::string_view service) = 0;
  virtual void OnEnded(std::string_view instance,
                       std::string_view service,
                       AttemptOutcome outcome) = 0;
  virtual void OnLoad(std::string_view instance, const LoadHint& load) = 0;
  // Weight version `version` has just generated a token at `instance`.
  virtual void OnVersion(std::string_view instance, std::uint64_t version) = 0;

  // `instance` crashed while it ran `digest`, or a sample if that is empty.
  // `exclusive`: no other request ran there.
  virtual void OnCrash(std::string_view instance,
                       std::string_view digest,
                       bool exclusive) = 0;
  // A request with this digest has finished, so the digest is no longer
  // suspect.
  virtual void OnFinished(std::string_view digest) = 0;
  // Number of distinct servers that `digest` is recorded to have crashed.
  virtual std::size_t CrashCount(std::string_view digest) const = 0;
};

}  // namespace carobbank
