// The client with servers that truncate, stall or repeat their responses, or
// never respond. Guards against truncated responses reported as complete,
// requests sent twice, and exchanges that never end.

#include "LibHTTP/http.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "http_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

// Accepts connections and sends the next scripted response for each complete
// request header section.
class ScriptedServer {
 public:
  struct Step {
    std::string response;
    bool close = false;
  };

  explicit ScriptedServer(std::vector<Step> steps) : steps(std::move(steps)) {}

  std::uint16_t Port() const { return this->listener.Port(); }
  std::size_t Connections() const { return this->connections.size(); }
  // Requests read on all connections.
  std::size_t Requests() const { return this->requests; }

  // The first line that the newest connection has received.
  std::string RequestLine() {
    const std::string& received =
        this->connections.back().connection.Received();
    return received.substr(0, received.find("\r\n"));
  }

  // Accepts and serves without blocking. Call repeatedly from the test's loop.
  void Serve() {
    const int accepted = this->listener.Accept();
    if (accepted >= 0) {
      this->connections.push_back({RawConnection(accepted)});
    }
    for (Peer& peer : this->connections) {
      this->ServePeer(peer);
    }
  }

 private:
  struct Peer {
    RawConnection connection;
    std::size_t read = 0;
    bool closed = false;
  };

  void ServePeer(Peer& peer) {
    if (peer.closed) {
      return;
    }
    const std::string& received = peer.connection.Received();
    const std::size_t end = received.find("\r\n\r\n", peer.read);
    if (end == std::string::npos || this->requests >= this->steps.size()) {
      return;
    }
    peer.read = end + 4;
    const Step& step = this->steps[this->requests++];
    peer.connection.Send(step.response);
    if (step.close) {
      peer.connection.Close();
      peer.closed = true;
    }
  }

  RawListener listener;
  std::vector<Step> steps;
  std::vector<Peer> connections;
  std::size_t requests = 0;
};

constexpr const char* kCompleteResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

}  // namespace

TEST_GROUP(HttpClient) {
  HttpFixture fixture;

  HttpClientRequest RequestTo(const ScriptedServer& server,
                              std::string method = "GET") {
    HttpClientRequest request;
    request.method = std::move(method);
    request.url = HttpFixture::Url(server.Port());
    return request;
  }
  bool Exchange(ScriptedServer & server, HttpClientRequest request,
                Observed & observed) {
    const auto exchange =
        this->fixture.client->Start(std::move(request), observed.Handlers());
    return this->fixture.runner.RunUntil([&] {
      server.Serve();
      return observed.Ended();
    });
  }
};

TEST(HttpClient, TruncatedResponsesFailAndCompleteOnesSucceed) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, bool>> cases = {
      {kCompleteResponse, true},
      {chunked + "2\r\nok\r\n0\r\n\r\n", true},
      {chunked + "2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n", true},
      {"HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n" +
           std::string(kCompleteResponse),
       true},
      {"HTTP/1.1 204 No Content\r\n\r\n", true},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false},
      {chunked + "2\r\nok\r\n", false},
      {chunked + "5\r\nok", false},
      {chunked + "2\r\nok\r\n0\r\n", false},
      {chunked + "x\r\nok\r\n0\r\n\r\n", false},
      {chunked, false},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", false},
      {"HTTP/1.1 200 OK\r\n\r\nok", false},
      {"HTTP/1.1 100 Continue\r\n\r\n", false},
      {"no HTTP at all\r\n\r\n", false},
      {"", false},
  };
  for (const auto& [response, complete] : cases) {
    ScriptedServer server({{response, true}});
    Observed observed;
    CHECK_TRUE(this->Exchange(server, this->RequestTo(server), observed));
    CHECK_EQUAL_TEXT(complete ? 1 : 0, observed.done, response.c_str());
    CHECK_EQUAL_TEXT(!complete, observed.EndedWith(SendState::kMayHaveBeenSent),
                     response.c_str());
  }
}

