// Authenticates requests between processes of the system: a peer proof is an
// HMAC over the request and the time, keyed with a secret from the settings, in
// the header X-Carobbank-Proof; see docs/PROTOCOL.md.

#pragma once

#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

inline constexpr std::string_view kPeerProofHeader = "X-Carobbank-Proof";

// The parts of a request that a proof covers. The viewed strings must outlive
// the call.
struct PeerProofInput {
  std::string_view method;
  // The request target, including the query.
  std::string_view target;
  std::string_view body;
};

class PeerProofSigner {
 public:
  explicit PeerProofSigner(std::string secret) : secret(std::move(secret)) {}

  // "<unix ms>:<64 hexadecimal digits>"
  std::string Sign(const PeerProofInput& request, WallMilliseconds now) const;

 private:
  std::string secret;
};

struct PeerProofSecrets {
  std::string current;
  // Also accepted during a secret rotation; empty for none.
  std::string previous;
};

class PeerProofVerifier {
 public:
  static constexpr Milliseconds kDefaultWindow{30'000};

  // Fails with kInvalidArgument when the current secret is empty.
  static Result<PeerProofVerifier> Create(PeerProofSecrets secrets,
                                          Milliseconds window = kDefaultWindow);

  // Fails with kUnauthenticated; the message distinguishes a malformed proof, a
  // time outside the window and a wrong secret. `proof` is the header's value,
  // empty when the request has none.
  Result<void> Verify(const PeerProofInput& request,
                      std::string_view proof,
                      WallMilliseconds now) const;

 private:
  PeerProofVerifier(PeerProofSecrets secrets, Milliseconds window)
      : secrets(std::move(secrets)), window(window) {}

  // Invariant: `current` is not empty.
  PeerProofSecrets secrets;
  Milliseconds window;
};

}  // namespace carobbank
