// Guards against a request that runs without a known key, a known key that is
// refused, a key or a caller's own workspace that reaches a server, and against
// 401 from a gateway that can't know whether a key exists.

#include "Services/Gateway/caller_authentication.h"
#include "Services/Gateway/forwarded_call.h"
#include "gateway_fixture.h"
#include "workspace_configuration.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(CallerAuthentication) {
  GatewayFixture fixture;
  bool current = true;
  CallerAuthentication authentication{this->fixture.environment,
                                      [this] { return this->current; }};
  ReceivedResponse caller;

  void setup() override {
    this->fixture.AddServer("a", "app");
    this->fixture.client.answer = [](const HttpClientRequest& request) {
      return GatewayFixture::Respond(request, 200, "fine");
    };
    this->Configure({{"acme", {"k1", "k2"}}, {"beta", {"k3"}}});
  }

  void Configure(const std::vector<ListedWorkspace>& workspaces) {
    this->fixture.configuration =
        WithWorkspaces(*this->fixture.configuration, workspaces);
  }

  // The status of the response to a call with these headers, as a gateway
  // processes it.
  int Call(const std::string& target, const HttpHeaders& headers) {
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.headers = {
        {"Host", "app.example"}, {"Id", "r1"}, {"Time-Left", "5000"}};
    request.headers.insert(request.headers.end(), headers.begin(),
                           headers.end());
    this->caller = ReceivedResponse();
    auto responder = std::make_shared<FakeResponder>(this->caller);
    const HostRoute& route = *this->fixture.configuration->routes.Find(
        "app.example", request.target);
    Authentication accepted =
        this->authentication.ForRoute(route, request.headers);
    if (accepted.refusal) {
      responder->Send(std::move(*accepted.refusal));
      return this->caller.status;
    }
    const auto call = ForwardedCall::Start(
        this->fixture.environment, route, std::move(request), responder,
        [](const std::shared_ptr<ForwardedCall>&) {},
        std::move(accepted.caller.workspace));
    CHECK_TRUE(this->fixture.runner.RunUntil([&] { return call->Ended(); }));
    return this->caller.status;
  }

  // All values of the field in the last request to a server, separated by '|'.
  std::string Sent(std::string_view name) const {
    std::string values;
    for (const HttpHeader& header : this->fixture.client.seen.back().headers) {
      if (HeaderNamesEqual(header.name, name)) {
        values += (values.empty() ? "" : "|") + header.value;
      }
    }
    return values;
  }

  std::uint64_t Counted(const std::string& outcome) {
    return this->fixture.metrics
        .GetCounter(metrics::kAuthentications, {{"outcome", outcome}})
        .Value();
  }
};

TEST(CallerAuthentication, AServerGetsTheWorkspaceAndNeverTheKey) {
  LONGS_EQUAL(200, this->Call("/app/x", {{"Pass", "Key k2"}}));
  STRCMP_EQUAL("acme", this->Sent("Party").c_str());
  STRCMP_EQUAL("", this->Sent("Pass").c_str());
  LONGS_EQUAL(200, this->Call("/app/x", {{"pass", "Key k3"},
                                         {"PARTY", "acme"},
                                         {"Party", "root"}}));
  STRCMP_EQUAL("beta", this->Sent("Party").c_str());
  for (const HttpClientRequest& request : this->fixture.client.seen) {
    for (const HttpHeader& header : request.headers) {
      CHECK_TRUE(header.value.find("k2") == std::string::npos);
      CHECK_TRUE(header.value.find("k3") == std::string::npos);
    }
  }
  LONGS_EQUAL(2, this->Counted("accepted"));
}

// A caller that lists the field as hop-by-hop must not remove it.
TEST(CallerAuthentication, TheConnectionFieldDoesNotRemoveTheWorkspace) {
  LONGS_EQUAL(200, this->Call("/app/x", {{"Pass", "Key k1"},
                                         {"Connection", "Party, Pass"}}));
  STRCMP_EQUAL("acme", this->Sent("Party").c_str());
}

TEST(CallerAuthentication, ARequestWithoutAKnownKeyIsRefusedWith401) {
  const std::vector<HttpHeaders> cases = {
      {},
      {{"Pass", ""}},
      {{"Pass", "Key"}},
      {{"Pass", "Key "}},
      {{"Pass", "Key k4"}},
      {{"Pass", "k1"}},
      {{"Pass", "Other k1"}},
      {{"Pass", "Keyk1"}},
      {{"Pass", "Key k1 "}},
      {{"Pass", "Key k1\t"}},
      {{"Pass", "Key k1, Key k1"}},
      {{"Pass", "Key " + std::string(1'000'000, 'k')}},
      {{"Pass", "Key " + std::string("k1\0", 3)}},
      {{"Pass", "Key " + DigestOfKey("k1")}},
      // Two fields, also equal ones, and one that differs in case.
      {{"Pass", "Key k1"}, {"Pass", "Key k1"}},
      {{"Pass", "Key k1"}, {"pass", "Key k4"}},
      {{"Pass", "Other x"}, {"Pass", "Key k1"}},
      {{"Party", "acme"}},
  };
  for (const HttpHeaders& headers : cases) {
    LONGS_EQUAL(401, this->Call("/app/x", headers));
    CHECK_TRUE(FindHeader(this->caller.headers, "WWW-Authenticate") == "Key");
  }
  LONGS_EQUAL(0, this->fixture.client.seen.size());
  LONGS_EQUAL(cases.size(), this->Counted("unknown_key"));
}

