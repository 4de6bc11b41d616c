// Verification of peer proofs. Guards against accepting a proof with a wrong
// secret, time or request, or with a malformed value.

#include "LibHTTP/http.h"

#include <functional>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr WallMilliseconds kNow = 1'800'000'000'000;
constexpr PeerProofInput kRequest = {"POST", "/rpc?x=1", "body"};

// The message of Verify()'s error; empty when the proof was accepted.
std::string Refusal(const PeerProofSecrets& secrets,
                    const PeerProofInput& request,
                    std::string_view proof,
                    WallMilliseconds now) {
  const auto outcome = Capture([&]() -> Result<bool> {
    BOOST_LEAF_AUTO(verifier, PeerProofVerifier::Create(secrets));
    BOOST_LEAF_CHECK(verifier.Verify(request, proof, now));
    return true;
  });
  return outcome.Ok() ? "" : outcome.GetError().message;
}

}  // namespace

TEST_GROUP(PeerProof){};

TEST(PeerProof, SecretsTimesAndRequestsMustMatch) {
  struct Case {
    const char* name;
    PeerProofSecrets secrets;
    PeerProofInput request;
    WallMilliseconds verified_at;
    // A part of the error message; null when the proof is accepted.
    const char* refusal;
  };
  const char* const mismatch = "does not match";
  const char* const outside_window = "differs from the local clock";
  const std::vector<Case> cases = {
      {"the same", {"s", ""}, kRequest, kNow, nullptr},
      {"previous secret", {"new", "s"}, kRequest, kNow, nullptr},
      {"wrong secret", {"t", ""}, kRequest, kNow, mismatch},
      {"wrong secrets", {"t", "u"}, kRequest, kNow, mismatch},
      {"oldest", {"s", ""}, kRequest, kNow + 30'000, nullptr},
      {"stale", {"s", ""}, kRequest, kNow + 30'001, outside_window},
      {"newest", {"s", ""}, kRequest, kNow - 30'000, nullptr},
      {"future", {"s", ""}, kRequest, kNow - 30'001, outside_window},
      {"method", {"s", ""}, {"PUT", "/rpc?x=1", "body"}, kNow, mismatch},
      {"target", {"s", ""}, {"POST", "/rpc?x=2", "body"}, kNow, mismatch},
      {"body", {"s", ""}, {"POST", "/rpc?x=1", "body "}, kNow, mismatch},
      {"moved line break",
       {"s", ""},
       {"POST\n/rpc?x=1", "", "body"},
       kNow,
       mismatch},
  };
  const std::string proof = PeerProofSigner("s").Sign(kRequest, kNow);
  for (const Case& each : cases) {
    const std::string refusal =
        Refusal(each.secrets, each.request, proof, each.verified_at);
    if (each.refusal == nullptr) {
      CHECK_TRUE_TEXT(refusal.empty(), each.name);
    } else {
      CHECK_TRUE_TEXT(refusal.find(each.refusal) != std::string::npos,
                      each.name);
    }
  }
}

TEST(PeerProof, MalformedProofsAreRefused) {
  const std::string good = PeerProofSigner("s").Sign(kRequest, kNow);
  const std::string digest = good.substr(good.find(':') + 1);
  const std::string time = std::to_string(kNow);
  for (const std::string& proof : std::vector<std::string>{
           "", ":", time, time + ":", ":" + digest, time + digest,
           time + ":" + digest.substr(1), time + ":" + digest + "0",
           time + " :" + digest, "+" + time + ":" + digest,
           "-" + time + ":" + digest, "99999999999999999999:" + digest,
           time + ":" + std::string(64, 'G'), time + "::" + digest, " " + good,
           good + " "}) {
    CHECK_TRUE_TEXT(
        Refusal({"s", ""}, kRequest, proof, kNow).find("malformed") !=
            std::string::npos,
        proof.c_str());
  }
  CHECK_TRUE(Refusal({"s", ""}, kRequest, good, kNow).empty());
}

TEST(PeerProof, EmptySecretsNeverVerify) {
  const std::string forged = PeerProofSigner("").Sign(kRequest, kNow);
  CHECK_FALSE(Refusal({"", ""}, kRequest, forged, kNow).empty());
  CHECK_FALSE(Refusal({"s", ""}, kRequest, forged, kNow).empty());
}

}  // namespace carobbank
