// The log's client with a store whose responses have no valid status line.
// Guards against appends that are reported as done or refused without an
// answer.

#include "platform/store_log.h"

#include "Support/loop_runner.h"
#include "Support/raw_response_server.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(StoreLog) {
  LoopRunner runner;
  std::unique_ptr<HttpClient> client = HttpClient::Create(this->runner.loop);

  AppendOutcome Append(const std::string& status_line) {
    const std::string body = R"({"offset": 4, "end": 5})";
    RawResponseServer store(status_line +
                            "\r\nContent-Type: application/json\r\n"
                            "Content-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
    const std::unique_ptr<PartitionedLog> log = MakeStoreLog(
        *this->client, {"127.0.0.1:" + std::to_string(store.Port())});
    std::optional<AppendOutcome> outcome;
    log->Append({"jobs", 0}, {{"key", "value"}}, std::nullopt,
                [&outcome](const AppendOutcome& got) { outcome = got; });
    CHECK_TRUE(this->runner.RunUntil([&] {
      store.Serve();
      return outcome.has_value();
    }));
    LONGS_EQUAL(1, store.Requests());
    return *outcome;
  }
};

TEST(StoreLog, AnAppendWithoutAnAnswerIsDoneOrRefused) {
  const std::vector<const char*> status_lines = {
      "HTTP/1.1 000 None",  "HTTP/1.1 099 Below",
      "HTTP/1.1 42 Short",  "HTTP/1.1 600 Above",
      "HTTP/1.1 999 Above", "HTTP/1.1 200abc",
      "HTTP/1.1 409abc",    "HTTP/1.1 412abc",
      "HTTP/1.1 429abc",    "HTTP/1.1 503abc",
      "HTTP/1.1 507abc",    "HTTP/2 200 OK",
      "HTTP/2 503 Busy",    "HTTP/1.1 200 OK\r\nHTTP/1.1 503 Busy: x",
      "HTTP/1.1 2000 Long", "HTTP/1.1 101 Switching Protocols",
  };
  std::string wrong;
  for (const char* const status_line : status_lines) {
    const AppendOutcome outcome = this->Append(status_line);
    if (outcome.status != AppendStatus::kUnknown) {
      wrong += std::string(status_line) + " -> " +
               std::to_string(static_cast<int>(outcome.status)) + "\n";
    }
  }
  STRCMP_EQUAL("", wrong.c_str());
}

TEST(StoreLog, AnAppendWithAnAnswerIsUnknown) {
  CHECK_TRUE(this->Append("HTTP/1.1 200 OK").status == AppendStatus::kAppended);
  CHECK_TRUE(this->Append("HTTP/1.1 409 Conflict").status ==
             AppendStatus::kConflict);
  CHECK_TRUE(this->Append("HTTP/1.1 503 Busy").status ==
             AppendStatus::kRefused);
}

}  // namespace carobbank
