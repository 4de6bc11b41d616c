// Which backend server gets an attempt; the seam between calls and routing.

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
  // Instances that this request should avoid because it failed there.
  std::vector<std::string> excluded;
  // Only an idle server will do (second copy of a straggler).
  bool idle_only = false;
  // Only a server with nothing else at risk will do.
  bool exclusive = false;
};

// How an attempt ended, as evidence about its server.
enum class AttemptOutcome {
  kComplete,
  kRefused,
  kDraining,
  kLinkFailed,
  kBackendCrashed,
  kCancelled,
};

class ServerSelector {
 public:
  virtual ~ServerSelector() = default;

  // A server, or the refusal to give if none can be had.
  virtual std::variant<AttemptTarget, Problem> Choose(
      const SelectionRequest& request) = 0;

  virtual void OnStarted(std::string_view instance,
                         std::string_view service) = 0;
  virtual void OnEnded(std::string_view instance,
                       std::string_view service,
                       AttemptOutcome outcome) = 0;
  virtual void OnLoad(std::string_view instance, const LoadHint& load) = 0;
  // `version` generated a token at `instance` just now.
  virtual void OnVersion(std::string_view instance, std::uint64_t version) = 0;

  // `digest` ran at `instance` when that crashed; `alone`: nothing else did.
  virtual void OnCrash(std::string_view instance,
                       std::string_view digest,
                       bool exclusive) = 0;
  // The work with this digest was finished: it is no longer suspect.
  virtual void OnFinished(std::string_view digest) = 0;
  // How many distinct servers `digest` is known to have crashed.
  virtual std::size_t CrashCount(std::string_view digest) const = 0;
};

}  // namespace carobbank
