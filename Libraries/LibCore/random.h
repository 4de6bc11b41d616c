// Seeded random numbers: the same seed gives the same sequence on every
// machine.

#pragma once

#include <cstdint>
#include <string>

namespace carobbank {

// SplitMix64 (Steele, Lea, Flood 2014): small state, equidistributed, fast.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state(seed) {}

  // Uniform over all 64-bit values.
  std::uint64_t Next();
  // Uniform in [0, bound); `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound);
  // Uniform in [0, 1).
  double Unit();
  // 32 hexadecimal digits, for request and attempt ids.
  std::string Identifier();

 private:
  std::uint64_t state;
};

// A seed from the operating system, for processes without a configured seed.
std::uint64_t SeedFromSystem();

}  // namespace carobbank
