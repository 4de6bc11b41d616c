// The server with peers that are slow, send too much or malformed data, or
// disconnect. Guards against connections held forever, unlimited buffering, and
// responses with the wrong framing or order.

#include "LibHTTP/http.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <limits>
#include <vector>

#include "LibHTTP/descriptor_limit.h"

#include "http_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::string_view kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

std::size_t AllocatedBytes() {
  const struct mallinfo2 allocated = ::mallinfo2();
  return allocated.uordblks + allocated.hblkhd;
}

}  // namespace

TEST_GROUP(HttpServer) {
  HttpFixture fixture;
  std::vector<std::string> targets;
  std::vector<std::shared_ptr<HttpResponder>> responders;

  // Records each request; the test sends the response.
  HttpHandler Recorder() {
    return [this](HttpRequest request, auto responder) {
      this->targets.push_back(request.target);
      this->responders.push_back(std::move(responder));
    };
  }
  HttpHandler RespondOk() {
    return [this](HttpRequest request, auto responder) {
      this->targets.push_back(request.target);
      responder->Send({200, {}, "ok"});
    };
  }
  bool Arrived(std::size_t count) {
    return this->fixture.runner.RunUntil(
        [&] { return this->targets.size() >= count; });
  }
  bool EndsConnection(RawConnection & connection) {
    return this->fixture.runner.RunUntil([&] { return connection.Ended(); });
  }
  bool Receives(RawConnection & connection, std::string_view text) {
    return this->fixture.runner.RunUntil(
        [&] { return connection.Contains(text); });
  }
};

