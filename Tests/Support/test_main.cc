// Entry point shared by every CppUTest program. Leak detection is off because
// libraries that allocate lazily would be reported; the asan preset covers it.

#include <sys/resource.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {

// A test that allocates without end fails alone instead of taking the machine's
// memory. Sanitizers reserve address space far beyond it.
void LimitMemory() {
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
  constexpr rlim_t kMostBytes = 3ULL * 1024 * 1024 * 1024;
  const rlimit limit{kMostBytes, kMostBytes};
  setrlimit(RLIMIT_AS, &limit);
#endif
}

}  // namespace

int main(int argc, char** argv) {
  LimitMemory();
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