// Guards against a response whose head was cut off and which is passed on as a
// complete one without a body.
TEST(HttpClient, AResponseThatEndsWithinItsHeadIsComplete) {
  const std::vector<std::string> heads = {
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\nX: 2\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n",
      "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n",
      "HTTP/1.1 304 Not Modified\r\nX-Id: 1\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n"};
  for (const std::string& head : heads) {
    for (std::size_t length = 0; length < head.size(); ++length) {
      const std::string cut = head.substr(0, length);
      for (const bool close_delimited : {false, true}) {
        ScriptedServer server({{cut, true}});
        Observed observed;
        HttpClientRequest request = this->RequestTo(server);
        request.accept_close_delimited_response = close_delimited;
        CHECK_TRUE(this->Exchange(server, std::move(request), observed));
        LONGS_EQUAL_TEXT(0, observed.done, cut.c_str());
        LONGS_EQUAL_TEXT(0, observed.status, cut.c_str());
        CHECK_TRUE_TEXT(observed.EndedWith(SendState::kMayHaveBeenSent),
                        cut.c_str());
      }
    }
  }
}

TEST(HttpClient, AStatusThatIsNoneReachesTheCaller) {
  const std::string rest = "\r\nContent-Length: 2\r\n\r\nok";
  const std::vector<const char*> status_lines = {
      "HTTP/1.1 000 None",
      "HTTP/1.1 042 Answer",
      "HTTP/1.1 099 Below",
      "HTTP/1.1 42 Short",
      "HTTP/1.1 600 Above",
      "HTTP/1.1 999 Above",
      "HTTP/1.1 2000 Long",
      "HTTP/1.1 20x Letter",
      "HTTP/1.1 200abc",
      "HTTP/1.1 -5 Negative",
      "HTTP/1.1 -50 Negative",
      "HTTP/1.1 +20 Sign",
      "HTTP/1.1  200 Blanks",
      "HTTP/1.1 200.5 Fraction",
      "HTTP/1.1 0x1 Hexadecimal",
      "HTTP/1.1 ",
      "HTTP/1.1",
      "HTTP/1.10 200 OK",
      "HTTP/1 200 OK",
      "HTTP/0.9 200 OK",
      "HTTP/2 200 OK",
      "HTTP/2.0 200 OK",
      "HTTP 200 OK",
      "HTTP/ 200 OK",
      "http/1.1 200 OK",
      " HTTP/1.1 200 OK",
      "HTTP/1.1 200 OK\r\nHTTP/1.1 500 Second",
      "HTTP/1.1 200 OK\r\nHTTP/1.1 600 Second",
      "HTTP/1.1 200 OK\r\nHTTP/1.1 500 Second: line",
      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 Above",
      "HTTP/1.1 103 Early Hints\r\n\r\nHTTP 200 OK",
      "HTTP/1.1 101 Switching Protocols",
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade",
  };
  std::string accepted;
  for (const char* const status_line : status_lines) {
    for (const bool close : {true, false}) {
      ScriptedServer server({{status_line + rest, close}});
      HttpClientRequest request = this->RequestTo(server, "POST");
      request.accept_close_delimited_response = true;
      Observed observed;
      const bool ended = this->Exchange(server, std::move(request), observed);
      if (!observed.EndedWith(SendState::kMayHaveBeenSent) ||
          observed.status != 0 || !observed.body.empty()) {
        accepted += std::string(status_line) + " -> " +
                    std::to_string(observed.status) + " " + observed.body +
                    (ended ? "" : " without an end") + "\n";
      }
    }
  }
  STRCMP_EQUAL("", accepted.c_str());
}

TEST(HttpClient, AResponseOfInvalidLengthIsComplete) {
  const std::vector<std::pair<const char*, bool>> lengths = {
      {"Content-Length: 2\r\nContent-Length: 2", true},
      {"Content-Length: 2, 2", true},
      {"Content-Length: 2\r\nContent-Length: 3", false},
      {"Content-Length: 3\r\nContent-Length: 2", false},
      {"Content-Length: 2, 3", false},
      {"Content-Length: 2,", false},
      {"Content-Length: 2x", false},
      {"Content-Length: 2 3", false},
      {"Content-Length: +2", false},
      {"Content-Length: -2", false},
      {"Content-Length: ", false},
      {"Content-Length: 99999999999999999999", false},
  };
  std::string wrong;
  for (const auto& [length, valid] : lengths) {
    ScriptedServer server(
        {{std::string("HTTP/1.1 200 OK\r\n") + length + "\r\n\r\nokay", true}});
    HttpClientRequest request = this->RequestTo(server);
    request.accept_close_delimited_response = true;
    Observed observed;
    CHECK_TRUE(this->Exchange(server, std::move(request), observed));
    if ((observed.done == 1) != valid || (observed.status == 200) != valid ||
        observed.body != (valid ? "ok" : "")) {
      wrong += std::string(length) + " -> " + std::to_string(observed.status) +
               " " + observed.body + "\n";
    }
  }
  STRCMP_EQUAL("", wrong.c_str());
}

