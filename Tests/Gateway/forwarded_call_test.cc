// Guards against a plain request that runs more often than its route allows,
// and against a caller that receives a truncated response, another request's
// response, or none.

#include "Services/Gateway/forwarded_call.h"
#include "Support/raw_socket.h"
#include "gateway_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

using Ending = ScriptedResponse::Ending;

constexpr WallMilliseconds kStart = 7;

std::string EventText(int id) {
  return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
         "\n\n";
}

std::function<ScriptedResponse(const HttpClientRequest&)> Events(
    const std::vector<int>& ids,
    Ending ending) {
  return [ids, ending](const HttpClientRequest& request) {
    std::string text;
    for (const int id : ids) {
      text += EventText(id);
    }
    ScriptedResponse response = GatewayFixture::Respond(request, 200, text);
    response.ending = ending;
    return response;
  };
}

HttpRequest Request(const std::string& target) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.headers = {{"Host", "app.example"}, {"Id", "r1"},
                     {"Time-Left", "5000"},   {"Connection", "X-Hop"},
                     {"X-Hop", "1"},          {"X-Kept", "2"}};
  request.body = "payload";
  return request;
}

}  // namespace

TEST_GROUP(ForwardedCall) {
  GatewayFixture fixture;
  ReceivedResponse caller;
  std::shared_ptr<ForwardedCall> call;
  // The caller takes up the stream of an earlier attempt.
  bool resumed = false;

  void setup() override {
    for (const char* id : {"a", "b", "c"}) {
      this->fixture.AddServer(id, "app");
    }
  }

  // Each server may be back under its id; this start was its latest one.
  void ShowStart(const std::string& id, WallMilliseconds started_at,
                 const std::string& software = "v1") {
    FleetServer server = *this->fixture.fleet.Find(id);
    server.started_at = started_at;
    server.software_version = software;
    this->fixture.fleet.Put(server);
  }
  void ShowStarts() {
    for (const char* id : {"a", "b", "c"}) {
      this->ShowStart(id, kStart);
    }
  }
  // Shows that the start is up, for as long as a test lasts.
  void ConfirmStart(const HttpClientRequest& request) {
    this->fixture.fleet.ConfirmAlive(
        ServerOf(request), kStart,
        this->fixture.clock.BootNow() + std::chrono::hours(1));
  }
  static std::string ServerOf(const HttpClientRequest& request) {
    return std::string(1, request.url[sizeof("http://") - 1]);
  }
  // The first attempt breaks off after an event, any other one sends the rest.
  std::function<ScriptedResponse(const HttpClientRequest&)> BreakingFirst() {
    return [this](const HttpClientRequest& request) {
      if (this->fixture.client.seen.size() == 1) {
        this->ConfirmStart(request);
        return Events({1}, Ending::kTruncated)(request);
      }
      return Events({2, 3}, Ending::kComplete)(request);
    };
  }

  void Start(const std::string& target) {
    const HostRoute* const route =
        this->fixture.configuration->routes.Find("app.example", target);
    HttpRequest request = Request(target);
    if (this->resumed) {
      request.headers.push_back({"After-Event", "1"});
      request.headers.push_back({"Goes-On", "r1"});
    }
    this->call =
        ForwardedCall::Start(this->fixture.environment, *route, request,
                             std::make_shared<FakeResponder>(this->caller),
                             [](const std::shared_ptr<ForwardedCall>&) {});
  }

  void Finish(const std::string& target) {
    this->Start(target);
    CHECK_TRUE(
        this->fixture.runner.RunUntil([this] { return this->call->Ended(); }));
  }

  // The first `count` attempts get the response of `first`, the others a valid
  // one.
  void RespondFirst(
      std::size_t count,
      std::function<ScriptedResponse(const HttpClientRequest&)> first) {
    this->fixture.client.answer = [this, count, first = std::move(first)](
                                      const HttpClientRequest& request) {
      return this->fixture.client.seen.size() <= count
                 ? first(request)
                 : GatewayFixture::Respond(request, 200, "fine");
    };
  }
};

