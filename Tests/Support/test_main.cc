// Entry point of every CppUTest program. Tests that KNOWN-RED.txt lists are
// passed over and printed. CppUTest's leak detection is off because it reports
// libraries that allocate lazily; the asan preset detects leaks.

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

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

// "Group.Name" of each line "test Group.Name" of KNOWN-RED.txt in the working
// directory, the root of the repository.
std::vector<std::string> KnownRedTests() {
  constexpr std::string_view kPrefix = "test ";
  std::vector<std::string> tests;
  std::ifstream file("KNOWN-RED.txt");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(kPrefix)) {
      tests.push_back(line.substr(kPrefix.size()));
    }
  }
  return tests;
}

std::string NameOf(const UtestShell& test) {
  return std::string(test.getGroup().asCharString()) + "." +
         test.getName().asCharString();
}

// Unlinks the listed tests from the registry's list.
void RemoveKnownRedTests() {
  const std::vector<std::string> known_red = KnownRedTests();
  UtestShell* previous = nullptr;
  UtestShell* test = TestRegistry::getCurrentRegistry()->getFirstTest();
  while (test != nullptr) {
    UtestShell* const next = test->getNext();
    const std::string name = NameOf(*test);
    if (std::find(known_red.begin(), known_red.end(), name) ==
        known_red.end()) {
      previous = test;
    } else {
      std::printf("known red, passed over: %s\n", name.c_str());
      if (previous == nullptr) {
        TestRegistry::getCurrentRegistry()->unDoLastAddTest();
      } else {
        previous->addTest(next);
      }
    }
    test = next;
  }
}

}  // namespace

int main(int argc, char** argv) {
  LimitMemory();
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  // A run that selects tests also runs the listed ones.
  const bool selects_tests = argc > 1;
  if (!selects_tests) {
    RemoveKnownRedTests();
  }
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