TEST(HttpClient, AMalformedHeaderLineIsPassedOn) {
  using namespace std::string_literals;
  const std::vector<std::pair<std::string, bool>> lines = {
      {"X-Name:value", true},
      {"x-!#$%&'*+.^_`|~09: \t value \t", true},
      {"X-Empty:", true},
      {"X-Latin: \xe9", true},
      {"X-Blank : 1", false},
      {"Transfer-Encoding : chunked", false},
      {"X Y: 1", false},
      {": 1", false},
      {"X(Y): 1", false},
      {"X-Name: 1\r\n X-Folded: 2", false},
      {"X-Name: 1\r\n\tfolded", false},
      {"X-Name: 1\r\n ", false},
      {"X-Name: 1\rX-Other: 2", false},
      {"X-Name: 1\0"s, false},
      {"X-No-Colon", false},
  };
  std::string wrong;
  for (const auto& [line, valid] : lines) {
    ScriptedServer server(
        {{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + "\r\n\r\nok",
          true}});
    Observed observed;
    CHECK_TRUE(this->Exchange(server, this->RequestTo(server), observed));
    if ((observed.done == 1) != valid || (observed.status == 200) != valid) {
      wrong += line + " -> " + std::to_string(observed.status) + "\n";
    }
  }
  STRCMP_EQUAL("", wrong.c_str());
}

TEST(HttpClient, AStatusWithinTheRangeIsRefused) {
  const std::vector<std::pair<const char*, int>> status_lines = {
      {"HTTP/1.1 200 OK", 200},
      {"HTTP/1.0 200 OK", 200},
      {"HTTP/1.1 200", 200},
      {"HTTP/1.1 200 ", 200},
      {"HTTP/1.1 200 600 and more", 200},
      {"HTTP/1.1 299 Own", 299},
      {"HTTP/1.1 599 Own", 599},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Own\r\n\r\n"
       "HTTP/1.1 500 Error",
       500},
  };
  for (const auto& [status_line, status] : status_lines) {
    ScriptedServer server(
        {{std::string(status_line) + "\r\nContent-Length: 2\r\n\r\nok", true}});
    Observed observed;
    CHECK_TRUE(this->Exchange(server, this->RequestTo(server), observed));
    CHECK_EQUAL_TEXT(1, observed.done, status_line);
    CHECK_EQUAL_TEXT(status, observed.status, status_line);
    STRCMP_EQUAL_TEXT("ok", observed.body.c_str(), status_line);
  }
}

TEST(HttpClient, AConnectionIsUsedAgainAfterAStatusThatIsNone) {
  ScriptedServer server(
      {{"HTTP/1.1 600 Above\r\nContent-Length: 2\r\n\r\nok", false},
       {kCompleteResponse, false}});
  Observed first;
  CHECK_TRUE(this->Exchange(server, this->RequestTo(server), first));
  Observed second;
  CHECK_TRUE(this->Exchange(server, this->RequestTo(server), second));
  CHECK_EQUAL(1, second.done);
  CHECK_EQUAL(2U, server.Connections());
}