TEST(ForwardedCall, TheRequestIsForwardedUnchangedAndTheResponseReturned) {
  this->RespondFirst(0, nullptr);
  this->Finish("/app/x?y=1");
  LONGS_EQUAL(200, this->caller.status);
  STRCMP_EQUAL("fine", this->caller.body.c_str());
  CHECK_TRUE(FindHeader(this->caller.headers, "Signed") == "signature");
  const HttpClientRequest& sent = this->fixture.client.seen[0];
  CHECK_TRUE(sent.url.ends_with(":1/app/x?y=1"));
  STRCMP_EQUAL("payload", sent.body.c_str());
  CHECK_TRUE(FindHeader(sent.headers, "X-Kept") == "2");
  CHECK_FALSE(FindHeader(sent.headers, "X-Hop").has_value());
  CHECK_TRUE(FindHeader(sent.headers, "For-Server").has_value());
  int deadlines = 0;
  for (const HttpHeader& header : sent.headers) {
    deadlines += header.name == "Time-Left" ? 1 : 0;
  }
  LONGS_EQUAL(1, deadlines);
}

TEST(ForwardedCall, ARequestThatRunsOnceIsSentOnAConnectionThatMayBeClosing) {
  this->RespondFirst(0, nullptr);
  this->Finish("/once/x");
  CHECK_TRUE(this->fixture.client.seen[0].fresh_connection);
  this->Finish("/app/x");
  CHECK_FALSE(this->fixture.client.seen[1].fresh_connection);
}

TEST(ForwardedCall,
     TheOutcomeOfTheFirstAttemptDecidesWhetherTheRequestIsRetried) {
  const auto truncated = [](const HttpClientRequest&) {
    ScriptedResponse response;
    response.ending = Ending::kTruncated;
    return response;
  };
  const auto not_reached = [](const HttpClientRequest&) {
    ScriptedResponse response;
    response.ending = Ending::kNotSent;
    return response;
  };
  const auto crossed = [](const HttpClientRequest& request) {
    ScriptedResponse response =
        GatewayFixture::Respond(request, 200, "other's");
    response.headers[0].value = "another";
    return response;
  };
  const auto not_signed = [](const HttpClientRequest& request) {
    ScriptedResponse response =
        GatewayFixture::Respond(request, 200, "garbage");
    response.headers.erase(response.headers.begin() + 1);
    return response;
  };
  const auto failed = [](const HttpClientRequest& request) {
    return GatewayFixture::Respond(request, 500, "sorry");
  };
  const struct {
    const char* name;
    const char* target;
    std::function<ScriptedResponse(const HttpClientRequest&)> first;
    std::size_t sent;
    int status;
  } cases[] = {
      {"repeatable, truncated", "/app/", truncated, 2, 200},
      {"repeatable, not reached", "/app/", not_reached, 2, 200},
      {"repeatable, refused", "/app/", &GatewayFixture::NotRun, 2, 200},
      {"repeatable, crossed", "/app/", crossed, 2, 200},
      {"repeatable, not signed", "/app/", not_signed, 2, 200},
      {"repeatable, failed", "/app/", failed, 2, 200},
      {"once, truncated", "/once/", truncated, 1, 502},
      {"once, not reached", "/once/", not_reached, 2, 200},
      {"once, refused", "/once/", &GatewayFixture::NotRun, 2, 200},
      {"once, crossed", "/once/", crossed, 1, 502},
      {"once, not signed", "/once/", not_signed, 1, 502},
      {"once, failed", "/once/", failed, 1, 500},
  };
  for (const auto& example : cases) {
    this->fixture.client.seen.clear();
    this->fixture.loads = BackendLoads();
    this->caller = ReceivedResponse();
    this->RespondFirst(1, example.first);
    this->Finish(example.target);
    LONGS_EQUAL_TEXT(example.sent, this->fixture.client.seen.size(),
                     example.name);
    LONGS_EQUAL_TEXT(example.status, this->caller.status, example.name);
  }
}

TEST(ForwardedCall, AttemptsThatMayHaveRunStayWithinTheRoutesBound) {
  this->RespondFirst(100, [](const HttpClientRequest&) {
    ScriptedResponse response;
    response.ending = Ending::kTruncated;
    return response;
  });
  this->Finish("/app/");
  LONGS_EQUAL(2, this->fixture.client.seen.size());
  LONGS_EQUAL(502, this->caller.status);
}

