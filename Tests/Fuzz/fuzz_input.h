// Helpers of the fuzz targets: the input as text, and a check that aborts the
// program, as libFuzzer and the replay program both expect.

#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace carobbank {

inline std::string_view FuzzText(const std::uint8_t* bytes, std::size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

// Aborts when `holds` is false.
inline void FuzzRequire(bool holds, const char* property) {
  if (!holds) {
    std::fprintf(stderr, "property violated: %s\n", property);
    std::abort();
  }
}

}  // namespace carobbank
