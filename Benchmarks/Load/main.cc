// `carobbank-bench`: sends live streamed completions to entries, or directly to
// engines, and prints the measured latencies and outcomes as one JSON document.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "load_run.h"

namespace carobbank {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitInvalid = 2;
constexpr std::uint64_t kMaxRequests = 1'000'000;
constexpr std::uint64_t kMaxConcurrency = 5'000;
constexpr std::int64_t kMaxDurationMilliseconds = 120'000;

// Microseconds below which `fraction` of the values lie; -1 if there are none.
std::int64_t Quantile(const std::vector<std::int64_t>& sorted,
                      double fraction) {
  if (sorted.empty()) {
    return -1;
  }
  const auto index =
      static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

Json::Value Quantiles(std::vector<std::int64_t> values) {
  std::sort(values.begin(), values.end());
  Json::Value json;
  json["p50_us"] = Json::Int64(Quantile(values, 0.5));
  json["p90_us"] = Json::Int64(Quantile(values, 0.9));
  json["p99_us"] = Json::Int64(Quantile(values, 0.99));
  return json;
}

Json::Value ToJson(const LoadResult& result) {
  Json::Value json;
  json["latency"] = Quantiles(result.latencies);
  json["first_token"] = Quantiles(result.first_tokens);
  json["chunks"] = Json::UInt64(result.chunks);
  json["tokens"] = Json::UInt64(result.tokens);
  json["not_begun"] = Json::UInt64(result.not_begun);
  json["most_late_us"] = Json::Int64(result.most_late_us);
  json["measured_seconds"] = result.measured_seconds;
  json["outcomes"] = Json::objectValue;
  for (const auto& [outcome, count] : result.outcomes) {
    json["outcomes"][outcome] = Json::UInt64(count);
  }
  return json;
}

std::vector<std::string> ReadPrompts(const std::string& path) {
  std::vector<std::string> prompts;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (!line.empty()) {
      prompts.push_back(line);
    }
  }
  return prompts;
}

LoadPlan ReadArguments(int count, char** values) {
  TCLAP::CmdLine line("carobbank-bench: measure live streamed completions");
  TCLAP::MultiArg<std::string> url(
      "u", "url", "base address of an entry or engine, may be repeated", true,
      "URL", line);
  TCLAP::SwitchArg direct("d", "direct", "send to engines instead of entries",
                          line);
  TCLAP::ValueArg<std::string> service("s", "service", "service to call", false,
                                       "", "NAME", line);
  TCLAP::ValueArg<std::string> model("m", "model", "model of the engines",
                                     false, "", "NAME", line);
  TCLAP::ValueArg<std::string> token("", "token", "bearer token", false, "",
                                     "TOKEN", line);
  TCLAP::ValueArg<std::string> prompts(
      "p", "prompts", "file with one prompt per line", false, "", "FILE", line);
  TCLAP::ValueArg<std::uint64_t> tokens("t", "max-tokens",
                                        "maximum output length in tokens",
                                        false, 16, "TOKENS", line);
  TCLAP::ValueArg<double> rate("r", "rate",
                               "requests per second; 0 selects the closed loop",
                               false, 0, "RATE", line);
  TCLAP::ValueArg<std::uint64_t> concurrency(
      "c", "concurrency", "maximum number of in-flight requests", false, 1'000,
      "COUNT", line);
  TCLAP::ValueArg<std::uint64_t> requests("n", "requests",
                                          "maximum number of requests", false,
                                          100'000, "COUNT", line);
  TCLAP::ValueArg<std::int64_t> duration(
      "", "duration-ms", "duration of the run", false, 5'000, "MS", line);
  TCLAP::ValueArg<std::int64_t> warm_up(
      "", "warm-up-ms", "initial period excluded from the results", false, 500,
      "MS", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the first request",
                                      false, 1, "SEED", line);
  line.parse(count, values);
  LoadPlan plan;
  plan.urls = url.getValue();
  plan.direct = direct.getValue();
  plan.service = service.getValue();
  plan.model = model.getValue();
  plan.token = token.getValue();
  plan.prompts = ReadPrompts(prompts.getValue());
  if (plan.prompts.empty()) {
    plan.prompts.emplace_back("Right of way at an unmarked crossing");
  }
  plan.max_tokens = tokens.getValue();
  plan.requests_per_second = rate.getValue();
  plan.concurrency = std::min(concurrency.getValue(), kMaxConcurrency);
  plan.max_requests = std::min(requests.getValue(), kMaxRequests);
  plan.duration =
      Milliseconds(std::min(duration.getValue(), kMaxDurationMilliseconds));
  plan.warm_up = Milliseconds(warm_up.getValue());
  plan.seed = seed.getValue();
  return plan;
}

int Main(int count, char** values) {
  LoadPlan plan;
  try {
    plan = ReadArguments(count, values);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? kExitOk : kExitInvalid;
  }
  const LoadResult result = LoadRun(std::move(plan)).Run();
  std::cout << WriteJson(ToJson(result)) << "\n";
  return kExitOk;
}

}  // namespace

}  // namespace carobbank

int main(int count, char** values) {
  return carobbank::Main(count, values);
}
