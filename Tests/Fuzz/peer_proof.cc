// PeerProofVerifier: no proof other than the signer's own is accepted.

#include "LibHTTP/http.h"
#include "fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size) {
  using namespace carobbank;
  constexpr WallMilliseconds kNow = 1'800'000'000'000;
  constexpr PeerProofInput kRequest = {"POST", "/rpc", "body"};
  static const auto verifier = Capture([] {
    return PeerProofVerifier::Create({"a secret", "an old secret"});
  });
  static const std::string genuine =
      PeerProofSigner("a secret").Sign(kRequest, kNow);
  const std::string_view proof = FuzzText(bytes, size);
  const auto verified = Capture([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(verifier.Value().Verify(kRequest, proof, kNow));
    return true;
  });
  FuzzRequire(!verified.Ok() || proof == genuine,
              "no forged proof is accepted");
  return 0;
}
