// `carobbank-bench`: sends live streamed completions to entries, or directly to
// engines, and prints what it measured as one JSON document.

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

// Microseconds below which `share` of the values lie.
std::int64_t Quantile(const std::vector<std::int64_t>& sorted, double share) {
  if (sorted.empty()) {
    return -1;
  }
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

Json::Value Quantiles(std::vector<std::int64_t> values) {
  std::sort(values.begin(), values.end());
  Json::Value answer;
  answer["p50_us"] = Json::Int64(Quantile(values, 0.5));
  answer["p90_us"] = Json::Int64(Quantile(values, 0.9));
  answer["p99_us"] = Json::Int64(Quantile(values, 0.99));
  return answer;
}

Json::Value ToJson(const LoadResult& result) {
  Json::Value answer;
  answer["latency"] = Quantiles(result.latencies);
  answer["first_token"] = Quantiles(result.first_tokens);
  answer["chunks"] = Json::UInt64(result.chunks);
  answer["tokens"] = Json::UInt64(result.tokens);
  answer["not_begun"] = Json::UInt64(result.not_begun);
  answer["most_late_us"] = Json::Int64(result.most_late_us);
  answer["measured_seconds"] = result.measured_seconds;
  answer["outcomes"] = Json::objectValue;
  for (const auto& [outcome, count] : result.outcomes) {
    answer["outcomes"][outcome] = Json::UInt64(count);
  }
  return answer;
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
  TCLAP::MultiArg<std::string> url("u", "url", "address, may be repeated", true,
                                   "URL", line);
  TCLAP::SwitchArg direct("d", "direct", "the addresses are engines", line);
  TCLAP::ValueArg<std::string> service("s", "service", "service to call", false,
                                       "", "NAME", line);
  TCLAP::ValueArg<std::string> model("m", "model", "model of the engines",
                                     false, "", "NAME", line);
  TCLAP::ValueArg<std::string> token("", "token", "bearer token", false, "",
                                     "TOKEN", line);
  TCLAP::ValueArg<std::string> prompts("p", "prompts", "one prompt a line",
                                       false, "", "FILE", line);
  TCLAP::ValueArg<std::uint64_t> tokens("t", "max-tokens", "longest answer",
                                        false, 16, "TOKENS", line);
  TCLAP::ValueArg<double> rate("r", "rate",
                               "requests a second; 0 is a closed loop", false,
                               0, "RATE", line);
  TCLAP::ValueArg<std::uint64_t> concurrency("c", "concurrency",
                                             "requests in progress at once",
                                             false, 1'000, "COUNT", line);
  TCLAP::ValueArg<std::uint64_t> requests("n", "requests", "most requests",
                                          false, 100'000, "COUNT", line);
  TCLAP::ValueArg<std::int64_t> duration("", "duration-ms", "how long", false,
                                         5'000, "MS", line);
  TCLAP::ValueArg<std::int64_t> warm_up("", "warm-up-ms", "not measured", false,
                                        500, "MS", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of the first request", false,
                                      1, "SEED", line);
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
