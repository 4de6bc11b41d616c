// Guards against a credential that is read from another scheme, or cut.

#include "LibHTTP/credentials.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(Credentials){};

TEST(Credentials, OnlyTheSchemeWithASpaceIsRemoved) {
  CHECK_TRUE(CredentialOf("Bearer a b", "Bearer") == "a b");
  CHECK_TRUE(CredentialOf("Bearer ", "Bearer") == "");
  for (const char* value : {"", "Bearer", "Bearera", "bearer a", "Token a"}) {
    CHECK_FALSE(CredentialOf(value, "Bearer").has_value());
  }
}

TEST(Credentials, TheDigestIsThatOfTheCredential) {
  CHECK_TRUE(CredentialDigest({{"authorization", "Bearer a"}}, "Bearer") ==
             Sha256Hex("a"));
  CHECK_TRUE(CredentialDigest({}, "Bearer").empty());
  CHECK_TRUE(
      CredentialDigest({{"Authorization", "Basic a"}}, "Bearer").empty());
}

}  // namespace carobbank
