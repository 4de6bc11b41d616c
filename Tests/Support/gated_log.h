// One gateway's connection to a PartitionedLog that several gateways share. A
// test can cut it, or hold it still as a stopped process does.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "LibHTTP/http.h"
#include "LibPlatform/platform.h"

namespace carobbank {

class GatedLog final : public PartitionedLog {
 public:
  GatedLog(EventLoop& loop, PartitionedLog& log) : loop(loop), log(log) {}

  // Until Mend(), calls fail with kUnavailable or kRefused and have no effect.
  // Calls without a response so far fail too, but may have had an effect.
  void Cut() {
    this->gate->cut = true;
    for (auto& [number, fail] : std::exchange(this->gate->pending, {})) {
      this->loop.Post(std::move(fail));
    }
  }
  void Mend() { this->gate->cut = false; }

  // Until Thaw(), responses wait, and calls are not sent. Thaw() delivers the
  // responses first.
  void Freeze() { this->gate->frozen = true; }
  void Thaw() {
    this->gate->frozen = false;
    for (const auto& respond : std::exchange(this->gate->responses, {})) {
      respond();
    }
    for (const auto& call : std::exchange(this->gate->calls, {})) {
      call();
    }
  }

  void Append(const TopicPartition& partition,
              const std::vector<KeyedRecord>& records,
              std::optional<std::uint64_t> expected_end,
              AppendCallback callback) override {
    AppendOutcome refused;
    refused.status = AppendStatus::kRefused;
    this->Call<AppendOutcome>(
        std::move(callback), refused, [=, this](AppendCallback respond) {
          this->log.Append(partition, records, expected_end,
                           std::move(respond));
        });
  }
  void Read(const TopicPartition& partition,
            std::uint64_t from,
            Milliseconds wait,
            Milliseconds response_timeout,
            ReadCallback callback) override {
    this->Call<Outcome<KeyedLogPage>>(
        std::move(callback), Unavailable(), [=, this](ReadCallback respond) {
          this->log.Read(partition, from, wait, response_timeout,
                         std::move(respond));
        });
  }
  void ReadSnapshot(const TopicPartition& partition,
                    SnapshotCallback callback) override {
    this->Call<Outcome<KeyedSnapshot>>(std::move(callback), Unavailable(),
                                       [=, this](SnapshotCallback respond) {
                                         this->log.ReadSnapshot(
                                             partition, std::move(respond));
                                       });
  }
  void Join(std::string_view group,
            std::string_view member,
            std::string_view topic,
            std::int64_t generation,
            JoinCallback callback) override {
    this->log.Join(group, member, topic, generation, std::move(callback));
  }
  void Leave(std::string_view group, std::string_view member) override {
    this->log.Leave(group, member);
  }
  void ReadOwners(std::string_view group, OwnersCallback callback) override {
    this->log.ReadOwners(group, std::move(callback));
  }

 private:
  // Outlives the gateway, as calls to the log do.
  struct Gate {
    bool cut = false;
    bool frozen = false;
    std::uint64_t calls_made = 0;
    // Fails the calls without a response, by number.
    std::map<std::uint64_t, std::function<void()>> pending;
    std::vector<std::function<void()>> responses;
    std::vector<std::function<void()>> calls;
  };

  static Error Unavailable() {
    return {ErrorKind::kUnavailable, "the log is cut off", "try again"};
  }

  template <typename Value>
  void Call(std::function<void(Value)> callback,
            Value failure,
            std::function<void(std::function<void(Value)>)> send) {
    if (this->gate->cut) {
      this->loop.Post([callback, failure] { callback(failure); });
      return;
    }
    const std::uint64_t number = ++this->gate->calls_made;
    this->gate->pending[number] = [callback, failure] { callback(failure); };
    auto respond = [gate = this->gate, number, callback](Value value) {
      if (gate->pending.erase(number) == 0) {
        return;
      }
      if (gate->frozen) {
        gate->responses.push_back([callback, value] { callback(value); });
      } else {
        callback(std::move(value));
      }
    };
    if (this->gate->frozen) {
      this->gate->calls.push_back(
          [send = std::move(send), respond] { send(respond); });
    } else {
      send(respond);
    }
  }

  EventLoop& loop;
  PartitionedLog& log;
  std::shared_ptr<Gate> gate = std::make_shared<Gate>();
};

}  // namespace carobbank