TEST(HttpClient, RequestIsNeverSentTwice) {
  for (const char* const method : {"POST", "GET", "DELETE"}) {
    for (const bool fresh : {false, true}) {
      // The first exchange leaves a pooled connection. The server reads the
      // second exchange's request and closes the connection without a response.
      ScriptedServer server(
          {{kCompleteResponse, false}, {"", true}, {kCompleteResponse, false}});
      Observed first;
      CHECK_TRUE(this->Exchange(server, this->RequestTo(server), first));
      CHECK_EQUAL(1, first.done);
      HttpClientRequest request = this->RequestTo(server, method);
      request.fresh_connection = fresh;
      Observed second;
      CHECK_TRUE(this->Exchange(server, std::move(request), second));
      CHECK_TRUE(second.EndedWith(SendState::kMayHaveBeenSent));
      this->fixture.runner.RunFor(Milliseconds(5));
      server.Serve();
      CHECK_EQUAL_TEXT(2U, server.Requests(), method);
    }
  }
}

TEST(HttpClient, ARequestThatWasSentInPartIsReportedAsNotSent) {
  constexpr std::size_t kBodyBytes = 16 * 1024 * 1024;
  for (const std::size_t body_bytes : {std::size_t{0}, kBodyBytes}) {
    RawListener listener;
    HttpClientRequest request;
    request.method = "POST";
    request.url = HttpFixture::Url(listener.Port());
    request.body.assign(body_bytes, 'x');
    Observed observed;
    const auto exchange =
        this->fixture.client->Start(std::move(request), observed.Handlers());
    std::optional<RawConnection> connection;
    CHECK_TRUE(this->fixture.runner.RunUntil([&] {
      if (const int accepted = listener.Accept(); accepted >= 0) {
        connection.emplace(accepted);
      }
      // The connection is reset before the body has arrived.
      if (connection && !connection->Received().empty()) {
        connection->Close();
      }
      return observed.Ended();
    }));
    CHECK_TRUE(observed.EndedWith(SendState::kMayHaveBeenSent));
  }
}

TEST(HttpClient, FreshConnectionOptionBypassesThePool) {
  for (const bool fresh : {false, true}) {
    ScriptedServer server(
        {{kCompleteResponse, false}, {kCompleteResponse, false}});
    for (int i = 0; i < 2; ++i) {
      HttpClientRequest request = this->RequestTo(server, "POST");
      request.fresh_connection = fresh;
      Observed observed;
      CHECK_TRUE(this->Exchange(server, std::move(request), observed));
      CHECK_EQUAL(1, observed.done);
    }
    CHECK_EQUAL(fresh ? 2U : 1U, server.Connections());
  }
}

TEST(HttpClient, PooledConnectionThatClosedWhileIdleIsNotUsed) {
  ScriptedServer server(
      {{kCompleteResponse, true}, {kCompleteResponse, false}});
  Observed first;
  CHECK_TRUE(this->Exchange(server, this->RequestTo(server), first));
  Observed second;
  CHECK_TRUE(this->Exchange(server, this->RequestTo(server, "POST"), second));
  CHECK_EQUAL(1, second.done);
  CHECK_EQUAL(2U, server.Connections());
}

// Guards against a connection that is taken for older than it is, so that an
// entry of a server's earlier start seems to confirm who responds on it.
TEST(HttpClient, AConnectionIsTakenForOneOfAnotherTime) {
  ScriptedServer server(
      {{kCompleteResponse}, {kCompleteResponse}, {kCompleteResponse}});
  std::optional<MonotonicTime> connected_at;
  const auto exchange_once = [&](bool fresh) {
    HttpClientRequest request = this->RequestTo(server);
    request.fresh_connection = fresh;
    Observed observed;
    HttpClientHandlers handlers = observed.Handlers();
    std::unique_ptr<HttpExchange> exchange;
    handlers.on_headers = [&](int, const HttpHeaders&) {
      connected_at = exchange->ConnectedAt();
    };
    exchange = this->fixture.client->Start(std::move(request), handlers);
    CHECK_TRUE(this->fixture.runner.RunUntil([&] {
      server.Serve();
      return observed.Ended();
    }));
  };
  const SystemClock clock;
  const MonotonicTime before = clock.BootNow();
  exchange_once(false);
  CHECK_TRUE(connected_at && *connected_at >= before);
  const MonotonicTime first = *connected_at;
  this->fixture.runner.RunFor(Milliseconds(20));
  exchange_once(false);
  LONGS_EQUAL(1, server.Connections());
  CHECK_TRUE(connected_at == first);
  const MonotonicTime between = clock.BootNow();
  exchange_once(true);
  LONGS_EQUAL(2, server.Connections());
  CHECK_TRUE(connected_at && *connected_at >= between);
}

