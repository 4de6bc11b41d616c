// Guards against workspaces and keys that are misread from a configuration,
// ambiguous configurations that are accepted, errors that don't name the field
// or that contain a key, and keys that are sent to a peer.

#include "platform/dialect.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

std::string Configuration(const std::string& members) {
  return R"({"version":7,"routes":[
    {"name":"r1","host":"a.example","path_prefix":"/x/","route_kind":"safe",
     "service":"s1","priority":2},
    {"name":"r2","host":"a.example","path_prefix":"/open/",
     "route_kind":"safe","service":"s1","public":true},
    {"name":"r3","host":"a.example","path_prefix":"/t/",
     "route_kind":"rollout","service":"s1","public":"yes"}],
    "services":[{"name":"s1"}])" +
         members + "}";
}

std::string Tenants(const std::string& list) {
  return Configuration(R"(,"tenants":)" + list);
}

}  // namespace

TEST_GROUP(ConfiguredWorkspaces) {
  JsonPlatformDialect dialect;

  std::string ErrorOf(const std::string& text) {
    const auto decoded = this->dialect.DecodeConfiguration(text);
    return decoded.Ok() ? "(accepted)" : decoded.GetError().Text();
  }
};

TEST(ConfiguredWorkspaces, TheFieldsHaveTheirPlatformNames) {
  const WireHeaderNames& names = this->dialect.HeaderNames();
  CHECK_TRUE(names.authorization == "Authorization");
  CHECK_TRUE(names.key_scheme == "Token");
  CHECK_TRUE(names.workspace == "X-Tenant");
}

TEST(ConfiguredWorkspaces, NamesKeysAndPrioritiesAreDecoded) {
  const auto decoded = this->dialect.DecodeConfiguration(Tenants(
      R"([{"name":"acme","api_keys":["k1","k2"],"priority":0},
          {"name":"beta","api_keys":["k3"]},{"name":"idle"}])"));
  CHECK_TRUE(decoded.Ok());
  const Workspaces& workspaces = *decoded.Value().workspaces;
  LONGS_EQUAL(3, workspaces.Size());
  STRCMP_EQUAL("acme", workspaces.FindByKey("k2")->name.c_str());
  LONGS_EQUAL(0, *workspaces.FindByKey("k1")->priority);
  STRCMP_EQUAL("beta", workspaces.FindByKey("k3")->name.c_str());
  CHECK_FALSE(workspaces.FindByKey("k3")->priority.has_value());
  POINTERS_EQUAL(nullptr, workspaces.FindByKey("k4"));
}

TEST(ConfiguredWorkspaces, AnEmptyListDiffersFromNone) {
  const auto none = this->dialect.DecodeConfiguration(Configuration(""));
  CHECK_FALSE(none.Value().workspaces.has_value());
  const auto empty = this->dialect.DecodeConfiguration(Tenants("[]"));
  CHECK_TRUE(empty.Value().workspaces.has_value());
  LONGS_EQUAL(0, empty.Value().workspaces->Size());
}

TEST(ConfiguredWorkspaces, OnlyTrueMakesARoutePublic) {
  const auto decoded = this->dialect.DecodeConfiguration(Tenants("[]"));
  const HostRoutes& routes = decoded.Value().routes;
  CHECK_FALSE(routes.Find("a.example", "/x/1")->is_public);
  CHECK_TRUE(routes.Find("a.example", "/open/1")->is_public);
  CHECK_FALSE(routes.Find("a.example", "/t/1")->is_public);
  CHECK_FALSE(routes.HavePublicJobs());
}