TEST(ForwardedCall, AServersOwnFailureIsForwardedAfterTheLastAttempt) {
  this->RespondFirst(100, [](const HttpClientRequest& request) {
    return GatewayFixture::Respond(request, 500, "sorry");
  });
  this->Finish("/app/");
  LONGS_EQUAL(500, this->caller.status);
  STRCMP_EQUAL("sorry", this->caller.body.c_str());
}

TEST(ForwardedCall, WhenAllServersRefuseTheResponseHasRetryAfter) {
  this->RespondFirst(100, &GatewayFixture::NotRun);
  this->Finish("/once/");
  LONGS_EQUAL(503, this->caller.status);
  CHECK_TRUE(FindHeader(this->caller.headers, "Retry-After").has_value());
}

TEST(ForwardedCall, AttemptsAreCountedAsAnsweredWhateverTheirStatus) {
  this->RespondFirst(1, [](const HttpClientRequest& request) {
    return GatewayFixture::Respond(request, 500, "sorry");
  });
  this->Finish("/app/");
  this->RespondFirst(100, [](const HttpClientRequest& request) {
    return GatewayFixture::Respond(request, 404, "");
  });
  this->Finish("/once/");
  const std::string text = this->fixture.metrics.PrometheusText();
  for (const char* const outcome : {"answered", "server_error", "rejected"}) {
    const std::string counter =
        "carobbank_attempts_total{service=\"app\",outcome=\"" +
        std::string(outcome) + "\"} 1";
    CHECK_TRUE_TEXT(text.find(counter) != std::string::npos, text.c_str());
  }
}

TEST(ForwardedCall, WithoutAnyServerTheRequestIsRefusedAtOnce) {
  this->fixture.fleet = ServerFleet();
  this->Finish("/app/");
  LONGS_EQUAL(503, this->caller.status);
  LONGS_EQUAL(0, this->fixture.client.seen.size());
}

TEST(ForwardedCall, RefusalsAreCountedByTheirCode) {
  this->RespondFirst(100, &GatewayFixture::NotRun);
  this->Finish("/once/");
  this->fixture.fleet = ServerFleet();
  this->Finish("/app/");
  this->Finish("/app/");
  const std::string text = this->fixture.metrics.PrometheusText();
  const std::string counter =
      "carobbank_refusals_total{service=\"app\",code=\"no_server\","
      "execution=\"not_run\"} 3";
  CHECK_TRUE_TEXT(text.find(counter) != std::string::npos, text.c_str());
}

TEST(ForwardedCall, ACallerThatDisconnectsCancelsTheAttempts) {
  this->RespondFirst(0, nullptr);
  this->Start("/app/");
  CHECK_TRUE(static_cast<bool>(this->caller.close));
  this->caller.close();
  CHECK_TRUE(this->call->Ended());
  this->fixture.runner.RunFor(Milliseconds(20));
  LONGS_EQUAL(0, this->caller.status);
  for (const char* id : {"a", "b", "c"}) {
    LONGS_EQUAL(0, this->fixture.loads.InFlight(id));
  }
}

TEST(ForwardedCall, AStreamIsTakenUpAtAServerOfAnUnknownSoftwareVersion) {
  this->RespondFirst(0, nullptr);
  this->fixture.fleet.RecordSoftware(this->fixture.clock.BootNow() -
                                     std::chrono::hours(1));
  FleetServer other = *this->fixture.fleet.Find("b");
  other.software_version = "v2";
  this->fixture.fleet.Put(other);
  this->fixture.fleet.RecordSoftware(this->fixture.clock.BootNow());
  this->resumed = true;
  this->Finish("/app/stream");
  LONGS_EQUAL(503, this->caller.status);
  LONGS_EQUAL(0, this->fixture.client.seen.size());
}

TEST(ForwardedCall,
     AStreamIsNotTakenUpThoughAllServersAreOfOneSoftwareVersion) {
  this->RespondFirst(0, nullptr);
  this->fixture.fleet.RecordSoftware(this->fixture.clock.BootNow() -
                                     std::chrono::hours(1));
  this->fixture.fleet.RecordSoftware(this->fixture.clock.BootNow());
  this->resumed = true;
  this->Finish("/app/stream");
  LONGS_EQUAL(200, this->caller.status);
}

