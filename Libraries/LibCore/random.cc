// SplitMix64, and the distributions over its output.

#include "LibCore/random.h"

#include <cstdio>
#include <random>

namespace carobbank {

std::uint64_t Random::Next() {
  this->state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = this->state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t Random::Below(std::uint64_t bound) {
  // Multiply-shift keeps the bias under 2^-64 * bound without a division.
  const auto product = static_cast<unsigned __int128>(this->Next()) * bound;
  return static_cast<std::uint64_t>(product >> 64);
}

double Random::Unit() {
  constexpr double kTwoToMinus53 = 1.0 / 9007199254740992.0;
  return static_cast<double>(this->Next() >> 11) * kTwoToMinus53;
}

std::string Random::Identifier() {
  char text[33];
  std::snprintf(text, sizeof(text), "%016llx%016llx",
                static_cast<unsigned long long>(this->Next()),
                static_cast<unsigned long long>(this->Next()));
  return text;
}

std::uint64_t SeedFromSystem() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace carobbank
