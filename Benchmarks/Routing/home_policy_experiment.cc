// Compares three policies for the server that a prompt prefix is assigned to:
// never reassign the prefix, reassign it at once to the server that ran a
// request which the assigned server had no capacity for, or reassign it when
// the prefill time lost that way exceeds the cost of the move. Simulates
// requests and caches only, with fixed seeds and without the programs; prints
// one row per policy and setting.

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
// The popularity of prefixes is shuffled after this many requests, as by the
// prompts of another step.
constexpr std::size_t kRequestsPerPhase = 3'000;
constexpr std::size_t kSeeds = 7;
// Durations are in ticks; one request arrives per tick.
constexpr int kDecodeTicks = 100;
constexpr int kPrefillTicks = 60;
constexpr double kBoundFactor = 1.25;

enum class Policy { kNever, kAtOnce, kAccumulated };

struct Setting {
  std::size_t cached_prefixes = 40;
  // Cost of a reassignment at the new server, as a fraction of one prefill.
  double move_cost = 1.0;
};

// LRU cache of the prefixes that one server holds.
class Cache {
 public:
  // Inserts the prefix or marks it as most recently used. Returns whether the
  // cache held the prefix.
  bool Touch(std::size_t prefix, std::size_t capacity) {
    const auto found = this->positions.find(prefix);
    const bool hit = found != this->positions.end();
    if (hit) {
      this->order.erase(found->second);
    }
    this->order.push_front(prefix);
    this->positions[prefix] = this->order.begin();
    if (this->order.size() > capacity) {
      this->positions.erase(this->order.back());
      this->order.pop_back();
    }
    return hit;
  }

 private:
  std::list<std::size_t> order;
  std::unordered_map<std::size_t, std::list<std::size_t>::iterator> positions;
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
        assigned_servers(kPrefixes),
        lost_ticks(kPrefixes),
        ranks(kPrefixes) {
    for (std::size_t prefix = 0; prefix < kPrefixes; ++prefix) {
      this->assigned_servers[prefix] = this->random.Below(kServers);
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
      if (tick % kRequestsPerPhase == 0) {
        this->ShufflePopularity();
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
  void ShufflePopularity() {
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
    const std::size_t assigned = this->assigned_servers[prefix];
    std::size_t server = assigned;
    if (static_cast<double>(this->ends[assigned].size()) > bound) {
      const std::size_t one = this->random.Below(kServers);
      const std::size_t two = this->random.Below(kServers);
      server = this->ends[one].size() <= this->ends[two].size() ? one : two;
    }
    const bool hit =
        this->caches[server].Touch(prefix, this->setting.cached_prefixes);
    double ticks = kDecodeTicks + (hit ? 0 : kPrefillTicks);
    if (server != assigned) {
      this->lost_ticks[prefix] += hit ? 0 : kPrefillTicks;
      ticks += this->MaybeReassign(prefix, server);
    }
    // Concurrent generations slow each other down.
    ticks *= 1 + 0.05 * static_cast<double>(this->ends[server].size());
    this->ends[server].push_back(now + ticks);
    this->hits += hit ? 1 : 0;
    this->total_ticks += ticks;
  }

  // Returns the ticks that the reassignment costs the server, 0 without one.
  double MaybeReassign(std::size_t prefix, std::size_t server) {
    const double cost = this->setting.move_cost * kPrefillTicks;
    const bool moves = this->policy == Policy::kAtOnce ||
                       (this->policy == Policy::kAccumulated &&
                        this->lost_ticks[prefix] > cost);
    if (!moves) {
      return 0;
    }
    this->assigned_servers[prefix] = server;
    this->lost_ticks[prefix] = 0;
    ++this->moves;
    return cost;
  }

  Policy policy;
  Setting setting;
  Random random;
  std::vector<Cache> caches;
  // End times of each server's running requests.
  std::vector<std::vector<double>> ends;
  std::vector<std::size_t> assigned_servers;
  // Prefill ticks lost at other servers since the last reassignment.
  std::vector<double> lost_ticks;
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
  const auto [shortest, longest] =
      std::minmax_element(ticks.begin(), ticks.end());
  std::printf("| %zu | %.1f | %s | %.1f | %.1f to %.1f | %.1f%% | %.0f |\n",
              setting.cached_prefixes, setting.move_cost, name, MedianOf(ticks),
              *shortest, *longest, 100 * MedianOf(hits), MedianOf(moves));
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
