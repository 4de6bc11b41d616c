// Guards against callers that do not read their responses: together they must
// not hold memory without bound, and other callers must be served.

#include <algorithm>

#include "http_fixture.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

namespace {

constexpr std::string_view kGet =
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
constexpr std::size_t kReaders = 200;
constexpr std::size_t kBodyBytes = 1024 * 1024;
constexpr std::size_t kMaxUnsentBytes = 8 * kBodyBytes;
constexpr int kSendBuffer = 64 * 1024;
// Of the readers' sockets, so that the kernel takes little of a response.
constexpr int kReceiveBuffer = 4 * 1024;

}  // namespace

TEST_GROUP(SlowReaders) {
  HttpFixture fixture;
  std::size_t handled = 0;
  std::size_t aborted = 0;
  std::size_t most_in_progress = 0;

  bool Serve(std::size_t max_unsent_bytes) {
    HttpServerOptions options;
    options.max_unsent_bytes = max_unsent_bytes;
    options.send_buffer_bytes = kSendBuffer;
    options.on_unsent_limit = [this] { ++this->aborted; };
    return this->fixture.Serve(
        options, [this](const HttpRequest& /*request*/,
                        const std::shared_ptr<HttpResponder>& responder) {
          ++this->handled;
          responder->Send({200, {}, std::string(kBodyBytes, 'x')});
          this->most_in_progress =
              std::max(this->most_in_progress,
                       this->fixture.server->RequestsInProgress());
        });
  }
  std::vector<RawConnection> ConnectReaders(std::size_t count) {
    std::vector<RawConnection> readers;
    for (std::size_t index = 0; index < count; ++index) {
      readers.push_back(RawConnection::ConnectTo(this->fixture.server->Port(),
                                                 kReceiveBuffer));
      CHECK_TRUE(readers.back().Send(kGet));
      CHECK_TRUE(this->fixture.runner.RunUntil(
          [&] { return this->handled == index + 1; }));
    }
    return readers;
  }
};

TEST(SlowReaders, ManyHoldABoundedNumberOfResponses) {
  CHECK_TRUE(this->Serve(kMaxUnsentBytes));
  const std::vector<RawConnection> readers = this->ConnectReaders(kReaders);
  // One more for a response that is being added.
  CHECK_TRUE(this->most_in_progress <= kMaxUnsentBytes / kBodyBytes + 2);
  CHECK_TRUE(this->aborted >= kReaders - kMaxUnsentBytes / kBodyBytes - 2);
  RawConnection caller = this->fixture.Connect();
  CHECK_TRUE(caller.Send(kGet));
  CHECK_TRUE(this->fixture.runner.RunUntil([&] { return caller.Ended(); }));
  CHECK_TRUE(caller.Received().starts_with("HTTP/1.1 200"));
  CHECK_TRUE(caller.Received().size() > kBodyBytes);
}

TEST(SlowReaders, WithoutALimitNoResponseIsGivenUp) {
  CHECK_TRUE(this->Serve(0));
  constexpr std::size_t kFew = 20;
  const std::vector<RawConnection> readers = this->ConnectReaders(kFew);
  LONGS_EQUAL(kFew, this->fixture.server->RequestsInProgress());
  LONGS_EQUAL(0, this->aborted);
}

}  // namespace carobbank
