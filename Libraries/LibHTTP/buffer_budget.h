// Memory of received bodies: a budget that many of them share, and a body that
// draws on it.

#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace carobbank {

// Used on one thread.
class BufferBudget {
 public:
  explicit BufferBudget(std::size_t limit) : limit(limit) {}

  // False, without a change, when the limit would be exceeded.
  bool TryReserve(std::size_t bytes) {
    if (bytes > this->limit - this->used) {
      return false;
    }
    this->used += bytes;
    return true;
  }
  void Release(std::size_t bytes) { this->used -= bytes; }
  std::size_t Used() const { return this->used; }

 private:
  std::size_t limit;
  // Invariant: at most `limit`.
  std::size_t used = 0;
};

// A body that grows as it is received. Its first kUncounted bytes are not drawn
// from the budget, so that large bodies leave room for usual ones.
class BufferedBody {
 public:
  explicit BufferedBody(std::shared_ptr<BufferBudget> budget)
      : budget(std::move(budget)) {}
  ~BufferedBody() { this->budget->Release(this->reserved); }
  BufferedBody(const BufferedBody&) = delete;
  BufferedBody& operator=(const BufferedBody&) = delete;

  // False, without a change, when the budget is used up.
  bool Append(std::string_view bytes);
  std::size_t Size() const { return this->text.size(); }
  // Moves the body out, which the budget no longer counts.
  std::string Take();

  static constexpr std::size_t kUncounted = 16 * 1024;

 private:
  std::shared_ptr<BufferBudget> budget;
  std::string text;
  // Invariant: what `text` has beyond kUncounted bytes.
  std::size_t reserved = 0;
};

}  // namespace carobbank
