// Tests which error the adapters return for each ending of an HTTP exchange,
// in one table per operation, against a server with scripted responses.

#include <string>

#include "LibPlatform/platform.h"
#include "Support/loop_thread.h"

#include "Support/check_error.h"

namespace carobbank {

namespace {

// A server that sends the same scripted response to every request.
class ScriptedServer {
 public:
  ScriptedServer() {
    this->thread.Run([this] {
      auto created = Capture([this] {
        return HttpServer::Create(
            this->thread.Loop(), HttpServerOptions(),
            [this](const HttpRequest&,
                   const std::shared_ptr<HttpResponder>& responder) {
              this->Respond(*responder);
            });
      });
      this->server = std::move(created.Value());
      this->client = HttpClient::Create(this->thread.Loop());
    });
  }
  ~ScriptedServer() {
    this->thread.Run([this] {
      this->client.reset();
      this->server.reset();
    });
  }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(this->server->Port());
  }
  HttpClient& Client() { return *this->client; }
  LoopThread& Thread() { return this->thread; }

  void Script(int status, std::string body) {
    this->thread.Run([&] {
      this->status = status;
      this->body = std::move(body);
    });
  }

 private:
  // Status 0 aborts the connection.
  void Respond(HttpResponder& responder) const {
    if (this->status == 0) {
      responder.Abort();
      return;
    }
    HttpResponse response;
    response.status = this->status;
    response.body = this->body;
    responder.Send(std::move(response));
  }

  LoopThread thread;
  int status = 200;
  std::string body;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;
};

struct Ending {
  int status;
  const char* body;
  ErrorKind kind;
};

constexpr Ending kAppendEndings[] = {
    {0, "", ErrorKind::kOutcomeUnknown},
    {200, "{}", ErrorKind::kOutcomeUnknown},
    {200, "not json", ErrorKind::kOutcomeUnknown},
    {201, R"({"offset": 1})", ErrorKind::kOutcomeUnknown},
    {302, "", ErrorKind::kOutcomeUnknown},
    {400, "", ErrorKind::kInvalidArgument},
    {408, "", ErrorKind::kOutcomeUnknown},
    {413, "", ErrorKind::kInvalidArgument},
    {429, "", ErrorKind::kOverloaded},
    {500, "", ErrorKind::kOutcomeUnknown},
    {502, "", ErrorKind::kOutcomeUnknown},
    {503, "", ErrorKind::kUnavailable},
    {504, "", ErrorKind::kOutcomeUnknown},
};

constexpr Ending kReadEndings[] = {
    {0, "", ErrorKind::kUnavailable},
    {200, "{}", ErrorKind::kCorrupt},
    // Another offset than the requested one.
    {200,
     R"({"first_retained": 0, "end": 9, "records": [
         {"offset": 8, "time_ms": 1, "payload": ""}]})",
     ErrorKind::kCorrupt},
    {404, "", ErrorKind::kNotFound},
    {410, "{}", ErrorKind::kExpired},
    {429, "", ErrorKind::kOverloaded},
    {500, "", ErrorKind::kUnavailable},
    {503, "", ErrorKind::kUnavailable},
};

constexpr Ending kOrderEndings[] = {
    {0, "", ErrorKind::kOutcomeUnknown},
    {200, "{}", ErrorKind::kOutcomeUnknown},
    {400, "", ErrorKind::kInvalidArgument},
    {409, R"({"code": "stale_fencing"})", ErrorKind::kFenced},
    {409, R"({"code": "order_in_progress"})", ErrorKind::kConflict},
    {409, "[]", ErrorKind::kInvalidArgument},
    {500, "", ErrorKind::kOutcomeUnknown},
    {503, "", ErrorKind::kUnavailable},
};

}  // namespace

TEST_GROUP(AdapterEndings){};

TEST(AdapterEndings, OfAppends) {
  ScriptedServer server;
  const auto log = CreateHttpLogClient(server.Client(), server.Url());
  for (const Ending& ending : kAppendEndings) {
    server.Script(ending.status, ending.body);
    CheckError(ending.kind,
               server.Thread().Await<Outcome<std::uint64_t>>(
                   [&](auto done) { log->Append("s", "payload", done); }));
  }
}

TEST(AdapterEndings, OfReads) {
  ScriptedServer server;
  const auto log = CreateHttpLogClient(server.Client(), server.Url());
  for (const Ending& ending : kReadEndings) {
    server.Script(ending.status, ending.body);
    CheckError(ending.kind,
               server.Thread().Await<Outcome<LogPage>>([&](auto done) {
                 log->Read("s", 3, 10, Milliseconds(0), done);
               }));
  }
}

// A log that responds with 410 to every read must not cause endless retries.
TEST(AdapterEndings, OfReadsThatNeverCatchUpWithRetention) {
  ScriptedServer server;
  const auto log = CreateHttpLogClient(server.Client(), server.Url());
  server.Script(410, R"({"first_retained": 3, "end": 6, "records": []})");
  CheckError(ErrorKind::kExpired,
             server.Thread().Await<Outcome<LogPage>>([&](auto done) {
               log->Read("s", kOldestRetained, 10, Milliseconds(0), done);
             }));
}

TEST(AdapterEndings, OfOrders) {
  ScriptedServer server;
  const auto engine = CreateHttpEngineControl(server.Client(), server.Url());
  for (const Ending& ending : kOrderEndings) {
    server.Script(ending.status, ending.body);
    CheckError(ending.kind,
               server.Thread().Await<Outcome<bool>>([&](auto done) {
                 engine->LoadVersion(LoadVersionOrder(), done);
               }));
  }
}

TEST(AdapterEndings, StreamNamesAreCheckedBeforeSending) {
  ScriptedServer server;
  server.Script(200, R"({"offset": 1})");
  const auto log = CreateHttpLogClient(server.Client(), server.Url());
  for (const std::string& name :
       {std::string(""), std::string("a/b"), std::string(129, 'a'),
        std::string("a?from=0")}) {
    CheckError(ErrorKind::kInvalidArgument,
               server.Thread().Await<Outcome<std::uint64_t>>(
                   [&](auto done) { log->Append(name, "payload", done); }));
  }
}

}  // namespace carobbank