TEST(CallerAuthentication, AnEmptyListRefusesEverybody) {
  this->Configure({});
  LONGS_EQUAL(401, this->Call("/app/x", {{"Pass", "Key k1"}}));
}

TEST(CallerAuthentication, APublicRouteTakesAKnownKeyAndNeedsNone) {
  this->fixture.configuration =
      WithPublicRoute(*this->fixture.configuration, "/app/");
  LONGS_EQUAL(200, this->Call("/app/x", {{"Pass", "Key k1"}}));
  STRCMP_EQUAL("acme", this->Sent("Party").c_str());
  LONGS_EQUAL(200,
              this->Call("/app/x", {{"Pass", "Key k4"}, {"Party", "acme"}}));
  STRCMP_EQUAL("", this->Sent("Party").c_str());
  STRCMP_EQUAL("", this->Sent("Pass").c_str());
  this->current = false;
  LONGS_EQUAL(200, this->Call("/app/x", {}));
  LONGS_EQUAL(2, this->Counted("public"));
}

TEST(CallerAuthentication, ARevokedKeyIsRefusedAndANewOneAccepted) {
  LONGS_EQUAL(200, this->Call("/app/x", {{"Pass", "Key k1"}}));
  this->Configure({{"acme", {"k2", "k5"}}, {"beta", {"k1"}}});
  LONGS_EQUAL(200, this->Call("/app/x", {{"Pass", "Key k5"}}));
  LONGS_EQUAL(401, this->Call("/app/x", {{"Pass", "Key k3"}}));
  // The key moved to another workspace.
  LONGS_EQUAL(200, this->Call("/app/x", {{"Pass", "Key k1"}}));
  STRCMP_EQUAL("beta", this->Sent("Party").c_str());
}

TEST(CallerAuthentication, AnOutdatedGatewayRefusesUnknownKeysWith503) {
  this->current = false;
  LONGS_EQUAL(503, this->Call("/app/x", {{"Pass", "Key k4"}}));
  CHECK_TRUE(FindHeader(this->caller.headers, "Retry-After").has_value());
  LONGS_EQUAL(503, this->Call("/app/x", {}));
  LONGS_EQUAL(200, this->Call("/app/x", {{"Pass", "Key k1"}}));
  LONGS_EQUAL(2, this->Counted("unverified_key"));
  this->current = true;
  LONGS_EQUAL(401, this->Call("/app/x", {{"Pass", "Key k4"}}));
}

TEST(CallerAuthentication, WithoutWorkspacesBothFieldsAreForwarded) {
  auto traffic =
      std::make_shared<TrafficConfiguration>(*this->fixture.configuration);
  traffic->workspaces.reset();
  this->fixture.configuration = traffic;
  LONGS_EQUAL(
      200, this->Call("/app/x",
                      {{"Pass", "Other k9"}, {"Party", "x"}, {"Party", "y"}}));
  STRCMP_EQUAL("Other k9", this->Sent("Pass").c_str());
  STRCMP_EQUAL("x|y", this->Sent("Party").c_str());
  LONGS_EQUAL(0, this->Counted("accepted"));
}

// A request's digest is shared with peers and logged.
TEST(CallerAuthentication, TheDigestOfARequestDoesNotDependOnTheKey) {
  HttpHeaders headers = {{"Pass", "Key k1"}, {"X-Kept", "1"}};
  const HostRoute& route =
      *this->fixture.configuration->routes.Find("app.example", "/app/x");
  const Authentication accepted = this->authentication.ForRoute(route, headers);
  CHECK_TRUE(accepted.caller.kind == Caller::Kind::kWorkspace);
  LONGS_EQUAL(1, headers.size());
  STRCMP_EQUAL("X-Kept", headers[0].name.c_str());
}

TEST(CallerAuthentication, JobCallsNeedAKeyUnlessSomeJobsArePublic) {
  HttpHeaders none;
  const Authentication refused = this->authentication.ForJobCall(none);
  LONGS_EQUAL(401, refused.refusal->status);
  HttpHeaders known = {{"Pass", "Key k1"}};
  const Authentication accepted = this->authentication.ForJobCall(known);
  CHECK_FALSE(accepted.refusal.has_value());
  STRCMP_EQUAL("acme", accepted.caller.workspace.c_str());
  LONGS_EQUAL(0, known.size());
  this->fixture.configuration =
      WithPublicRoute(*this->fixture.configuration, "/train/");
  const Authentication anonymous = this->authentication.ForJobCall(none);
  CHECK_FALSE(anonymous.refusal.has_value());
  CHECK_TRUE(anonymous.caller.kind == Caller::Kind::kAnonymous);
  this->current = false;
  CHECK_TRUE(this->authentication.ForJobCall(none).caller.kind ==
             Caller::Kind::kUnverified);
}

TEST(CallerAuthentication, TheWorkspacesPriorityPrecedesTheRoutes) {
  HostRoute route;
  route.priority = 5;
  TrafficConfiguration traffic;
  LONGS_EQUAL(5, PriorityOf(traffic, route, "acme"));
  traffic.workspaces = MakeWorkspaces({{"acme", {"k1"}, 0}, {"beta", {"k2"}}});
  LONGS_EQUAL(0, PriorityOf(traffic, route, "acme"));
  LONGS_EQUAL(5, PriorityOf(traffic, route, "beta"));
  LONGS_EQUAL(5, PriorityOf(traffic, route, ""));
}

}  // namespace carobbank
