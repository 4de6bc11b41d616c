// The program's OperatorEnvironment: one event loop, which runs while a call is
// awaited.

#include <iostream>
#include <thread>

#include "LibOperator/environment.h"

namespace carobbank {

namespace {

constexpr Milliseconds kFetchTimeout{5'000};
// A page of the timeline.
constexpr std::size_t kMaxResponseBytes = 64 * 1024 * 1024;
constexpr int kStatusOk = 200;

HttpClientRequest GetRequest(std::string url, std::string_view token) {
  HttpClientRequest request;
  request.url = std::move(url);
  request.timeout = kFetchTimeout;
  request.max_body_bytes = kMaxResponseBytes;
  if (!token.empty()) {
    SetHeader(request.headers, "Authorization", "Bearer " + std::string(token));
  }
  return request;
}

Outcome<Json::Value> ParseJsonResponse(std::string_view url,
                                       const Outcome<HttpResponse>& outcome) {
  if (!outcome.Ok()) {
    return outcome.GetError();
  }
  const HttpResponse& response = outcome.Value();
  if (response.status != kStatusOk) {
    return Error{ErrorKind::kUnavailable,
                 std::string(url) + " responded with HTTP status " +
                     std::to_string(response.status),
                 "check the URL, and the token file if operators have a token"};
  }
  return Capture([&] { return ParseJson(response.body); });
}

class SystemEnvironment final : public OperatorEnvironment {
 public:
  SystemEnvironment() : random(SeedFromSystem()) {
    this->client = HttpClient::Create(this->loop);
  }

  const Clock& GetClock() const override { return this->clock; }
  Random& GetRandom() override { return this->random; }
  std::ostream& Out() override { return std::cout; }
  std::ostream& Progress() override { return std::cerr; }

  LogClient& LogClientFor(std::string_view base_url) override {
    if (!this->log || this->log_url != base_url) {
      this->log_url = base_url;
      this->log = CreateHttpLogClient(*this->client, this->log_url);
    }
    return *this->log;
  }

  void Fetch(std::string url,
             std::string_view token,
             JsonCallback callback) override {
    HttpClientRequest request = GetRequest(url, token);
    this->client->Fetch(std::move(request),
                        [url = std::move(url), callback = std::move(callback)](
                            const Outcome<HttpResponse>& outcome) {
                          callback(ParseJsonResponse(url, outcome));
                        });
  }

  void RunUntilWoken() override { this->loop.Run(); }
  void Wake() override { this->loop.Stop(); }
  void Wait(Milliseconds duration) override {
    std::this_thread::sleep_for(duration);
  }

 private:
  SystemClock clock;
  Random random;
  EventLoop loop;
  std::unique_ptr<HttpClient> client;
  std::string log_url;
  std::unique_ptr<LogClient> log;
};

}  // namespace

std::unique_ptr<OperatorEnvironment> CreateSystemEnvironment() {
  return std::make_unique<SystemEnvironment>();
}

}  // namespace carobbank
