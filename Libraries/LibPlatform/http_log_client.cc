// HTTP adapter of LogClient.

#include <algorithm>
#include <utility>

#include "LibPlatform/log_client.h"
#include "LibPlatform/platform_call.h"
#include "LibPlatform/platform_parsers.h"

namespace carobbank {

namespace {

constexpr std::size_t kMaxStreamNameLength = 128;
// Retention may expire the first retained record again before the next read
// asks for it.
constexpr int kMaxOldestRetainedAttempts = 5;

bool IsStreamNameCharacter(char character) {
  constexpr std::string_view kAllowed =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
  return kAllowed.find(character) != std::string_view::npos;
}

bool IsStreamName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxStreamNameLength &&
         std::all_of(name.begin(), name.end(), IsStreamNameCharacter);
}

Error InvalidStreamName(std::string_view name) {
  return {ErrorKind::kInvalidArgument,
          "invalid stream name: " + std::string(name),
          "use 1 to 128 letters, digits, dots, underscores and hyphens"};
}

std::string RecordsTarget(std::string_view stream) {
  return "/streams/" + std::string(stream) + "/records";
}

// A read in progress. `from_oldest`: starts at the oldest retained record, and
// starts again when retention expires that record.
struct PendingRead {
  PlatformEndpoint endpoint;
  std::string stream;
  std::uint64_t from = 0;
  std::size_t max_records = 0;
  Milliseconds wait{0};
  bool from_oldest = false;
  int attempts_left = kMaxOldestRetainedAttempts;
  LogClient::ReadCallback callback;
};

void StartRead(PendingRead read);

// Repeats the read from the first retained offset that the response states.
void RetryFromFirstRetained(PendingRead read, const HttpResponse& response) {
  auto page = Capture([&] { return ParseLogPage(response.body); });
  if (!page.Ok()) {
    read.callback(std::move(page));
    return;
  }
  read.from = page.Value().first_retained;
  --read.attempts_left;
  StartRead(std::move(read));
}

Outcome<LogPage> ParseAndCheckPage(const PendingRead& read,
                                   const HttpResponse& response) {
  auto page = Capture([&] { return ParseLogPage(response.body); });
  if (!page.Ok() || page.Value().records.empty()) {
    return page;
  }
  if (page.Value().records.front().offset != read.from) {
    return Error{
        ErrorKind::kCorrupt,
        "the log returned records from an offset that was not requested",
        "read again; check the log service if this persists"};
  }
  return page;
}

void FinishRead(PendingRead read, const Outcome<HttpResponse>& outcome) {
  constexpr std::string_view kSubject = "reading the log";
  if (!outcome.Ok()) {
    read.callback(QueryErrorFromTransport(outcome.GetError(), kSubject));
    return;
  }
  const HttpResponse& response = outcome.Value();
  const bool expired = response.status == 410;
  if (expired && read.from_oldest && read.attempts_left > 0) {
    RetryFromFirstRetained(std::move(read), response);
    return;
  }
  if (response.status != 200) {
    read.callback(QueryErrorFromResponse(response, kSubject));
    return;
  }
  read.callback(ParseAndCheckPage(read, response));
}

void StartRead(PendingRead read) {
  const std::string target = RecordsTarget(read.stream) +
                             "?from=" + std::to_string(read.from) +
                             "&max=" + std::to_string(read.max_records) +
                             "&wait_ms=" + std::to_string(read.wait.count());
  HttpClientRequest request =
      BuildPlatformRequest(read.endpoint, "GET", target, "", read.wait);
  HttpClient* client = read.endpoint.client;
  client->Fetch(std::move(request),
                [read = std::move(read)](const Outcome<HttpResponse>& outcome) {
                  FinishRead(read, outcome);
                });
}

Outcome<std::uint64_t> AppendOffsetOrError(
    const Outcome<HttpResponse>& outcome) {
  if (!outcome.Ok()) {
    return outcome.GetError();
  }
  const HttpResponse& response = outcome.Value();
  if (response.status != 200) {
    return CommandErrorFromResponse(response, "appending to the log");
  }
  auto offset = Capture([&] { return ParseAppendResponse(response.body); });
  if (!offset.Ok()) {
    return Error{ErrorKind::kOutcomeUnknown, offset.GetError().message,
                 "read the stream back before appending again"};
  }
  return offset;
}

class HttpLogClient final : public LogClient {
 public:
  explicit HttpLogClient(PlatformEndpoint endpoint)
      : endpoint(std::move(endpoint)) {}

  void Append(std::string_view stream,
              std::string payload,
              AppendCallback callback) override {
    if (!IsStreamName(stream)) {
      callback(InvalidStreamName(stream));
      return;
    }
    Json::Value body;
    body["payload"] = std::move(payload);
    this->endpoint.client->Fetch(
        BuildPlatformRequest(this->endpoint, "POST", RecordsTarget(stream),
                             WriteJson(body)),
        [callback = std::move(callback)](const Outcome<HttpResponse>& outcome) {
          callback(AppendOffsetOrError(outcome));
        });
  }

  void Read(std::string_view stream,
            std::uint64_t from,
            std::size_t max_records,
            Milliseconds wait,
            ReadCallback callback) override {
    if (!IsStreamName(stream)) {
      callback(InvalidStreamName(stream));
      return;
    }
    PendingRead read;
    read.endpoint = this->endpoint;
    read.stream = stream;
    read.from_oldest = from == kOldestRetained;
    read.from = read.from_oldest ? 0 : from;
    read.max_records = max_records;
    read.wait = wait;
    read.callback = std::move(callback);
    StartRead(std::move(read));
  }

 private:
  PlatformEndpoint endpoint;
};

}  // namespace

std::unique_ptr<LogClient> CreateHttpLogClient(HttpClient& client,
                                               std::string base_url,
                                               PlatformClientOptions options) {
  return std::make_unique<HttpLogClient>(
      PlatformEndpoint{&client, std::move(base_url), options});
}

}  // namespace carobbank
