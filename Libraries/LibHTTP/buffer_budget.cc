// Growth of a body within a budget.

#include "LibHTTP/buffer_budget.h"

#include <utility>

namespace carobbank {

bool BufferedBody::Append(std::string_view bytes) {
  const std::size_t size = this->text.size() + bytes.size();
  const std::size_t counted = size > kUncounted ? size - kUncounted : 0;
  if (!this->budget->TryReserve(counted - this->reserved)) {
    return false;
  }
  this->reserved = counted;
  this->text.append(bytes);
  return true;
}

std::string BufferedBody::Take() {
  this->budget->Release(std::exchange(this->reserved, 0));
  return std::exchange(this->text, std::string());
}

}  // namespace carobbank
