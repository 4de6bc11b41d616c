// Several gateways that share one log and one API of the platform, with the
// parts that report usage. Windows are short, so that tests take seconds.

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Gateway/gateway_fixture.h"
#include "Services/Gateway/duty_calls.h"
#include "Services/Gateway/log_lease.h"
#include "Services/Gateway/usage_publisher.h"
#include "Services/Gateway/usage_reporter.h"

namespace carobbank {

// Passes calls on to a log while this gateway reaches it.
class GatewaysLog final : public PartitionedLog {
 public:
  explicit GatewaysLog(PartitionedLog& log, EventLoop& loop)
      : log(log), loop(loop) {}

  bool cut_off = false;

  void Append(const TopicPartition& partition,
              const std::vector<KeyedRecord>& records,
              std::optional<std::uint64_t> expected_end,
              AppendCallback callback) override {
    if (!this->cut_off) {
      this->log.Append(partition, records, expected_end, std::move(callback));
      return;
    }
    this->loop.Post([callback = std::move(callback)] {
      callback({AppendStatus::kRefused, 0, 0, "cut off"});
    });
  }
  void Read(const TopicPartition& partition,
            std::uint64_t from,
            Milliseconds wait,
            Milliseconds response_timeout,
            ReadCallback callback) override {
    if (!this->cut_off) {
      this->log.Read(partition, from, wait, response_timeout,
                     std::move(callback));
      return;
    }
    this->loop.Post([callback = std::move(callback)] {
      callback(Error{ErrorKind::kUnavailable, "cut off", "try again"});
    });
  }
  void ReadSnapshot(const TopicPartition& partition,
                    SnapshotCallback callback) override {
    this->log.ReadSnapshot(partition, std::move(callback));
  }
  void Join(std::string_view /*group*/,
            std::string_view /*member*/,
            std::string_view /*topic*/,
            std::int64_t /*generation*/,
            JoinCallback /*callback*/) override {}
  void Leave(std::string_view /*group*/, std::string_view /*member*/) override {
  }
  void ReadOwners(std::string_view /*group*/,
                  OwnersCallback /*callback*/) override {}

 private:
  PartitionedLog& log;
  EventLoop& loop;
};

inline UsageTopics TestUsageTopics() {
  return {{"usage", 0}, {"usage-reports", 0}};
}

inline UsagePublisherOptions TestPublisherOptions() {
  UsagePublisherOptions options;
  options.counter.window = Milliseconds(400);
  options.final_delay = Milliseconds(40);
  options.spread = Milliseconds(40);
  options.retry_pause = Milliseconds(100);
  return options;
}

inline UsageReporterOptions TestReporterOptions() {
  UsageReporterOptions options;
  options.reports.window = Milliseconds(400);
  options.reports.decide_after = Milliseconds(800);
  options.reports.report_until = Milliseconds(20'000);
  options.due_after = Milliseconds(2'000);
  options.settle_time = Milliseconds(800);
  options.first_retry_pause = Milliseconds(50);
  options.longest_retry_pause = Milliseconds(200);
  options.tick = Milliseconds(20);
  return options;
}

// The parts of one gateway. Destroying it simulates that the process is killed.
struct DutyGateway {
  DutyGateway(GatewayFixture& fixture,
              const std::string& name,
              const TopicPartition& lease_partition,
              FakeHttpClient& client)
      : settings(SettingsOf(fixture, name)),
        log(fixture.log, fixture.runner.loop),
        environment{settings,
                    fixture.dialect,
                    fixture.clock,
                    fixture.random,
                    fixture.runner.loop,
                    client,
                    log,
                    fixture.metrics,
                    fixture.fleet,
                    fixture.loads,
                    fixture.quarantine,
                    fixture.retries,
                    fixture.limits,
                    fixture.permits,
                    fixture.configuration,
                    fixture.admission},
        lease(environment, lease_partition, {}),
        calls(environment, lease),
        publisher(environment,
                  TestUsageTopics().counts,
                  TestPublisherOptions()),
        reporter(environment,
                 lease,
                 calls,
                 TestUsageTopics(),
                 TestReporterOptions()) {}

  static GatewaySettings SettingsOf(const GatewayFixture& fixture,
                                    const std::string& name) {
    GatewaySettings settings = fixture.settings;
    settings.instance = name;
    return settings;
  }

  GatewaySettings settings;
  GatewaysLog log;
  GatewayEnvironment environment;
  LogLease lease;
  DutyCalls calls;
  UsagePublisher publisher;
  UsageReporter reporter;
};

// Accepts reports as the platform's API does, and checks its rules.
class ReportReceiver {
 public:
  explicit ReportReceiver(EventLoop& loop) : client(loop) {
    this->client.answer = [this](const HttpClientRequest& request) {
      return this->Serve(request);
    };
  }

  FakeHttpClient client;
  // Status of the next responses, and calls to leave without a response.
  int status = 200;
  int calls_without_response = 0;
  // Highest token so far; a call with a lower one gets 409.
  std::uint64_t token = 0;
  // Different texts of the reports of each window.
  std::map<std::int64_t, std::set<std::string>> reports;
  // Names of the holders that called with each token.
  std::map<std::uint64_t, std::set<std::string>> holders;
  std::size_t calls = 0;
  std::size_t calls_with_lower_token = 0;

 private:
  ScriptedResponse Serve(const HttpClientRequest& request) {
    ++this->calls;
    ScriptedResponse response;
    const std::uint64_t sent_token =
        std::stoull(std::string(*FindHeader(request.headers, "Token")));
    this->holders[sent_token].emplace(*FindHeader(request.headers, "Holder"));
    if (sent_token < this->token) {
      ++this->calls_with_lower_token;
      response.status = 409;
      return response;
    }
    this->token = sent_token;
    response.status = this->status;
    if (response.status == 200) {
      this->reports[std::stoll(request.body)].insert(
          request.body.substr(request.body.find(':') + 1));
    }
    if (this->calls_without_response > 0) {
      --this->calls_without_response;
      response.ending = ScriptedResponse::Ending::kTruncated;
    }
    return response;
  }
};

}  // namespace carobbank