TEST(ConfiguredWorkspaces, AnErrorNamesTheFieldAndNoKey) {
  const struct {
    const char* list;
    const char* field;
  } cases[] = {
      {R"({"name":"a"})", "tenants"},
      {"null", "tenants"},
      {"[7]", "tenants[0]"},
      {R"([{"name":"a"},{"api_keys":["secret-1"]}])", "tenants[1].name"},
      {R"([{"name":""}])", "tenants[0].name"},
      {R"([{"name":7}])", "tenants[0].name"},
      {R"([{"name":"a\r\nb"}])", "tenants[0].name"},
      {R"([{"name":"a"},{"name":"b"},{"name":"a"}])", "tenants[2].name"},
      {R"([{"name":"a","priority":"high"}])", "tenants[0].priority"},
      {R"([{"name":"a","api_keys":"secret-1"}])", "tenants[0].api_keys"},
      {R"([{"name":"a","api_keys":["secret-1",7]}])", "tenants[0].api_keys[1]"},
      {R"([{"name":"a","api_keys":["secret-1"]},
           {"name":"b","api_keys":["secret-2","secret-1"]}])",
       "tenants[1].api_keys[1]"},
  };
  for (const auto& example : cases) {
    const std::string error = this->ErrorOf(Tenants(example.list));
    STRCMP_CONTAINS(example.field, error.c_str());
    CHECK_TRUE_TEXT(error.find("secret") == std::string::npos, error.c_str());
  }
}

TEST(ConfiguredWorkspaces, AScaleWhoseMinIsAboveItsMaxIsRefused) {
  const std::string error = this->ErrorOf(
      R"({"version":7,"routes":[],"services":[
      {"name":"s1","scale":{"min":2,"max":2}},
      {"name":"s2","scale":{"min":3,"max":2}}]})");
  STRCMP_CONTAINS("service s2: scale.min", error.c_str());
}

// Guards against decoding in quadratic time, which would stop a small gateway
// for minutes.
TEST(ConfiguredWorkspaces, ALargeListIsDecoded) {
  constexpr int kWorkspaces = 10'000;
  std::string list;
  for (int index = 0; index < kWorkspaces; ++index) {
    const std::string number = std::to_string(index);
    list += std::string(index == 0 ? "" : ",") + R"({"name":"w)" + number +
            R"(","api_keys":["a)" + number + R"(","b)" + number + R"(","c)" +
            number + R"("]})";
  }
  const auto decoded =
      this->dialect.DecodeConfiguration(Tenants("[" + list + "]"));
  CHECK_TRUE(decoded.Ok());
  LONGS_EQUAL(kWorkspaces, decoded.Value().workspaces->Size());
  STRCMP_EQUAL("w9999",
               decoded.Value().workspaces->FindByKey("c9999")->name.c_str());
}

TEST(ConfiguredWorkspaces, APeerGetsDigestsThatIdentifyTheSameKeys) {
  const std::string text = Tenants(
      R"([{"name":"acme","api_keys":["secret-1","secret-2"],"priority":3},
          {"name":"beta","api_keys":["secret-3"]},{"name":"idle"}])");
  std::string sent = this->dialect.WithoutKeys(text);
  // A peer passes on what it has received.
  for (int peers = 0; peers < 2; ++peers) {
    CHECK_TRUE(sent.find("secret") == std::string::npos);
    const auto decoded = this->dialect.DecodeConfiguration(sent);
    CHECK_TRUE(decoded.Ok());
    const Workspaces& workspaces = *decoded.Value().workspaces;
    LONGS_EQUAL(3, workspaces.Size());
    STRCMP_EQUAL("acme", workspaces.FindByKey("secret-2")->name.c_str());
    LONGS_EQUAL(3, *workspaces.FindByKey("secret-1")->priority);
    STRCMP_EQUAL("beta", workspaces.FindByKey("secret-3")->name.c_str());
    CHECK_TRUE(decoded.Value().routes.Find("a.example", "/open/1")->is_public);
    sent = this->dialect.WithoutKeys(sent);
  }
  const std::string without_workspaces = Configuration("");
  STRCMP_EQUAL(without_workspaces.c_str(),
               this->dialect.WithoutKeys(without_workspaces).c_str());
}

TEST(ConfiguredWorkspaces, SamplesOfARelayedSubmissionCarryNoKey) {
  const std::string text = this->dialect.WithoutSampleIdentities(
      R"({"step":7,"items":[{"id":"e1","path":"/t/1","headers":
         {"authorization":"Token secret-1","X-Model":"m","X-Tenant":"other"}},
         {"id":"e2","path":"/t/2"}]})");
  STRCMP_EQUAL(
      R"({"items":[{"headers":{"X-Model":"m"},"id":"e1","path":"/t/1"},)"
      R"({"id":"e2","path":"/t/2"}],"step":7})",
      text.c_str());
}

}  // namespace carobbank
