// Compares three policies for the home of a prompt prefix: never move it, move
// it at once to the server that last took a request the home could not, or
// move it when the benefit lost that way exceeds the cost of moving. A model of
// requests and caches alone, seeded, without the system's programs; prints one
// row per policy and setting.

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "LibRouting/routing.h"

namespace carobbank {
namespace {

constexpr std::size_t kServers = 20;
constexpr std::size_t kPrefixes = 400;
constexpr std::size_t kRequests = 60'000;
// Popularity is dealt anew after so many requests: another step's prompts.
constexpr std::size_t kPhase = 3'000;
constexpr std::size_t kSeeds = 7;
// In ticks; one request arrives in each.
constexpr int kDecodeTicks = 100;
constexpr int kPrefillTicks = 60;
constexpr double kBoundFactor = 1.25;

enum class Policy { kNever, kAtOnce, kAccumulated };

struct Setting {
  std::size_t cached_prefixes = 40;
  // What moving a home costs the target, as a share of one prefill.
  double move_cost = 1.0;
};

// The prefixes that one server holds, least recently used last.
class Cache {
 public:
  // True when the prefix was there.
  bool Touch(std::size_t prefix, std::size_t capacity) {
    const auto found = this->places.find(prefix);
    const bool hit = found != this->places.end();
    if (hit) {
      this->order.erase(found->second);
    }
    this->order.push_front(prefix);
    this->places[prefix] = this->order.begin();
    if (this->order.size() > capacity) {
      this->places.erase(this->order.back());
      this->order.pop_back();
    }
    return hit;
  }

 private:
  std::list<std::size_t> order;
  std::unordered_map<std::size_t, std::list<std::size_t>::iterator> places;
};

struct PolicyOutcome {
  double mean_ticks = 0;
  double hit_share = 0;
  double moves = 0;
};

class Model {
 public:
  Model(Policy policy, const Setting& setting, std::uint64_t seed)
      : policy(policy),
        setting(setting),
        random(seed),
        caches(kServers),
        ends(kServers),
        homes(kPrefixes),
        lost(kPrefixes),
        ranks(kPrefixes) {
    for (std::size_t prefix = 0; prefix < kPrefixes; ++prefix) {
      this->homes[prefix] = this->random.Below(kServers);
      this->ranks[prefix] = prefix;
    }
    double total = 0;
    for (std::size_t rank = 0; rank < kPrefixes; ++rank) {
      total += 1.0 / static_cast<double>(rank + 1);
      this->weights.push_back(total);
    }
  }

  PolicyOutcome Run() {
    for (std::size_t tick = 0; tick < kRequests; ++tick) {
      if (tick % kPhase == 0) {
        this->Deal();
      }
      this->Serve(this->NextPrefix(), static_cast<double>(tick));
    }
    PolicyOutcome outcome;
    outcome.mean_ticks = this->total_ticks / kRequests;
    outcome.hit_share = static_cast<double>(this->hits) / kRequests;
    outcome.moves = static_cast<double>(this->moves);
    return outcome;
  }

 private:
  void Deal() {
    for (std::size_t index = kPrefixes - 1; index > 0; --index) {
      std::swap(this->ranks[index], this->ranks[this->random.Below(index + 1)]);
    }
  }

  std::size_t NextPrefix() {
    const double point = this->random.Unit() * this->weights.back();
    const auto rank =
        std::lower_bound(this->weights.begin(), this->weights.end(), point);
    return this->ranks[static_cast<std::size_t>(
        std::min<std::ptrdiff_t>(rank - this->weights.begin(),
                                 static_cast<std::ptrdiff_t>(kPrefixes) - 1))];
  }

  std::size_t Load(std::size_t server, double now) {
    std::erase_if(this->ends[server], [&](double end) { return end <= now; });
    return this->ends[server].size();
  }

  void Serve(std::size_t prefix, double now) {
    std::size_t total = 0;
    for (std::size_t server = 0; server < kServers; ++server) {
      total += this->Load(server, now);
    }
    const double bound =
        kBoundFactor * static_cast<double>(total) / kServers + 1;
    const std::size_t home = this->homes[prefix];
    std::size_t server = home;
    if (static_cast<double>(this->ends[home].size()) > bound) {
      const std::size_t one = this->random.Below(kServers);
      const std::size_t two = this->random.Below(kServers);
      server = this->ends[one].size() <= this->ends[two].size() ? one : two;
    }
    const bool hit =
        this->caches[server].Touch(prefix, this->setting.cached_prefixes);
    double ticks = kDecodeTicks + (hit ? 0 : kPrefillTicks);
    if (server != home) {
      this->lost[prefix] += hit ? 0 : kPrefillTicks;
      ticks += this->MaybeMove(prefix, server);
    }
    // Generations that run beside each other slow each other down.
    ticks *= 1 + 0.05 * static_cast<double>(this->ends[server].size());
    this->ends[server].push_back(now + ticks);
    this->hits += hit ? 1 : 0;
    this->total_ticks += ticks;
  }

  // The ticks that the move costs the server.
  double MaybeMove(std::size_t prefix, std::size_t server) {
    const double cost = this->setting.move_cost * kPrefillTicks;
    const bool moves =
        this->policy == Policy::kAtOnce ||
        (this->policy == Policy::kAccumulated && this->lost[prefix] > cost);
    if (!moves) {
      return 0;
    }
    this->homes[prefix] = server;
    this->lost[prefix] = 0;
    ++this->moves;
    return cost;
  }

  Policy policy;
  Setting setting;
  Random random;
  std::vector<Cache> caches;
  // When the running requests of each server end.
  std::vector<std::vector<double>> ends;
  std::vector<std::size_t> homes;
  // Prefill ticks lost at other servers since the home moved.
  std::vector<double> lost;
  std::vector<std::size_t> ranks;
  std::vector<double> weights;
  double total_ticks = 0;
  std::size_t hits = 0;
  std::size_t moves = 0;
};

double MedianOf(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void PrintRow(const char* name, Policy policy, const Setting& setting) {
  std::vector<double> ticks;
  std::vector<double> hits;
  std::vector<double> moves;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const PolicyOutcome outcome = Model(policy, setting, seed).Run();
    ticks.push_back(outcome.mean_ticks);
    hits.push_back(outcome.hit_share);
    moves.push_back(outcome.moves);
  }
  const auto [least, most] = std::minmax_element(ticks.begin(), ticks.end());
  std::printf("| %zu | %.1f | %s | %.1f | %.1f to %.1f | %.1f%% | %.0f |\n",
              setting.cached_prefixes, setting.move_cost, name, MedianOf(ticks),
              *least, *most, 100 * MedianOf(hits), MedianOf(moves));
}

void RunAll() {
  std::printf(
      "| cached prefixes | move cost | policy | mean ticks (median) | range | "
      "cache hits | moves |\n|---|---|---|---|---|---|---|\n");
  for (const std::size_t cached : {20, 40, 120}) {
    for (const double cost : {0.0, 0.5, 1.0, 3.0}) {
      const Setting setting{cached, cost};
      PrintRow("never", Policy::kNever, setting);
      PrintRow("at once", Policy::kAtOnce, setting);
      PrintRow("accumulated", Policy::kAccumulated, setting);
    }
  }
}

}  // namespace
}  // namespace carobbank

int main() {
  carobbank::RunAll();
  return 0;
}
