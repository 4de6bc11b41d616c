// Runs a fuzz target on every file of a corpus folder, for CI without clang.

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size);

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s CORPUS_FOLDER\n", argv[0]);
    return 2;
  }
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(argv[1])) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()),
                           text.size());
    ++files;
  }
  if (files == 0) {
    std::fprintf(stderr, "the corpus %s is empty; add seeds to it\n", argv[1]);
    return 1;
  }
  std::printf("OK (1 tests, 1 ran, %d inputs)\n", files);
  return 0;
}
