// Exchanges between the client and the server. Guards against lost or changed
// parts of requests and responses, and against aborted responses that the
// client reports as complete.

#include "LibHTTP/http.h"

#include <optional>

#include "http_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(HttpExchange) {
  LoopRunner runner;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client = HttpClient::Create(this->runner.loop);

  void Serve(HttpHandler handler) {
    auto created = Capture([&] {
      return HttpServer::Create(this->runner.loop, {}, std::move(handler));
    });
    CHECK_TRUE(created.Ok());
    this->server = std::move(created.Value());
  }

  std::string Url(std::uint16_t port) {
    return "http://127.0.0.1:" + std::to_string(port) + "/path?q=1";
  }

  HttpClientRequest Request(std::string method, std::string body = "") {
    HttpClientRequest request;
    request.method = std::move(method);
    request.url = this->Url(this->server->Port());
    request.body = std::move(body);
    return request;
  }
};

TEST(HttpExchange, RequestArrivesAsItWasSent) {
  HttpRequest received;
  this->Serve([&](HttpRequest request, auto responder) {
    received = std::move(request);
    responder->Send({201, {{"X-Answer", "yes"}}, "made"});
  });
  HttpClientRequest request = this->Request("POST", "the body");
  request.headers = {{"X-One", "1"}, {"X-Empty", ""}};
  Observed observed;
  const auto exchange =
      this->client->Start(std::move(request), observed.Handlers());
  CHECK_TRUE(this->runner.RunUntil([&] { return observed.Ended(); }));
  CHECK_EQUAL(1, observed.done);
  CHECK_EQUAL(201, observed.status);
  STRCMP_EQUAL("made", observed.body.c_str());
  CHECK_TRUE(FindHeader(observed.headers, "x-answer") == "yes");
  STRCMP_EQUAL("POST", received.method.c_str());
  STRCMP_EQUAL("/path?q=1", received.target.c_str());
  STRCMP_EQUAL("the body", received.body.c_str());
  CHECK_TRUE(FindHeader(received.headers, "X-One") == "1");
  CHECK_TRUE(FindHeader(received.headers, "X-Empty") == "");
  CHECK_FALSE(FindHeader(received.headers, "Expect").has_value());
  CHECK_TRUE(this->runner.RunUntil(
      [&] { return this->server->RequestsInProgress() == 0; }));
}

TEST(HttpExchange, EveryMethodKeepsItsFraming) {
  this->Serve([&](HttpRequest request, auto responder) {
    responder->Send({200, {{"X-Method", request.method}}, request.body});
  });
  for (const char* const method :
       {"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"}) {
    Observed observed;
    const bool has_body = std::string_view(method) == "PUT";
    const auto exchange = this->client->Start(
        this->Request(method, has_body ? "text" : ""), observed.Handlers());
    CHECK_TRUE_TEXT(this->runner.RunUntil([&] { return observed.Ended(); }),
                    method);
    CHECK_EQUAL_TEXT(1, observed.done, method);
    CHECK_TRUE(FindHeader(observed.headers, "X-Method") == method);
    STRCMP_EQUAL(has_body ? "text" : "", observed.body.c_str());
  }
}

TEST(HttpExchange, ChunksArriveOneByOne) {
  std::shared_ptr<HttpResponder> responder;
  this->Serve([&](HttpRequest /*request*/, auto new_responder) {
    responder = new_responder;
  });
  Observed observed;
  const auto exchange =
      this->client->Start(this->Request("GET"), observed.Handlers());
  CHECK_TRUE(this->runner.RunUntil([&] { return responder != nullptr; }));
  responder->Start(200, {{"Content-Type", "text/event-stream"}});
  CHECK_TRUE(this->runner.RunUntil([&] { return observed.status == 200; }));
  STRCMP_EQUAL("", observed.body.c_str());
  int written = 0;
  responder->Write("one", [&](bool ok) { written += ok ? 1 : 0; });
  CHECK_TRUE(this->runner.RunUntil([&] { return observed.body == "one"; }));
  responder->Write(" two", [&](bool ok) { written += ok ? 1 : 0; });
  CHECK_TRUE(this->runner.RunUntil([&] { return observed.body == "one two"; }));
  CHECK_EQUAL(0, observed.done);
  CHECK_EQUAL(1U, this->server->RequestsInProgress());
  responder->Finish();
  CHECK_TRUE(this->runner.RunUntil([&] { return observed.Ended(); }));
  CHECK_EQUAL(1, observed.done);
  CHECK_EQUAL(2, written);
  CHECK_TRUE(this->runner.RunUntil(
      [&] { return this->server->RequestsInProgress() == 0; }));
}

