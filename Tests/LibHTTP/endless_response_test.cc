// The client with servers that send bytes until the client closes. Guards
// against exchanges and memory without a bound.

#include "LibHTTP/http.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Support/endless_server.h"
#include "http_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::size_t kMaxBodyBytes = 256 * 1024;
// Far above all limits together, with the buffers of both sockets.
constexpr std::size_t kMaxSentBytes = 24 * 1024 * 1024;
constexpr Milliseconds kTimeout{5'000};
constexpr Milliseconds kExpectedEnd{3'000};

constexpr const char* kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<EndlessResponse> EndlessResponses() {
  const std::string chunked = kChunked;
  return {
      {"status line", "HTTP/1.1 200 ", "aaaaaaaa"},
      {"header line", "HTTP/1.1 200 OK\r\nX: ", "aaaaaaaa"},
      {"headers", "HTTP/1.1 200 OK\r\n", "X-Header: aaaaaaaa\r\n"},
      {"interim heads", "", "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n"},
      {"body until close", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa"},
      {"chunked body", chunked, "8\r\naaaaaaaa\r\n"},
      {"body of a failure",
       "HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n",
       "8\r\naaaaaaaa\r\n"},
      {"huge length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
       "aaaaaaaa"},
      {"trailers", chunked + "2\r\nok\r\n0\r\n", "X-Trailer: aaaaaaaa\r\n"},
      {"trailer line", chunked + "2\r\nok\r\n0\r\nX-Trailer: ", "aaaaaaaa"},
      {"chunk extension", chunked + "2;x=", "aaaaaaaa"},
      {"chunk extension before each byte", chunked,
       "1;x=" + std::string(64 * 1024, 'a') + "\r\na\r\n"},
      {"zeros of a chunk size", chunked, "00000000"},
      {"blank lines", "", "\r\n"},
      {"no HTTP", "", "aaaaaaaa"},
  };
}

std::size_t CountRequests(RawConnection& connection) {
  const std::string& received = connection.Received();
  std::size_t requests = 0;
  std::size_t end = 0;
  while ((end = received.find("\r\n\r\n", end)) != std::string::npos) {
    ++requests;
    ++end;
  }
  return requests;
}

}  // namespace

TEST_GROUP(EndlessResponse) {
  HttpFixture fixture;

  HttpClientRequest RequestTo(const EndlessServer& server) {
    HttpClientRequest request;
    request.url = HttpFixture::Url(server.Port());
    request.timeout = kTimeout;
    request.max_body_bytes = kMaxBodyBytes;
    request.accept_close_delimited_response = true;
    return request;
  }
  std::vector<ResponseLimitExceeded> exceeded;

  void setup() override {
    HttpClientOptions options;
    options.on_limit_exceeded = [this](const ResponseLimitExceeded& limit) {
      this->exceeded.push_back(limit);
    };
    options.max_buffered_bytes = 2 * kMaxBodyBytes;
    this->fixture.client =
        HttpClient::Create(this->fixture.runner.loop, options);
  }

  // Serves until the exchange has ended and the client has closed.
  void RunExchange(EndlessServer & server, Observed & observed) {
    const auto exchange =
        this->fixture.client->Start(RequestTo(server), observed.Handlers());
    const MonotonicTime end =
        std::chrono::steady_clock::now() + 2 * kExpectedEnd;
    this->fixture.runner.RunUntil([&] {
      server.Serve();
      return (observed.Ended() && server.AllClosed()) ||
             std::chrono::steady_clock::now() > end;
    });
  }
};

TEST(EndlessResponse, AResponseWithoutEndIsReadOnAndOn) {
  for (const EndlessResponse& response : EndlessResponses()) {
    constexpr std::size_t kFast = 64 * 1024;
    EndlessServer server(response, kFast);
    Observed observed;
    const MonotonicTime began = std::chrono::steady_clock::now();
    this->RunExchange(server, observed);
    const auto elapsed = std::chrono::steady_clock::now() - began;
    CHECK_TRUE_TEXT(observed.EndedWith(SendState::kMayHaveBeenSent),
                    response.name);
    CHECK_TRUE_TEXT(elapsed < kExpectedEnd, response.name);
    CHECK_TRUE_TEXT(server.AllClosed(), response.name);
    CHECK_TRUE_TEXT(server.Sent() <= kMaxSentBytes, response.name);
    CHECK_TRUE_TEXT(observed.body.size() <= kMaxBodyBytes, response.name);
  }
  // libcurl rejects four as malformed: a trailer line without end, zeros, blank
  // lines, and no HTTP.
  LONGS_EQUAL(EndlessResponses().size() - 4, this->exceeded.size());
  STRCMP_CONTAINS("/path", this->exceeded.front().url.c_str());
  CHECK_TRUE(this->exceeded.front().url.find('?') == std::string::npos);
}

TEST(EndlessResponse, ResponsesTogetherExceedTheMemoryOfTheClient) {
  constexpr std::size_t kResponses = 8;
  EndlessServer server({"", kChunked, "8\r\naaaaaaaa\r\n"}, 4 * 1024);
  std::size_t failures = 0;
  std::size_t most = 0;
  for (std::size_t response = 0; response < kResponses; ++response) {
    this->fixture.client->Fetch(this->RequestTo(server),
                                [&failures](const Outcome<HttpResponse>& got) {
                                  failures += got.Ok() ? 0 : 1;
                                });
  }
  CHECK_TRUE(this->fixture.runner.RunUntil([&] {
    server.Serve();
    most = std::max(most, this->fixture.client->Budget()->Used());
    return failures == kResponses && server.AllClosed();
  }));
  CHECK_TRUE(most > kMaxBodyBytes);
  CHECK_TRUE(most <= 2 * kMaxBodyBytes);
  LONGS_EQUAL(0, this->fixture.client->Budget()->Used());
  CHECK_TRUE(std::any_of(this->exceeded.begin(), this->exceeded.end(),
                         [](const ResponseLimitExceeded& limit) {
                           return limit.limit == ResponseLimit::kMemory;
                         }));
}

TEST(EndlessResponse, AResponseThatTricklesOutlastsItsTime) {
  for (const EndlessResponse& response : EndlessResponses()) {
    EndlessServer server(response, 1);
    Observed observed;
    HttpClientRequest request = this->RequestTo(server);
    constexpr Milliseconds kShort{300};
    request.timeout = kShort;
    const auto exchange =
        this->fixture.client->Start(std::move(request), observed.Handlers());
    constexpr Milliseconds kBetweenBytes{20};
    MonotonicTime next = MonotonicTime::min();
    CHECK_TRUE_TEXT(this->fixture.runner.RunUntil([&] {
      if (std::chrono::steady_clock::now() >= next) {
        server.Serve();
        next = std::chrono::steady_clock::now() + kBetweenBytes;
      }
      return observed.Ended();
    }),
                    response.name);
    CHECK_TRUE_TEXT(observed.EndedWith(SendState::kMayHaveBeenSent),
                    response.name);
  }
}

TEST(EndlessResponse, BytesBehindACompleteResponseReachTheNextRequest) {
  EndlessServer server(
      {"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "aaaaaaaa"},
      64 * 1024);
  for (std::size_t request = 1; request <= 2; ++request) {
    Observed observed;
    this->RunExchange(server, observed);
    LONGS_EQUAL(1, observed.done);
    STRCMP_EQUAL("ok", observed.body.c_str());
    LONGS_EQUAL(request, server.Connections());
  }
  CHECK_TRUE(server.AllClosed());
}

TEST(EndlessResponse, AFastServerHoldsUpTheLoop) {
  // Bytes of the body between two turns of the loop. libcurl reads up to 16 KiB
  // from a connection at once.
  constexpr std::size_t kMostBytesPerTurn = 256 * 1024;
  RawListener listener;
  HttpClientRequest request;
  request.url = HttpFixture::Url(listener.Port());
  request.max_body_bytes = 8 * 1024 * 1024;
  Observed observed;
  std::size_t bytes_in_turn = 0;
  std::size_t most_bytes = 0;
  HttpClientHandlers handlers = observed.Handlers();
  handlers.on_body = [&](std::string_view bytes) {
    bytes_in_turn += bytes.size();
    most_bytes = std::max(most_bytes, bytes_in_turn);
  };
  const auto exchange =
      this->fixture.client->Start(std::move(request), handlers);
  int accepted = -1;
  this->fixture.runner.RunUntil([&] {
    accepted = accepted < 0 ? listener.Accept() : accepted;
    return accepted >= 0;
  });
  std::thread sender([accepted] {
    RawConnection connection(accepted);
    std::string piece = kChunked;
    bool open = true;
    while (open) {
      open = connection.Send(piece);
      piece.clear();
      while (piece.size() < kMaxBodyBytes) {
        piece += "8\r\naaaaaaaa\r\n";
      }
    }
  });
  std::function<void()> turn = [&] {
    bytes_in_turn = 0;
    if (!observed.Ended()) {
      this->fixture.runner.loop.Post(turn);
    }
  };
  this->fixture.runner.loop.Post(turn);
  this->fixture.runner.RunUntil([&] { return observed.Ended(); });
  sender.join();
  LONGS_EQUAL(1, this->exceeded.size());
  CHECK_TRUE_TEXT(most_bytes <= kMostBytesPerTurn,
                  std::to_string(most_bytes).c_str());
}

// Guards against a limit of framing bytes that ends responses of many small
// chunks, or counts what a kept connection has carried before.
TEST(EndlessResponse, ManySmallChunksAreTakenForFramingWithoutEnd) {
  constexpr std::size_t kChunks = 200 * 1000;
  constexpr std::size_t kPiece = 64 * 1024;
  std::string response = kChunked;
  for (std::size_t chunk = 0; chunk < kChunks; ++chunk) {
    response += "1\r\na\r\n";
  }
  response += "0\r\n\r\n";
  RawListener listener;
  std::optional<RawConnection> connection;
  for (std::size_t exchanges = 1; exchanges <= 3; ++exchanges) {
    HttpClientRequest request;
    request.url = HttpFixture::Url(listener.Port());
    Observed observed;
    const auto exchange =
        this->fixture.client->Start(std::move(request), observed.Handlers());
    std::size_t sent = 0;
    this->fixture.runner.RunUntil([&] {
      if (!connection) {
        const int accepted = listener.Accept();
        if (accepted >= 0) {
          connection.emplace(accepted);
        }
      } else if (CountRequests(*connection) == exchanges) {
        sent += connection->SendSome(
            std::string_view(response).substr(sent, kPiece));
      }
      return observed.Ended();
    });
    LONGS_EQUAL(1, observed.done);
    LONGS_EQUAL(kChunks, observed.body.size());
  }
  LONGS_EQUAL(0, this->exceeded.size());
}

// Guards against framing bytes that are counted nowhere and hold up the loop.
TEST(EndlessResponse, FastChunkExtensionsHoldUpTheLoop) {
  constexpr std::size_t kServers = 2;
  // A pass of libcurl reads up to 100 times 16 KiB from each connection. The
  // buffers of the sockets are included.
  constexpr std::size_t kMostBytesPerTurn = kServers * 4 * 1024 * 1024;
  constexpr std::size_t kMostBytes = kServers * 8 * 1024 * 1024;
  std::array<RawListener, kServers> listeners;
  std::array<Observed, kServers> observed;
  std::vector<std::unique_ptr<HttpExchange>> exchanges;
  std::atomic<std::size_t> sent = 0;
  std::vector<std::thread> senders;
  for (std::size_t server = 0; server < kServers; ++server) {
    HttpClientRequest request;
    request.url = HttpFixture::Url(listeners[server].Port());
    exchanges.push_back(this->fixture.client->Start(
        std::move(request), observed[server].Handlers()));
    int accepted = -1;
    this->fixture.runner.RunUntil([&] {
      accepted = accepted < 0 ? listeners[server].Accept() : accepted;
      return accepted >= 0;
    });
    senders.emplace_back([accepted, &sent] {
      constexpr int kSendBuffer = 64 * 1024;
      ::setsockopt(accepted, SOL_SOCKET, SO_SNDBUF, &kSendBuffer,
                   sizeof(kSendBuffer));
      RawConnection connection(accepted);
      const std::string extension(64 * 1024, 'a');
      bool open = connection.Send(std::string(kChunked) + "2;x=");
      while (open) {
        open = connection.Send(extension);
        sent += extension.size();
      }
    });
  }
  const auto ended = [&] {
    return std::all_of(observed.begin(), observed.end(),
                       [](const Observed& each) { return each.Ended(); });
  };
  std::size_t before = sent;
  std::size_t most_in_turn = 0;
  std::function<void()> turn = [&] {
    most_in_turn = std::max(most_in_turn, sent - before);
    before = sent;
    if (!ended()) {
      this->fixture.runner.loop.Post(turn);
    }
  };
  this->fixture.runner.loop.Post(turn);
  this->fixture.runner.RunUntil(ended);
  exchanges.clear();
  for (std::thread& sender : senders) {
    sender.join();
  }
  LONGS_EQUAL(kServers, this->exceeded.size());
  CHECK_TRUE_TEXT(most_in_turn <= kMostBytesPerTurn,
                  std::to_string(most_in_turn).c_str());
  CHECK_TRUE_TEXT(sent <= kMostBytes, std::to_string(sent.load()).c_str());
}

}  // namespace carobbank
