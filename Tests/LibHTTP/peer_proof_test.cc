// Which proofs are taken and which are refused, in tables.

#include "LibHTTP/http.h"

#include <functional>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr WallMilliseconds kNow = 1'800'000'000'000;
constexpr PeerProofInput kRequest = {"POST", "/rpc?x=1", "body"};

// What Verify() said: empty when the proof was taken.
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

TEST(PeerProof, SecretsTimesAndRequestsMustFit) {
  struct Case {
    const char* name;
    PeerProofSecrets secrets;
    PeerProofInput request;
    WallMilliseconds verified_at;
    // A part of the refusal; null when the proof is taken.
    const char* refusal;
  };
  const char* const wrong = "does not fit";
  const char* const off = "ms off";
  const std::vector<Case> cases = {
      {"the same", {"s", ""}, kRequest, kNow, nullptr},
      {"previous secret", {"new", "s"}, kRequest, kNow, nullptr},
      {"wrong secret", {"t", ""}, kRequest, kNow, wrong},
      {"wrong secrets", {"t", "u"}, kRequest, kNow, wrong},
      {"oldest", {"s", ""}, kRequest, kNow + 30'000, nullptr},
      {"stale", {"s", ""}, kRequest, kNow + 30'001, off},
      {"newest", {"s", ""}, kRequest, kNow - 30'000, nullptr},
      {"future", {"s", ""}, kRequest, kNow - 30'001, off},
      {"method", {"s", ""}, {"PUT", "/rpc?x=1", "body"}, kNow, wrong},
      {"target", {"s", ""}, {"POST", "/rpc?x=2", "body"}, kNow, wrong},
      {"body", {"s", ""}, {"POST", "/rpc?x=1", "body "}, kNow, wrong},
      {"moved line break",
       {"s", ""},
       {"POST\n/rpc?x=1", "", "body"},
       kNow,
       wrong},
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

TEST(PeerProof, EmptySecretsProveNothing) {
  const std::string forged = PeerProofSigner("").Sign(kRequest, kNow);
  CHECK_FALSE(Refusal({"", ""}, kRequest, forged, kNow).empty());
  CHECK_FALSE(Refusal({"s", ""}, kRequest, forged, kNow).empty());
}

}  // namespace carobbank