TEST(HttpExchange, AbortedResponsesAreReportedAsFailures) {
  this->Serve([&](HttpRequest /*request*/, auto responder) {
    responder->Start(200, {});
    responder->Write("part", [responder](bool) { responder->Abort(); });
  });
  Observed observed;
  const auto exchange =
      this->client->Start(this->Request("GET"), observed.Handlers());
  CHECK_TRUE(this->runner.RunUntil([&] { return observed.Ended(); }));
  CHECK_EQUAL(0, observed.done);
  CHECK_TRUE(observed.failure->send_state == SendState::kMayHaveBeenSent);
  CHECK_TRUE(observed.failure->error.kind == ErrorKind::kOutcomeUnknown);
}

TEST(HttpExchange, DestroyedResponderSends500OrAbortsTheStream) {
  this->Serve([&](HttpRequest request, auto responder) {
    if (request.method == "PUT") {
      responder->Start(200, {});
      responder->Write("part", [](bool) {});
    }
  });
  Observed without_response;
  Observed truncated;
  const auto first =
      this->client->Start(this->Request("GET"), without_response.Handlers());
  const auto second =
      this->client->Start(this->Request("PUT"), truncated.Handlers());
  CHECK_TRUE(this->runner.RunUntil(
      [&] { return without_response.Ended() && truncated.Ended(); }));
  CHECK_EQUAL(500, without_response.status);
  CHECK_TRUE(Problem::FromText(500, without_response.body)->code ==
             "no_answer");
  CHECK_TRUE(truncated.failure.has_value());
}

TEST(HttpExchange, RefusedConnectionIsReportedAsNotSent) {
  std::uint16_t free_port = 0;
  {
    const RawListener listener;
    free_port = listener.Port();
  }
  HttpClientRequest request;
  request.method = "POST";
  request.url = this->Url(free_port);
  Observed observed;
  const auto exchange =
      this->client->Start(std::move(request), observed.Handlers());
  CHECK_TRUE(this->runner.RunUntil([&] { return observed.Ended(); }));
  CHECK_TRUE(observed.failure->send_state == SendState::kNotSent);
  CHECK_TRUE(observed.failure->error.kind == ErrorKind::kUnavailable);
}

TEST(HttpExchange, FetchReturnsTheCompleteResponseOrOneError) {
  this->Serve([&](HttpRequest request, auto responder) {
    responder->Send({200, {}, std::string(request.body.size() * 2, 'x')});
  });
  for (const std::size_t limit : {1'000U, 7U}) {
    HttpClientRequest request = this->Request("POST", "1234");
    request.max_body_bytes = limit;
    std::optional<Outcome<HttpResponse>> result;
    this->client->Fetch(std::move(request), [&](Outcome<HttpResponse> outcome) {
      result = std::move(outcome);
    });
    CHECK_TRUE(this->runner.RunUntil([&] { return result.has_value(); }));
    CHECK_EQUAL(limit == 1'000U, result->Ok());
  }
}

TEST(HttpExchange, ExchangeMayBeDestroyedInsideItsOwnHandlers) {
  this->Serve([&](HttpRequest /*request*/, auto responder) {
    responder->Start(200, {});
    responder->Write("part", [responder](bool) { responder->Finish(); });
  });
  for (int destroying_callback = 0; destroying_callback < 3;
       ++destroying_callback) {
    std::unique_ptr<HttpExchange> exchange;
    int calls = 0;
    const auto destroy_at = [&](int callback) {
      ++calls;
      if (callback == destroying_callback) {
        exchange.reset();
      }
    };
    HttpClientHandlers handlers;
    handlers.on_headers = [&](int, const HttpHeaders&) { destroy_at(0); };
    handlers.on_body = [&](std::string_view) { destroy_at(1); };
    handlers.on_done = [&] { destroy_at(2); };
    exchange = this->client->Start(this->Request("GET"), std::move(handlers));
    CHECK_TRUE(this->runner.RunUntil([&] { return exchange == nullptr; }));
    CHECK_EQUAL(destroying_callback + 1, calls);
  }
  // The client still works afterwards.
  Observed observed;
  const auto exchange =
      this->client->Start(this->Request("GET"), observed.Handlers());
  CHECK_TRUE(this->runner.RunUntil([&] { return observed.Ended(); }));
  CHECK_EQUAL(1, observed.done);
}

}  // namespace carobbank
