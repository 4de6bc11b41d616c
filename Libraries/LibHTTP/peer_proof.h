// Proof that a request comes from another process of the system: an HMAC over
// the request and the time, under a secret from the settings. It travels as the
// header X-Carobbank-Proof; see docs/PROTOCOL.md.

#pragma once

#include <string>
#include <string_view>

#include "LibCore/core.h"

namespace carobbank {

inline constexpr std::string_view kPeerProofHeader = "X-Carobbank-Proof";

// What a proof covers. Views: they must outlive the call.
struct PeerProofInput {
  std::string_view method;
  // As on the request line, query included.
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
  // Accepted as well while a change of secret is under way; empty for none.
  std::string previous;
};

class PeerProofVerifier {
 public:
  static constexpr Milliseconds kDefaultWindow{30'000};

  // Fails with kInvalidArgument when the current secret is empty.
  static Result<PeerProofVerifier> Create(PeerProofSecrets secrets,
                                          Milliseconds window = kDefaultWindow);

  // Fails with kUnauthenticated; the message tells a malformed proof, a clock
  // too far off and a wrong secret apart. `proof` is the header's value, empty
  // when the request has none.
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
