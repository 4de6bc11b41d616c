// Entry point of every CppUTest program. CppUTest's leak detection is off
// because it reports libraries that allocate lazily; the asan preset detects
// leaks.

#include <sys/resource.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {

// Limits the address space to 3 GiB, so that a test with unbounded allocation
// fails in isolation instead of exhausting the machine's memory. Not with
// sanitizers, which reserve far more address space.
void LimitMemory() {
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
  constexpr rlim_t kMaxBytes = 3ULL * 1024 * 1024 * 1024;
  const rlimit limit{kMaxBytes, kMaxBytes};
  setrlimit(RLIMIT_AS, &limit);
#endif
}

}  // namespace

int main(int argc, char** argv) {
  LimitMemory();
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