TEST(ForwardedCall, AStreamIsNotTakenUpAmongTwoSoftwareVersions) {
  FleetServer other = *this->fixture.fleet.Find("b");
  other.software_version = "v2";
  this->fixture.fleet.Put(other);
  this->fixture.fleet.RecordSoftware(this->fixture.clock.BootNow());
  this->fixture.client.answer = Events({1}, Ending::kComplete);
  this->Finish("/resumable/x");
  const std::string first = this->fixture.client.seen[0].url;
  this->resumed = true;
  this->caller = ReceivedResponse();
  this->fixture.client.answer = Events({2}, Ending::kComplete);
  this->Finish("/resumable/x");
  LONGS_EQUAL(200, this->caller.status);
  LONGS_EQUAL(2, this->fixture.client.seen.size());
  const bool began_at_other = first.starts_with("http://b:");
  CHECK_EQUAL(began_at_other,
              this->fixture.client.seen[1].url.starts_with("http://b:"));
}

TEST(ForwardedCall, EventsOfAStreamAreHeldBackUntilItsEnd) {
  this->fixture.client.answer = Events({1}, Ending::kTruncated);
  this->Finish("/stream/x");
  LONGS_EQUAL(200, this->caller.status);
  STRCMP_EQUAL(EventText(1).c_str(), this->caller.body.c_str());
  CHECK_TRUE(this->caller.aborted);
  CHECK_FALSE(this->caller.complete);
  LONGS_EQUAL(1, this->fixture.client.seen.size());
}

TEST(ForwardedCall, AStreamLosesEventsOrItsEnd) {
  this->fixture.client.answer = Events({1, 2, 3}, Ending::kComplete);
  this->Finish("/stream/x");
  STRCMP_EQUAL((EventText(1) + EventText(2) + EventText(3)).c_str(),
               this->caller.body.c_str());
  CHECK_TRUE(this->caller.complete);
  CHECK_TRUE(FindHeader(this->caller.headers, "Signed") == "signature");
}

TEST(ForwardedCall,
     AResumableStreamEndsThoughAServerOfItsSoftwareVersionIsFree) {
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    ScriptedResponse response =
        this->fixture.client.seen.size() == 1
            ? Events({1}, Ending::kTruncated)(request)
            : Events({2, 3}, Ending::kComplete)(request);
    // A server may stop within an event.
    response.body += this->fixture.client.seen.size() == 1 ? "id: 2\nda" : "";
    response.headers.push_back(
        {"Attempt", std::to_string(this->fixture.client.seen.size())});
    return response;
  };
  this->Finish("/resumable/x");
  STRCMP_EQUAL((EventText(1) + EventText(2) + EventText(3)).c_str(),
               this->caller.body.c_str());
  CHECK_TRUE(this->caller.complete);
  CHECK_TRUE(FindHeader(this->caller.headers, "Attempt") == "1");
  CHECK_TRUE(FindHeader(this->fixture.client.seen[1].headers, "After-Event") ==
             "1");
}

// Guards against a stream that was cut off and looks complete, because the
// server that was to go on with it answered with something else.
TEST(ForwardedCall, AStreamEndsAsCompleteWithAnAnswerThatDoesNotContinueIt) {
  struct Answer {
    int status;
    const char* content_type;
    const char* body;
    bool is_signed = true;
  };
  const std::vector<Answer> answers = {
      {200, "text/plain", "all is well"},
      {200, "text/event-stream", ""},
      {204, "", ""},
      {302, "text/plain", "elsewhere"},
      {404, "application/json", "{}"},
      {404, "application/json", "{}", false},
      {429, "text/plain", "later"},
      {500, "text/plain", "failed"},
      {500, "text/event-stream", "id: 2\ndata: failed\n\n"},
      {500, "text/plain", "failed", false},
      {503, "text/plain", "full"},
      {504, "text/plain", "late"}};
  for (const Answer& answer : answers) {
    this->fixture.client.seen.clear();
    this->caller = ReceivedResponse();
    this->fixture.client.answer = [&](const HttpClientRequest& request) {
      if (this->fixture.client.seen.size() == 1) {
        return Events({1}, Ending::kTruncated)(request);
      }
      ScriptedResponse response =
          GatewayFixture::Respond(request, answer.status, answer.body);
      response.headers.pop_back();
      response.headers.push_back({"Content-Type", answer.content_type});
      if (!answer.is_signed) {
        response.headers = {{"Content-Type", answer.content_type}};
      }
      return response;
    };
    this->Finish("/resumable/x");
    LONGS_EQUAL(2, this->fixture.client.seen.size());
    LONGS_EQUAL(200, this->caller.status);
    STRCMP_EQUAL(EventText(1).c_str(), this->caller.body.c_str());
    CHECK_TRUE(this->caller.aborted);
    CHECK_FALSE(this->caller.complete);
  }
}

