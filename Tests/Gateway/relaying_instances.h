// Gateways' parts that answer calls about batch jobs, connected with each other
// by their addresses, on one fake log.

#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Services/Gateway/job_call_handler.h"
#include "Services/Gateway/job_relay.h"
#include "gateway_fixture.h"

namespace carobbank {

inline constexpr std::string_view kTopic = "jobs";
inline constexpr std::int64_t kPartitions = 2;

// Paths of requests about a job: "/job/ID" reads its results, "/body/ID" the
// body of its first sample, and "/end/ID" ends it.
inline constexpr std::string_view kJobPath = "/job/";
inline constexpr std::string_view kBodyPath = "/body/";
inline constexpr std::string_view kEndPath = "/end/";

class RelayDialect final : public FakeDialect {
 public:
  std::optional<JobCall> RecognizeJobCall(
      const HttpRequest& request) const override {
    static constexpr std::pair<std::string_view, JobCallKind> kKinds[] = {
        {kJobPath, JobCallKind::kReadResults},
        {kBodyPath, JobCallKind::kReadBody},
        {kEndPath, JobCallKind::kEnd}};
    for (const auto& [path, kind] : kKinds) {
      if (request.target.starts_with(path)) {
        JobCall call;
        call.kind = kind;
        call.job_id = request.target.substr(path.size());
        call.sample_id = call.job_id + "-0";
        return call;
      }
    }
    return std::nullopt;
  }
  // The body is "ID MODEL".
  Outcome<BatchJob> DecodeSubmission(
      const HttpRequest& request) const override {
    const std::size_t space = request.body.find(' ');
    if (space == 0) {
      return Error{ErrorKind::kInvalidArgument, "no id", "send one"};
    }
    BatchJob job = MakeJob(request.body.substr(0, space), 2);
    job.model = request.body.substr(space + 1);
    return job;
  }
};

struct RelayingInstance;

// Connects instances by their addresses.
class ClusterClient final : public HttpClient {
 public:
  explicit ClusterClient(EventLoop& loop) : loop(loop) {}

  std::map<std::string, RelayingInstance*> listening;
  // Requests to this address are processed, but their responses are lost.
  std::string unanswered;
  // All requests, oldest first.
  std::vector<HttpClientRequest> sent;

  std::unique_ptr<HttpExchange> Start(HttpClientRequest request,
                                      HttpClientHandlers handlers) override;

 private:
  class Exchange final : public HttpExchange {
   public:
    void Pause() override {}
    void Resume() override {}
  };
  class Responder final : public HttpResponder {
   public:
    Responder(EventLoop& loop, HttpClientHandlers handlers)
        : loop(loop), handlers(std::move(handlers)) {}
    void Send(HttpResponse response) override {
      this->loop.Post([handlers = this->handlers, response] {
        handlers.on_headers(response.status, response.headers);
        handlers.on_body(response.body);
        handlers.on_done();
      });
    }
    void Start(int /*status*/, HttpHeaders /*headers*/) override {}
    void Write(std::string /*chunk*/,
               std::function<void(bool)> /*written*/) override {}
    void Finish() override {}
    void Abort() override {}
    void OnClosed(std::function<void()> /*closed*/) override {}

   private:
    EventLoop& loop;
    HttpClientHandlers handlers;
  };

  EventLoop& loop;
};

// The parts of a gateway that process requests about jobs.
struct RelayingInstance {
  RelayingInstance(GatewayFixture& fixture,
                   HttpClient& client,
                   std::string address)
      : settings(fixture.settings),
        environment{
            this->settings,   this->dialect,       fixture.clock,
            fixture.random,   fixture.runner.loop, client,
            fixture.log,      fixture.metrics,     fixture.fleet,
            fixture.loads,    fixture.quarantine,  fixture.retries,
            fixture.limits,   fixture.permits,     fixture.configuration,
            fixture.admission},
        partitions(this->environment,
                   std::string(kTopic),
                   [this](std::int64_t number) {
                     this->calls.OnPartitionChanged(number);
                   }),
        owners(this->environment, "group", std::string(kTopic)),
        calls(this->environment),
        relay(this->environment,
              this->partitions,
              this->owners,
              [this](JobPartition& partition,
                     JobRequest decoded,
                     std::shared_ptr<HttpResponder> responder) {
                this->Respond(partition, std::move(decoded),
                              std::move(responder));
              }) {
    this->settings.job_partitions = kPartitions;
    this->settings.peer_listen = std::move(address);
  }

  void Respond(JobPartition& partition,
               JobRequest decoded,
               std::shared_ptr<HttpResponder> responder) {
    ++this->answered;
    if (const auto* const call = std::get_if<JobCall>(&decoded)) {
      this->calls.Handle(*call, partition, std::move(responder));
      return;
    }
    HostRoute route;
    route.abandon_after = Milliseconds(60'000);
    this->calls.Submit(route, std::move(std::get<BatchJob>(decoded)), partition,
                       std::move(responder));
  }

  RelayDialect dialect;
  GatewaySettings settings;
  GatewayEnvironment environment;
  JobPartitions partitions;
  OwnerDirectory owners;
  JobCallHandler calls;
  JobRelay relay;
  std::size_t answered = 0;
};

inline std::unique_ptr<HttpExchange> ClusterClient::Start(
    HttpClientRequest request,
    HttpClientHandlers handlers) {
  this->sent.push_back(request);
  const std::string rest = request.url.substr(sizeof("http://") - 1);
  const std::string address = rest.substr(0, rest.find('/'));
  const auto found = this->listening.find(address);
  if (found == this->listening.end()) {
    this->loop.Post([handlers] {
      handlers.on_failure(
          {SendState::kNotSent, {ErrorKind::kUnavailable, "refused", "retry"}});
    });
    return std::make_unique<Exchange>();
  }
  HttpRequest received;
  received.method = request.method;
  received.target = rest.substr(rest.find('/'));
  received.headers = request.headers;
  received.body = request.body;
  if (address == this->unanswered) {
    this->loop.Post([handlers] {
      handlers.on_failure({SendState::kMayHaveBeenSent,
                           {ErrorKind::kOutcomeUnknown, "cut", "retry"}});
    });
    handlers = {[](int, const HttpHeaders&) {}, [](std::string_view) {}, [] {},
                [](const HttpClientFailure&) {}};
  }
  RelayingInstance* const instance = found->second;
  instance->relay.HandleRelayed(
      received, std::make_shared<Responder>(this->loop, std::move(handlers)));
  return std::make_unique<Exchange>();
}

// Returns a model whose jobs go to the partition.
inline std::string ModelIn(std::int64_t partition) {
  std::string model = "m";
  while (FastHash(model) % kPartitions !=
         static_cast<std::uint64_t>(partition)) {
    model += "x";
  }
  return model;
}

}  // namespace carobbank