TEST(HttpClient, SurplusResponseIsNotDeliveredToTheNextRequest) {
  const std::string surplus_response =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
  ScriptedServer server({{kCompleteResponse + surplus_response, false},
                         {kCompleteResponse, false}});
  Observed first;
  CHECK_TRUE(this->Exchange(server, this->RequestTo(server), first));
  Observed second;
  CHECK_TRUE(this->Exchange(server, this->RequestTo(server), second));
  STRCMP_EQUAL("ok", second.body.c_str());
}

TEST(HttpClient, ExchangeWithAnUnresponsivePeerTimesOut) {
  for (const bool idle : {true, false}) {
    ScriptedServer server({});
    HttpClientRequest request = this->RequestTo(server, "POST");
    (idle ? request.idle_timeout : request.timeout) = Milliseconds(50);
    Observed observed;
    CHECK_TRUE(this->Exchange(server, std::move(request), observed));
    CHECK_TRUE(observed.EndedWith(SendState::kMayHaveBeenSent));
  }
}

TEST(HttpClient, StalledStreamEndsByIdleTimeout) {
  ScriptedServer server(
      {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        false}});
  HttpClientRequest request = this->RequestTo(server);
  request.idle_timeout = Milliseconds(50);
  Observed observed;
  CHECK_TRUE(this->Exchange(server, std::move(request), observed));
  CHECK_TRUE(observed.failure.has_value());
  STRCMP_EQUAL("ok", observed.body.c_str());
}

TEST(HttpClient, InvalidRequestsAreReportedAsNotSent) {
  ScriptedServer server({{kCompleteResponse, false},
                         {kCompleteResponse, false},
                         {kCompleteResponse, false}});
  std::vector<HttpClientRequest> requests(3, this->RequestTo(server));
  requests[0].headers = {{"X", "a\r\nHost: other"}};
  requests[1].url = "ftp://127.0.0.1/";
  requests[2].url = "no address";
  for (const HttpClientRequest& request : requests) {
    Observed observed;
    CHECK_TRUE(this->Exchange(server, request, observed));
    CHECK_TRUE(observed.EndedWith(SendState::kNotSent));
  }
  CHECK_EQUAL(0U, server.Requests());
}

TEST(HttpClient, TargetsAreSentAsTheyAre) {
  for (const std::string target :
       {"/a#b", "/a?b=#c", "/a?b?c", "/a/../b//c", "/%zz", "/a|\"\\^`{}",
        "/\xc3\xbc", "/", "/?a"}) {
    ScriptedServer server({{kCompleteResponse, true}});
    HttpClientRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(server.Port()) + target;
    Observed observed;
    CHECK_TRUE(this->Exchange(server, std::move(request), observed));
    CHECK_EQUAL_TEXT(1, observed.done, target.c_str());
    STRCMP_EQUAL(("GET " + target + " HTTP/1.1").c_str(),
                 server.RequestLine().c_str());
  }
}

TEST(HttpClient, TargetsThatWouldEndTheRequestLineAreNotSent) {
  for (const std::string target :
       {"/a b", "/a\tb", "/a HTTP/1.1\r\nX: y", "/a\nb", "/a\x7f"}) {
    ScriptedServer server({{kCompleteResponse, true}});
    HttpClientRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(server.Port()) + target;
    Observed observed;
    CHECK_TRUE(this->Exchange(server, std::move(request), observed));
    CHECK_TRUE_TEXT(observed.EndedWith(SendState::kNotSent), target.c_str());
    CHECK_EQUAL(0U, server.Requests());
  }
}