// Guards against a stream that ends early though one more server may go on.
TEST(ForwardedCall, AStreamEndsWithTheFirstServerThatFailsToContinueIt) {
  TrafficConfiguration traffic = *this->fixture.configuration;
  HostRoute route = *traffic.routes.Find("app.example", "/resumable/");
  route.max_attempts = 3;
  traffic.routes = HostRoutes({route});
  this->fixture.configuration =
      std::make_shared<const TrafficConfiguration>(traffic);
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    switch (this->fixture.client.seen.size()) {
      case 1:
        return Events({1}, Ending::kTruncated)(request);
      case 2:
        return GatewayFixture::Respond(request, 500, "failed");
      default:
        return Events({2, 3}, Ending::kComplete)(request);
    }
  };
  this->Finish("/resumable/x");
  STRCMP_EQUAL((EventText(1) + EventText(2) + EventText(3)).c_str(),
               this->caller.body.c_str());
  CHECK_TRUE(this->caller.complete);
  LONGS_EQUAL(3, this->fixture.client.seen.size());
}

// Guards against a body that is no stream and reaches the caller cut to the
// lines that look like events.
TEST(ForwardedCall, AnAnswerThatIsNoStreamIsForwardedAsOne) {
  this->fixture.client.answer = [](const HttpClientRequest& request) {
    return GatewayFixture::Respond(request, 200, "note: all is well");
  };
  this->Finish("/stream/x");
  LONGS_EQUAL(200, this->caller.status);
  STRCMP_EQUAL("note: all is well", this->caller.body.c_str());
  CHECK_TRUE(this->caller.complete);
}

TEST(ForwardedCall, AResumableStreamGoesOnAtAnotherSoftwareVersion) {
  for (const WallMilliseconds started_at : {0, 7}) {
    this->fixture.client.seen.clear();
    this->caller = ReceivedResponse();
    // Each server has a version of its own, or none has an id of its own for
    // each start.
    for (const char* id : {"a", "b", "c"}) {
      this->fixture.AddServer(id, "app");
      FleetServer server = *this->fixture.fleet.Find(id);
      server.software_version = started_at == 0 ? id : "v1";
      server.started_at = started_at;
      this->fixture.fleet.Put(server);
    }
    this->fixture.client.answer = [this](const HttpClientRequest& request) {
      const std::string id(1, request.url[sizeof("http://") - 1]);
      this->fixture.fleet.OnEntryRemoved(id, this->fixture.clock.BootNow());
      return Events({1}, Ending::kTruncated)(request);
    };
    this->Finish("/resumable/x");
    STRCMP_EQUAL(EventText(1).c_str(), this->caller.body.c_str());
    CHECK_TRUE(this->caller.aborted);
    LONGS_EQUAL(1, this->fixture.client.seen.size());
  }
}

// Guards against streams that end with their server wherever entries name the
// start of a server.
TEST(ForwardedCall, AStreamEndsThoughTheStartsOfItsServersAreConfirmed) {
  this->ShowStarts();
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    this->ConfirmStart(request);
    return this->BreakingFirst()(request);
  };
  this->Finish("/resumable/x");
  STRCMP_EQUAL((EventText(1) + EventText(2) + EventText(3)).c_str(),
               this->caller.body.c_str());
  CHECK_TRUE(this->caller.complete);
}

