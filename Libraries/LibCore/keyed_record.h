// A record of a compacted log, which retains the newest record of every key.

#pragma once

#include <string>

namespace carobbank {

struct KeyedRecord {
  std::string key;
  // An empty value deletes the key.
  std::string value;
};

}  // namespace carobbank