TEST(HttpClient, PauseAppliesBackpressureToTheServer) {
  constexpr std::size_t kChunkBytes = 64 * 1024;
  constexpr std::size_t kChunks = 1'000;
  std::size_t written = 0;
  std::function<void(bool)> next;
  CHECK_TRUE(
      this->fixture.Serve({}, [&](HttpRequest /*request*/, auto responder) {
        next = [&, responder](bool ok) {
          written += ok ? 1 : 0;
          if (written == kChunks) {
            responder->Finish();
          } else if (ok) {
            responder->Write(std::string(kChunkBytes, 'x'), next);
          }
        };
        responder->Start(200, {});
        responder->Write(std::string(kChunkBytes, 'x'), next);
      }));
  Observed observed;
  std::unique_ptr<HttpExchange> exchange;
  HttpClientHandlers handlers = observed.Handlers();
  handlers.on_body = [&](std::string_view bytes) {
    observed.body.append(bytes);
    exchange->Pause();
  };
  exchange = this->fixture.client->Start(this->fixture.Request("GET"),
                                         std::move(handlers));
  this->fixture.runner.RunFor(Milliseconds(200));
  CHECK_TRUE(written < kChunks / 2);
  CHECK_TRUE(observed.body.size() < kChunkBytes);
  CHECK_TRUE(this->fixture.runner.RunUntil([&] {
    for (int i = 0; i < 100; ++i) {
      exchange->Resume();
    }
    return observed.body.size() > 10 * kChunkBytes;
  }));
  exchange.reset();
  next = nullptr;
}

TEST(HttpClient, SmallChunksAreDeliveredOneByOne) {
  constexpr std::size_t kChunks = 2'000;
  // The response arrives in a few reads.
  constexpr std::size_t kMostDeliveries = 20;
  std::string response =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t chunk = 0; chunk < kChunks; ++chunk) {
    response += "1\r\na\r\n";
  }
  ScriptedServer server({{response + "0\r\n\r\n", true}});
  Observed observed;
  std::size_t deliveries = 0;
  HttpClientHandlers handlers = observed.Handlers();
  handlers.on_body = [&](std::string_view bytes) {
    ++deliveries;
    observed.body.append(bytes);
  };
  const auto exchange =
      this->fixture.client->Start(this->RequestTo(server), handlers);
  CHECK_TRUE(this->fixture.runner.RunUntil([&] {
    server.Serve();
    return observed.Ended();
  }));
  CHECK_EQUAL(1, observed.done);
  CHECK_TRUE(observed.body == std::string(kChunks, 'a'));
  CHECK_TRUE(deliveries <= kMostDeliveries);
}

TEST(HttpClient, ConcurrentExchangesGetTheirOwnResponses) {
  constexpr std::size_t kExchanges = 200;
  std::vector<std::pair<std::string, std::shared_ptr<HttpResponder>>> waiting;
  CHECK_TRUE(this->fixture.Serve({}, [&](HttpRequest request, auto responder) {
    waiting.emplace_back(std::move(request.body), std::move(responder));
  }));
  std::vector<Observed> observed(kExchanges);
  std::vector<std::unique_ptr<HttpExchange>> exchanges;
  for (std::size_t i = 0; i < kExchanges; ++i) {
    exchanges.push_back(this->fixture.client->Start(
        this->fixture.Request("POST", std::to_string(i)),
        observed[i].Handlers()));
  }
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [&] { return waiting.size() == kExchanges; }));
  Random random(7);
  while (!waiting.empty()) {
    const std::size_t chosen = random.Below(waiting.size());
    waiting[chosen].second->Send({200, {}, waiting[chosen].first});
    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
  CHECK_TRUE(this->fixture.runner.RunUntil([&] {
    return std::all_of(observed.begin(), observed.end(),
                       [](const Observed& each) { return each.Ended(); });
  }));
  for (std::size_t i = 0; i < kExchanges; ++i) {
    STRCMP_EQUAL(std::to_string(i).c_str(), observed[i].body.c_str());
  }
}

TEST(HttpClient, DestroyedClientCallsNoHandlers) {
  ScriptedServer server({});
  Observed observed;
  const auto exchange =
      this->fixture.client->Start(this->RequestTo(server), observed.Handlers());
  bool fetched = false;
  this->fixture.client->Fetch(this->RequestTo(server),
                              [&](Outcome<HttpResponse>) { fetched = true; });
  this->fixture.runner.RunFor(Milliseconds(5));
  this->fixture.client.reset();
  this->fixture.runner.RunFor(Milliseconds(5));
  CHECK_FALSE(observed.Ended());
  CHECK_FALSE(fetched);
}

}  // namespace carobbank
