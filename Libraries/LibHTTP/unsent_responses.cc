// Accounts for unsent responses in order of their start.

#include "LibHTTP/unsent_responses.h"

#include <utility>

namespace carobbank {

std::uint64_t UnsentResponses::Add(std::size_t bytes,
                                   std::function<void()> abort) {
  this->bytes += bytes;
  this->responses.emplace(++this->last_id, Unsent{bytes, std::move(abort)});
  return this->last_id;
}

void UnsentResponses::Remove(std::uint64_t id) {
  const auto found = this->responses.find(id);
  if (found != this->responses.end()) {
    this->bytes -= found->second.bytes;
    this->responses.erase(found);
  }
}

std::vector<std::function<void()>> UnsentResponses::TakeExcess() {
  std::vector<std::function<void()>> aborts;
  while (this->bytes > this->max_bytes && this->responses.size() > 1) {
    const auto oldest = this->responses.begin();
    this->bytes -= oldest->second.bytes;
    aborts.push_back(std::move(oldest->second.abort));
    this->responses.erase(oldest);
  }
  return aborts;
}

}  // namespace carobbank
