// The complete responses that a server's connections have not written yet,
// oldest first, and which of them to give up when they hold too much memory.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace carobbank {

// Used on one thread.
class UnsentResponses {
 public:
  // 0: no limit.
  explicit UnsentResponses(std::size_t max_bytes) : max_bytes(max_bytes) {}

  bool Limited() const { return this->max_bytes > 0; }
  // `abort` closes the connection. Returns the response's id, never 0.
  std::uint64_t Add(std::size_t bytes, std::function<void()> abort);
  void Remove(std::uint64_t id);
  // Removes the oldest responses until the limit holds, and returns how to
  // abort them. The newest response stays whatever its size: its peer has had
  // no time to read.
  std::vector<std::function<void()>> TakeExcess();
  std::size_t Bytes() const { return this->bytes; }

 private:
  struct Unsent {
    std::size_t bytes = 0;
    std::function<void()> abort;
  };

  std::size_t max_bytes;
  // Invariant: the sum over `responses`.
  std::size_t bytes = 0;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, Unsent> responses;
};

}  // namespace carobbank