TEST(HttpServer, UnparsableRequestsAreRefusedWithoutAffectingOtherConnections) {
  HttpServerOptions options;
  options.max_header_bytes = 1'000;
  options.max_body_bytes = 100;
  CHECK_TRUE(this->fixture.Serve(options, this->RespondOk()));
  struct Case {
    std::string request;
    const char* status;
    const char* code;
  };
  const std::string many(300, 'x');
  std::string fields;
  for (int i = 0; i < 300; ++i) {
    fields += "f: \r\n";
  }
  const std::vector<Case> cases = {
      {"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", "413",
       "body_too_large"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n12c\r\n" + many,
       "413", "body_too_large"},
      {"GET / HTTP/1.1\r\nx: " + std::string(1'500, 'x') + "\r\n\r\n", "431",
       "header_too_large"},
      {"GET / HTTP/1.1\r\na: " + many + "\r\nb: " + many + "\r\nc: " + many +
           "\r\nd: " + many + "\r\n\r\n",
       "431", "header_too_large"},
      {"GET / HTTP/1.1\r\n" + fields + "\r\n", "431", "header_too_large"},
      {"GET /" + std::string(1'500, 'x') + " HTTP/1.1\r\n\r\n", "414",
       "target_too_long"},
      {"\x16\x03\x01 not HTTP\r\n\r\n", "400", "malformed_request"},
      {"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       "400", "malformed_request"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400",
       "malformed_request"},
  };
  RawConnection bystander = this->fixture.Connect();
  for (const Case& each : cases) {
    RawConnection connection = this->fixture.Connect();
    CHECK_TRUE(connection.Send(each.request));
    CHECK_TRUE_TEXT(this->EndsConnection(connection), each.code);
    const std::string& received = connection.Received();
    CHECK_EQUAL_TEXT(0U, received.find(std::string("HTTP/1.1 ") + each.status),
                     received.c_str());
    const auto problem =
        Problem::FromText(0, received.substr(received.find("\r\n\r\n") + 4));
    CHECK_TRUE_TEXT(problem && problem->code == each.code, received.c_str());
    CHECK_TRUE(problem->execution == Execution::kNotRun);
  }
  CHECK_TRUE(this->targets.empty());
  CHECK_TRUE(bystander.Send(kGet));
  CHECK_TRUE(this->Receives(bystander, "ok"));
}

TEST(HttpServer, SlowRequestsEndByTheReadTimeout) {
  HttpServerOptions options;
  options.read_timeout = Milliseconds(60);
  CHECK_TRUE(this->fixture.Serve(options, this->RespondOk()));
  RawConnection silent = this->fixture.Connect();
  RawConnection incomplete = this->fixture.Connect();
  RawConnection trickling = this->fixture.Connect();
  CHECK_TRUE(incomplete.Send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"));
  CHECK_TRUE(trickling.Send("GET / HTTP/1.1\r\nx: "));
  CHECK_TRUE(this->fixture.runner.RunUntil([&] {
    trickling.Send("y");
    return trickling.Ended() && incomplete.Ended() && silent.Ended();
  }));
  STRCMP_EQUAL("", silent.Received().c_str());
  CHECK_TRUE(incomplete.Contains("HTTP/1.1 408 Request Timeout"));
  CHECK_TRUE(incomplete.Contains("request_too_slow"));
  CHECK_TRUE(this->targets.empty());
}

TEST(HttpServer, IdleConnectionsAreClosedButCallersAwaitingAResponseAreNot) {
  HttpServerOptions options;
  options.read_timeout = Milliseconds(60);
  options.keep_alive_timeout = Milliseconds(60);
  options.write_timeout = Milliseconds(60);
  CHECK_TRUE(this->fixture.Serve(options, this->Recorder()));
  RawConnection idle = this->fixture.Connect();
  RawConnection waiting = this->fixture.Connect();
  CHECK_TRUE(idle.Send(kGet));
  CHECK_TRUE(this->Arrived(1));
  this->responders[0]->Send({200, {}, "first"});
  CHECK_TRUE(waiting.Send(kGet));
  CHECK_TRUE(this->EndsConnection(idle));
  CHECK_TRUE(idle.Contains("first"));
  CHECK_FALSE(waiting.Ended());
  this->responders[1]->Send({200, {}, "late"});
  CHECK_TRUE(this->Receives(waiting, "late"));
}

TEST(HttpServer, SlowReaderAppliesBackpressureToTheWriter) {
  constexpr std::size_t kChunkBytes = 64 * 1024;
  constexpr std::size_t kChunks = 1'000;
  CHECK_TRUE(this->fixture.Serve({}, this->Recorder()));
  RawConnection reader = this->fixture.Connect();
  CHECK_TRUE(reader.Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"));
  CHECK_TRUE(this->Arrived(1));
  std::size_t written = 0;
  std::function<void(bool)> next = [&](bool ok) {
    written += ok ? 1 : 0;
    if (written == kChunks) {
      this->responders[0]->Finish();
    } else if (ok) {
      this->responders[0]->Write(std::string(kChunkBytes, 'x'), next);
    }
  };
  this->responders[0]->Start(200, {});
  this->responders[0]->Write(std::string(kChunkBytes, 'x'), next);
  // The kernel's socket buffers hold far less than the complete response.
  this->fixture.runner.RunFor(Milliseconds(200));
  CHECK_TRUE(written < kChunks / 2);
  CHECK_TRUE(this->EndsConnection(reader));
  CHECK_TRUE(reader.Received().ends_with("\r\n0\r\n\r\n"));
  CHECK_EQUAL(kChunks, written);
  CHECK_TRUE(reader.Received().size() > kChunks * kChunkBytes);
}

TEST(HttpServer, PeerThatReadsNothingIsClosedByTheWriteTimeout) {
  HttpServerOptions options;
  options.write_timeout = Milliseconds(60);
  CHECK_TRUE(this->fixture.Serve(options, this->Recorder()));
  RawConnection reader = this->fixture.Connect();
  CHECK_TRUE(reader.Send(kGet));
  CHECK_TRUE(this->Arrived(1));
  bool closed = false;
  int refused_writes = 0;
  this->responders[0]->OnClosed([&] { closed = true; });
  this->responders[0]->Start(200, {});
  for (int i = 0; i < 1'000; ++i) {
    this->responders[0]->Write(std::string(64 * 1024, 'x'),
                               [&](bool ok) { refused_writes += ok ? 0 : 1; });
  }
  CHECK_TRUE(this->fixture.runner.RunUntil([&] { return closed; }));
  CHECK_TRUE(refused_writes > 0);
  CHECK_EQUAL(0U, this->fixture.server->RequestsInProgress());
}

TEST(HttpServer, HalfClosedCallerGetsTheCompleteResponse) {
  CHECK_TRUE(this->fixture.Serve({}, this->Recorder()));
  RawConnection caller = this->fixture.Connect();
  CHECK_TRUE(caller.Send(kGet));
  caller.CloseSending();
  CHECK_TRUE(this->Arrived(1));
  bool closed = false;
  this->responders[0]->OnClosed([&] { closed = true; });
  this->responders[0]->Start(200, {});
  this->responders[0]->Write("first", [&](bool ok) {
    CHECK_TRUE(ok);
    this->responders[0]->Write(
        "second", [&](bool /*ok*/) { this->responders[0]->Finish(); });
  });
  CHECK_TRUE(this->EndsConnection(caller));
  CHECK_TRUE(caller.Contains("first"));
  CHECK_TRUE(caller.Contains("second\r\n0\r\n\r\n"));
  CHECK_FALSE(closed);
}

TEST(HttpServer, DisconnectedCallersAreReported) {
  CHECK_TRUE(this->fixture.Serve({}, this->Recorder()));
  // A reset is detected without writing; a closed connection is detected by a
  // write.
  for (const bool reset : {true, false}) {
    this->targets.clear();
    this->responders.clear();
    RawConnection caller = this->fixture.Connect();
    CHECK_TRUE(caller.Send(kGet));
    CHECK_TRUE(this->Arrived(1));
    int closed = 0;
    std::optional<bool> last_write;
    const auto responder = this->responders[0];
    responder->OnClosed([&] { ++closed; });
    if (reset) {
      caller.Reset();
    } else {
      responder->Start(200, {});
      caller.Close();
    }
    CHECK_TRUE(this->fixture.runner.RunUntil([&] {
      if (!reset) {
        responder->Write("x", [&](bool ok) { last_write = ok; });
      }
      return closed > 0;
    }));
    responder->Write("x", [&](bool ok) { last_write = ok; });
    CHECK_TRUE(this->fixture.runner.RunUntil(
        [&] { return last_write.has_value() && !*last_write; }));
    responder->Send({200, {}, "too late"});
    CHECK_EQUAL(1, closed);
    CHECK_EQUAL(0U, this->fixture.server->RequestsInProgress());
  }
}

TEST(HttpServer, PipelinedRequestsGetTheirResponsesInOrder) {
  CHECK_TRUE(this->fixture.Serve({}, this->Recorder()));
  RawConnection caller = this->fixture.Connect();
  const std::string three =
      "GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
      "GET /3 HTTP/1.1\r\n\r\n";
  // Split in the middle of the second request.
  CHECK_TRUE(caller.Send(three.substr(0, 40)));
  CHECK_TRUE(this->Arrived(1));
  CHECK_TRUE(caller.Send(three.substr(40)));
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK_TRUE(this->Arrived(i + 1));
    CHECK_EQUAL(i + 1, this->targets.size());
    this->responders[i]->Send({200, {}, "answer" + this->targets[i]});
  }
  CHECK_TRUE(this->Receives(caller, "answer/3"));
  const std::string& received = caller.Received();
  CHECK_TRUE(received.find("answer/1") < received.find("answer/2"));
  CHECK_TRUE(received.find("answer/2") < received.find("answer/3"));
}

TEST(HttpServer, ConnectionsBeyondTheLimitWait) {
  HttpServerOptions options;
  options.max_connections = 2;
  CHECK_TRUE(this->fixture.Serve(options, this->RespondOk()));
  RawConnection first = this->fixture.Connect();
  RawConnection second = this->fixture.Connect();
  CHECK_TRUE(first.Send(kGet));
  CHECK_TRUE(second.Send(kGet));
  CHECK_TRUE(this->Receives(first, "ok"));
  CHECK_TRUE(this->Receives(second, "ok"));
  RawConnection third = this->fixture.Connect();
  CHECK_TRUE(third.Send(kGet));
  this->fixture.runner.RunFor(Milliseconds(30));
  CHECK_EQUAL(2U, this->targets.size());
  first.Close();
  CHECK_TRUE(this->Receives(third, "ok"));
}

TEST(HttpServer, ConnectionLimitFollowsTheLimitOnOpenFiles) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  CHECK_EQUAL(8U, MaxConnectionsForDescriptorLimit(8));
  CHECK_EQUAL(1U, MaxConnectionsForDescriptorLimit(0));
  const std::size_t maximum =
      MaxConnectionsForDescriptorLimit(std::numeric_limits<std::size_t>::max());
  CHECK_TRUE(maximum * 2 < limit.rlim_max);
}

TEST(HttpServer, StopAcceptingFinishesRequestsInProgress) {
  CHECK_TRUE(this->fixture.Serve({}, this->Recorder()));
  RawConnection caller = this->fixture.Connect();
  CHECK_TRUE(caller.Send(kGet));
  CHECK_TRUE(this->Arrived(1));
  this->fixture.server->StopAccepting();
  RawConnection late = this->fixture.Connect();
  CHECK_FALSE(late.Send(kGet));
  CHECK_EQUAL(1U, this->fixture.server->RequestsInProgress());
  this->responders[0]->Send({200, {}, "whole"});
  CHECK_TRUE(this->EndsConnection(caller));
  CHECK_TRUE(caller.Contains("Connection: close"));
  CHECK_TRUE(caller.Contains("whole"));
  CHECK_EQUAL(0U, this->fixture.server->RequestsInProgress());
}

TEST(HttpServer, Http10ClientsGetOnlyUnstreamedResponses) {
  CHECK_TRUE(this->fixture.Serve({}, [](HttpRequest request, auto responder) {
    if (request.target == "/whole") {
      responder->Send({200, {}, "ok"});
      return;
    }
    responder->Start(200, {});
    responder->Write("part", [](bool) {});
    responder->Finish();
  }));
  RawConnection unstreamed = this->fixture.Connect();
  RawConnection streamed = this->fixture.Connect();
  CHECK_TRUE(unstreamed.Send("GET /whole HTTP/1.0\r\n\r\n"));
  CHECK_TRUE(streamed.Send("GET /streamed HTTP/1.0\r\n\r\n"));
  CHECK_TRUE(this->EndsConnection(unstreamed));
  CHECK_TRUE(this->EndsConnection(streamed));
  CHECK_TRUE(unstreamed.Contains("200 OK"));
  CHECK_TRUE(streamed.Contains("HTTP/1.1 505"));
  CHECK_FALSE(streamed.Contains("part"));
}

TEST(HttpServer, HandlersCannotSetFramingOrInjectHeaders) {
  CHECK_TRUE(
      this->fixture.Serve({}, [](HttpRequest /*request*/, auto responder) {
        responder->Send({200,
                         {{"Content-Length", "9"},
                          {"Transfer-Encoding", "chunked"},
                          {"X-Text", "a\r\nX-Forged: b"}},
                         "ok"});
      }));
  RawConnection caller = this->fixture.Connect();
  CHECK_TRUE(caller.Send(kGet));
  CHECK_TRUE(this->Receives(caller, "\r\n\r\nok"));
  CHECK_TRUE(caller.Contains("Content-Length: 2\r\n"));
  CHECK_FALSE(caller.Contains("Content-Length: 9"));
  CHECK_FALSE(caller.Contains("chunked"));
  CHECK_FALSE(caller.Contains("\r\nX-Forged"));
}

TEST(HttpServer, ServerMayBeDestroyedBeforeItsResponses) {
  CHECK_TRUE(this->fixture.Serve({}, this->Recorder()));
  RawConnection waiting = this->fixture.Connect();
  RawConnection streaming = this->fixture.Connect();
  CHECK_TRUE(waiting.Send(kGet));
  CHECK_TRUE(this->Arrived(1));
  CHECK_TRUE(streaming.Send(kGet));
  CHECK_TRUE(this->Arrived(2));
  int closed = 0;
  this->responders[0]->OnClosed([&] { ++closed; });
  this->responders[1]->OnClosed([&] { ++closed; });
  this->responders[1]->Start(200, {});
  this->fixture.server.reset();
  CHECK_TRUE(this->EndsConnection(waiting));
  CHECK_TRUE(this->EndsConnection(streaming));
  CHECK_FALSE(streaming.Contains("0\r\n\r\n"));
  this->responders[0]->Send({200, {}, "too late"});
  this->responders[1]->Finish();
  CHECK_TRUE(this->fixture.runner.RunUntil([&] { return closed == 2; }));
}

TEST(HttpServer, PortsInUseAndInvalidAddressesAreErrors) {
  const RawListener listener;
  struct Case {
    const char* address;
    std::uint16_t port;
    ErrorKind kind;
  };
  const std::vector<Case> cases = {
      {"127.0.0.1", listener.Port(), ErrorKind::kUnavailable},
      {"localhost", 0, ErrorKind::kInvalidArgument},
      {"", 0, ErrorKind::kInvalidArgument},
  };
  for (const Case& each : cases) {
    HttpServerOptions options;
    options.address = each.address;
    options.port = each.port;
    const auto created = Capture([&] {
      return HttpServer::Create(this->fixture.runner.loop, options,
                                this->RespondOk());
    });
    CHECK_FALSE(created.Ok());
    CHECK_TRUE(created.GetError().kind == each.kind);
  }
}

// Guards against requests whose chunks take more memory than their body.
TEST(HttpServer, EachChunkOfARequestTakesMemory) {
  constexpr std::size_t kChunks = 4 * 1024 * 1024;
  constexpr std::size_t kMostBytes = 32 * 1024 * 1024;
  CHECK_TRUE(this->fixture.Serve(HttpServerOptions(), this->RespondOk()));
  RawConnection connection = this->fixture.Connect();
  CHECK_TRUE(connection.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"));
  constexpr std::string_view kChunk = "1\r\na\r\n";
  std::string piece;
  while (piece.size() < 10'000 * kChunk.size()) {
    piece += kChunk;
  }
  const std::size_t before = AllocatedBytes();
  std::size_t most = before;
  std::size_t sent = 0;
  CHECK_TRUE(this->fixture.runner.RunUntil([&] {
    sent += connection.SendSome(
        std::string_view(piece).substr(sent % kChunk.size()));
    most = std::max(most, AllocatedBytes());
    return sent >= kChunks * kChunk.size() || connection.Ended();
  }));
  CHECK_FALSE(connection.Ended());
  CHECK_TRUE_TEXT(most - before <= kMostBytes,
                  std::to_string(most - before).c_str());
  std::string rest(kChunk.substr(sent % kChunk.size()));
  rest += "0\r\n\r\n";
  CHECK_TRUE(connection.Send(rest));
  CHECK_TRUE(this->Receives(connection, "ok"));
}

}  // namespace carobbank
