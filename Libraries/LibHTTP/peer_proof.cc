// Signs and verifies peer proofs.

#include "LibHTTP/peer_proof.h"

#include <charconv>
#include <cstdint>
#include <optional>

namespace carobbank {

namespace {

constexpr std::size_t kDigestDigits = 64;
// Enough for the next 200,000 years, and far below overflow.
constexpr std::size_t kMaximumTimeDigits = 16;

struct ParsedProof {
  WallMilliseconds time = 0;
  std::string_view digest;
};

bool IsLowerHexadecimal(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::optional<ParsedProof> ParseProof(std::string_view proof) {
  const std::size_t colon = proof.find(':');
  if (colon == std::string_view::npos || colon == 0 ||
      colon > kMaximumTimeDigits) {
    return std::nullopt;
  }
  const std::string_view time = proof.substr(0, colon);
  ParsedProof parsed;
  parsed.digest = proof.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(time.data(), time.data() + time.size(), parsed.time);
  const bool time_parsed =
      error == std::errc() && end == time.data() + time.size();
  if (!time_parsed || parsed.time < 0 ||
      parsed.digest.size() != kDigestDigits ||
      !IsLowerHexadecimal(parsed.digest)) {
    return std::nullopt;
  }
  return parsed;
}

// The HMAC's input. `time` is the sender's time.
std::string SignedText(const PeerProofInput& request, WallMilliseconds time) {
  std::string text = std::to_string(time);
  text.append("\n").append(request.method);
  text.append("\n").append(request.target);
  text.append("\n").append(Sha256Hex(request.body));
  return text;
}

}  // namespace

std::string PeerProofSigner::Sign(const PeerProofInput& request,
                                  WallMilliseconds now) const {
  return std::to_string(now) + ":" +
         HmacSha256Hex(this->secret, SignedText(request, now));
}

Result<PeerProofVerifier> PeerProofVerifier::Create(PeerProofSecrets secrets,
                                                    Milliseconds window) {
  if (secrets.current.empty()) {
    return Fail(ErrorKind::kInvalidArgument, "the peer secret is empty",
                "set the same secret in the settings of every process");
  }
  return PeerProofVerifier(std::move(secrets), window);
}

Result<void> PeerProofVerifier::Verify(const PeerProofInput& request,
                                       std::string_view proof,
                                       WallMilliseconds now) const {
  const std::optional<ParsedProof> parsed = ParseProof(proof);
  if (!parsed) {
    return Fail(ErrorKind::kUnauthenticated,
                "the peer proof is missing or malformed",
                "send " + std::string(kPeerProofHeader) +
                    " as \"<unix ms>:<64 hexadecimal digits>\"");
  }
  // No overflow: both times are non-negative and have at most
  // kMaximumTimeDigits digits.
  if (parsed->time < now - this->window.count() ||
      parsed->time > now + this->window.count()) {
    return Fail(ErrorKind::kUnauthenticated,
                "the peer proof's time differs from the local clock by more "
                "than " +
                    std::to_string(this->window.count()) + " ms",
                "sign each request anew, and synchronize the clocks");
  }
  const std::string text = SignedText(request, parsed->time);
  const bool current = ConstantTimeEqual(
      HmacSha256Hex(this->secrets.current, text), parsed->digest);
  if (current) {
    return {};
  }
  const bool previous =
      !this->secrets.previous.empty() &&
      ConstantTimeEqual(HmacSha256Hex(this->secrets.previous, text),
                        parsed->digest);
  if (previous) {
    return {};
  }
  return Fail(ErrorKind::kUnauthenticated,
              "the peer proof does not match the request",
              "use the same peer secret in the settings of both processes");
}

}  // namespace carobbank