// Guards against events of another software version in a stream that goes on at
// a server that has restarted.
TEST(ForwardedCall, EventsAreDeliveredBeforeTheStartOfTheirServerIsConfirmed) {
  this->ShowStarts();
  this->fixture.client.answer = this->BreakingFirst();
  this->Start("/resumable/x");
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->fixture.client.seen.size() == 2; }));
  this->fixture.runner.RunFor(Milliseconds(200));
  STRCMP_EQUAL(EventText(1).c_str(), this->caller.body.c_str());
  CHECK_FALSE(this->call->Ended());
  this->ConfirmStart(this->fixture.client.seen.back());
  CHECK_TRUE(
      this->fixture.runner.RunUntil([this] { return this->call->Ended(); }));
  STRCMP_EQUAL((EventText(1) + EventText(2) + EventText(3)).c_str(),
               this->caller.body.c_str());
  CHECK_TRUE(this->caller.complete);
}

TEST(ForwardedCall, AStreamGoesOnAtAServerThatHasRestarted) {
  this->ShowStarts();
  this->fixture.client.answer = this->BreakingFirst();
  this->Start("/resumable/x");
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return this->fixture.client.seen.size() == 2; }));
  this->ShowStart(ServerOf(this->fixture.client.seen.back()), kStart + 1, "v2");
  CHECK_TRUE(
      this->fixture.runner.RunUntil([this] { return this->call->Ended(); }));
  STRCMP_EQUAL(EventText(1).c_str(), this->caller.body.c_str());
  CHECK_TRUE(this->caller.aborted);
}

TEST(ForwardedCall, AStreamWaitsWithoutEndForTheStartOfItsServer) {
  this->ShowStarts();
  this->fixture.client.answer = this->BreakingFirst();
  this->Finish("/resumable/x");
  STRCMP_EQUAL(EventText(1).c_str(), this->caller.body.c_str());
  CHECK_TRUE(this->caller.aborted);
  LONGS_EQUAL(2, this->fixture.client.seen.size());
}

TEST(ForwardedCall, AStreamOfAnUnknownStartGoesOn) {
  this->ShowStarts();
  this->fixture.client.answer = Events({1}, Ending::kTruncated);
  this->Finish("/resumable/x");
  CHECK_TRUE(this->caller.aborted);
  LONGS_EQUAL(1, this->fixture.client.seen.size());
}

TEST(ForwardedCall, AResumedStreamRepeatsEvents) {
  this->fixture.client.answer = Events({1, 2}, Ending::kTruncated);
  this->Finish("/resumable/x");
  STRCMP_EQUAL((EventText(1) + EventText(2)).c_str(),
               this->caller.body.c_str());
  CHECK_TRUE(this->caller.aborted);
}

// Guards against events that a client gets twice when it takes a stream up.
TEST(ForwardedCall, AStreamThatItsClientTakesUpRepeatsEvents) {
  this->fixture.client.answer = Events({1, 2}, Ending::kComplete);
  this->Finish("/resumable/x");
  this->caller = ReceivedResponse();
  this->resumed = true;
  this->Finish("/resumable/x");
  LONGS_EQUAL(502, this->caller.status);
  CHECK_TRUE(this->caller.body.find("id: ") == std::string::npos);
}

TEST(ForwardedCall, AStreamThatHasNotBegunIsNotSentToAnotherServer) {
  this->fixture.client.answer = [this](const HttpClientRequest& request) {
    return this->fixture.client.seen.size() == 1
               ? GatewayFixture::NotRun(request)
               : Events({1}, Ending::kComplete)(request);
  };
  this->Finish("/stream/x");
  STRCMP_EQUAL(EventText(1).c_str(), this->caller.body.c_str());
  CHECK_TRUE(this->caller.complete);
}

TEST(ForwardedCall, AStreamWhoseCallerLeavesIsReadOn) {
  this->caller.leaves = true;
  this->fixture.client.answer = [](const HttpClientRequest& request) {
    ScriptedResponse response = Events({1, 2}, Ending::kComplete)(request);
    response.late_body = EventText(3);
    return response;
  };
  this->Finish("/stream/x");
  STRCMP_EQUAL(EventText(1).c_str(), this->caller.body.c_str());
  CHECK_FALSE(this->caller.complete);
}

