// Measures the cost of a proxy hop on loopback: latency at a constant request
// rate through none, one and two relays, and a relay's processor time per
// request and per streamed chunk.
//   http-benchmark [requests per second] [seconds]

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "relay.h"

namespace carobbank {

namespace {

using Microseconds = std::chrono::duration<double, std::micro>;

// Open-loop load: sends requests at fixed times regardless of outstanding
// responses, so that slow responses don't lower the request rate.
class OpenLoopLoad {
 public:
  OpenLoopLoad(std::string url, int per_second, int count)
      : url(std::move(url)),
        interval(std::chrono::nanoseconds(1'000'000'000 / per_second)),
        count(count) {}

  // Sends all requests and returns their sorted latencies in microseconds.
  std::vector<double> Run() {
    this->begin = std::chrono::steady_clock::now();
    this->SendDueRequests();
    this->loop.Run();
    std::sort(this->latencies.begin(), this->latencies.end());
    return this->latencies;
  }

 private:
  void SendDueRequests() {
    const auto now = std::chrono::steady_clock::now();
    while (this->sent < this->count &&
           this->begin + this->interval * this->sent <= now) {
      this->Send();
    }
    if (this->sent < this->count) {
      this->timer = this->loop.CallAfter(Milliseconds(1),
                                         [this] { this->SendDueRequests(); });
    }
  }

  void Send() {
    const auto due = this->begin + this->interval * this->sent++;
    HttpClientRequest request;
    request.method = "POST";
    request.url = this->url;
    request.body = std::string(200, 'x');
    const auto started = std::max(due, std::chrono::steady_clock::now());
    this->client->Fetch(std::move(request),
                        [this, started](Outcome<HttpResponse> response) {
                          this->RecordLatency(response.Ok(), started);
                        });
  }

  void RecordLatency(bool ok, MonotonicTime started) {
    failures += ok ? 0 : 1;
    this->latencies.push_back(
        Microseconds(std::chrono::steady_clock::now() - started).count());
    if (this->latencies.size() == static_cast<std::size_t>(this->count)) {
      this->loop.Stop();
    }
  }

  std::string url;
  std::chrono::nanoseconds interval;
  int count;
  EventLoop loop;
  std::unique_ptr<HttpClient> client = HttpClient::Create(this->loop);
  std::unique_ptr<Timer> timer;
  MonotonicTime begin;
  int sent = 0;
  std::vector<double> latencies;

 public:
  int failures = 0;
};

double Percentile(const std::vector<double>& sorted, double fraction) {
  return sorted[static_cast<std::size_t>(
      static_cast<double>(sorted.size() - 1) * fraction)];
}

void MeasureRequests(const char* name,
                     const std::string& url,
                     int per_second,
                     int seconds) {
  OpenLoopLoad warm_up(url + "/0", per_second, per_second / 2);
  warm_up.Run();
  OpenLoopLoad load(url + "/0", per_second, per_second * seconds);
  const std::vector<double> latencies = load.Run();
  std::printf("%s: p50 %.0f us, p99 %.0f us, max %.0f us, failures %d\n", name,
              Percentile(latencies, 0.5), Percentile(latencies, 0.99),
              latencies.back(), load.failures);
}

void MeasureProcessorTime(ServerThread& relay, int per_second, int seconds) {
  const int requests = per_second * seconds;
  double before = relay.ProcessorMicroseconds();
  OpenLoopLoad(relay.Url() + "/0", per_second, requests).Run();
  std::printf("relay: %.1f us of processor time per request\n",
              (relay.ProcessorMicroseconds() - before) / requests);
  constexpr int kChunks = 100;
  constexpr int kStreams = 200;
  constexpr int kStreamsPerSecond = 100;
  before = relay.ProcessorMicroseconds();
  OpenLoopLoad(relay.Url() + "/" + std::to_string(kChunks), kStreamsPerSecond,
               kStreams)
      .Run();
  std::printf("relay: %.2f us of processor time per streamed chunk\n",
              (relay.ProcessorMicroseconds() - before) / kChunks / kStreams);
}

}  // namespace

}  // namespace carobbank

int main(int argc, char** argv) {
  using namespace carobbank;
  const int per_second = argc > 1 ? std::atoi(argv[1]) : 500;
  const int seconds = argc > 2 ? std::atoi(argv[2]) : 4;
  if (per_second <= 0 || seconds <= 0) {
    std::fprintf(stderr, "usage: %s [requests per second] [seconds]\n",
                 argv[0]);
    return 2;
  }
  ServerThread origin("");
  ServerThread first(origin.Url());
  ServerThread second(first.Url());
  MeasureRequests("direct", origin.Url(), per_second, seconds);
  MeasureRequests("one relay", first.Url(), per_second, seconds);
  MeasureRequests("two relays", second.Url(), per_second, seconds);
  MeasureProcessorTime(first, per_second, seconds);
  return 0;
}