// A real client on open connections to a gateway in its last seconds.
TEST(ForwardedCall, AShutdownRefusesWhatItWouldCutAndStillServesWhatFits) {
  HttpServerOptions options;
  auto created = Capture([&] {
    return HttpServer::Create(
        this->fixture.runner.loop, options,
        [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
          const HostRoute* const route =
              this->fixture.configuration->routes.Find("app.example",
                                                       request.Path());
          this->call = ForwardedCall::Start(
              this->fixture.environment, *route, std::move(request),
              std::move(responder),
              [](const std::shared_ptr<ForwardedCall>&) {});
        });
  });
  CHECK_TRUE(created.Ok());
  HttpServer& server = *created.Value();
  this->RespondFirst(0, nullptr);
  this->fixture.shutdown.OnEnded("", Milliseconds(1'500));
  RawConnection early = RawConnection::ConnectTo(server.Port());
  RawConnection late = RawConnection::ConnectTo(server.Port());
  const std::string request =
      "POST /app/x HTTP/1.1\r\nHost: app.example\r\nId: r1\r\n"
      "Content-Length: 1\r\n\r\nx";
  const MonotonicTime now = this->fixture.clock.Now();

  server.DisableKeepAlive();
  this->fixture.shutdown.Begin(now - Milliseconds(3'000));
  CHECK_TRUE(early.Send(request));
  CHECK_TRUE(this->fixture.runner.RunUntil([&] { return early.Ended(); }));
  CHECK_TRUE(early.Contains("HTTP/1.1 200"));
  LONGS_EQUAL(1, this->fixture.client.seen.size());

  this->fixture.shutdown.Begin(now - Milliseconds(6'000));
  CHECK_TRUE(late.Send(request));
  CHECK_TRUE(this->fixture.runner.RunUntil([&] { return late.Ended(); }));
  CHECK_TRUE(late.Contains("HTTP/1.1 503"));
  CHECK_TRUE(late.Contains("Retry-After: 0.050"));
  CHECK_TRUE(late.Contains("Connection: close"));
  LONGS_EQUAL(1, this->fixture.client.seen.size());
}

TEST(ForwardedCall, AStreamThatAShutdownWouldCutIsNotBegun) {
  this->RespondFirst(9, Events({1, 2}, Ending::kComplete));
  this->fixture.shutdown.OnEnded("", Milliseconds(4'000));
  this->fixture.shutdown.Begin(this->fixture.clock.Now() - Milliseconds(5'000));
  this->Finish("/stream/x");
  LONGS_EQUAL(503, this->caller.status);
  LONGS_EQUAL(0, this->fixture.client.seen.size());
}

TEST(ForwardedCall, ResponseTimesOfCallsDecideWhatAShutdownBegins) {
  this->RespondFirst(0, nullptr);
  this->Finish("/app/x");
  this->fixture.shutdown.Begin(this->fixture.clock.Now() - Milliseconds(4'000));
  this->Finish("/app/x");
  LONGS_EQUAL(200, this->caller.status);
  LONGS_EQUAL(2, this->fixture.client.seen.size());
}

// Guards against streams and calls that may run once, which a shutdown begins
// because earlier ones were short, and cuts.
TEST(ForwardedCall, AShutdownBeginsWhatItMayHaveToCut) {
  this->RespondFirst(0, Events({1}, Ending::kComplete));
  for (const char* target : {"/stream/x", "/resumable/x", "/once/x"}) {
    this->caller = ReceivedResponse();
    this->fixture.client.seen.clear();
    this->fixture.shutdown = ShutdownWindow(Milliseconds(8'000));
    this->fixture.shutdown.OnEnded("", Milliseconds(20));
    this->fixture.shutdown.Begin(this->fixture.clock.Now() -
                                 Milliseconds(3'400));
    this->Finish(target);
    LONGS_EQUAL(503, this->caller.status);
    LONGS_EQUAL(0, this->fixture.client.seen.size());
  }
}

TEST(ForwardedCall, ACallThatRunsAtTheEndOfAShutdownIsNotCutWithoutAResponse) {
  this->fixture.client.answer = [](const HttpClientRequest& request) {
    ScriptedResponse response = GatewayFixture::Respond(request, 200, "");
    response.ending = Ending::kNotSent;
    response.late_body = "late";
    return response;
  };
  this->Start("/once/x");
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [this] { return !this->fixture.client.seen.empty(); }));
  this->call->EndForShutdown();
  CHECK_TRUE(this->call->Ended());
  LONGS_EQUAL(502, this->caller.status);
  CHECK_TRUE(this->caller.body.find("may_have_run") != std::string::npos);
}

}  // namespace carobbank
