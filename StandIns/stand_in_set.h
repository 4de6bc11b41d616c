// Several stand-ins in one process, described by a YAML file:
//
//   address: 127.0.0.1
//   seed: 7
//   threads: 2
//   stand_ins:
//     - {role: log, port: 7000, options: {appends_per_second: 300}}
//     - {role: engine, port: 7100, count: 10, options: {time_scale: 0.1}}
//
// `count` creates several stand-ins on consecutive ports. `options` has the
// members of POST /control.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "StandIns/stand_in.h"

namespace carobbank {

struct StandInDescription {
  std::string role;
  StandInOptions options;
  Json::Value control{Json::objectValue};
};

struct StandInSetDescription {
  std::size_t threads = 1;
  std::vector<StandInDescription> stand_ins;

  // Fails with kInvalidArgument; the error's message has the file or the
  // member.
  static Result<StandInSetDescription> Load(const std::string& file);
};

// Runs stand-ins on `threads` event loops, each on its own thread.
class StandInSet {
 public:
  // Fails when a role is unknown, a port is in use or an option is invalid.
  static Result<std::unique_ptr<StandInSet>> Create(
      const StandInSetDescription& description);
  ~StandInSet();
  StandInSet(const StandInSet&) = delete;
  StandInSet& operator=(const StandInSet&) = delete;

  // One line for each stand-in: "<role> <address>:<port>".
  const std::vector<std::string>& Listening() const { return this->listening; }
  // The first stand-in's loop, for signal handlers.
  EventLoop& FirstLoop() { return *this->loops.front(); }
  // Blocks until the first loop is stopped, then stops the others.
  void Run();

 private:
  StandInSet() = default;
  Result<void> Add(const StandInDescription& description);

  // Invariant: stand-ins and loops are destroyed after all threads ended.
  std::vector<std::unique_ptr<EventLoop>> loops;
  std::vector<std::unique_ptr<StandIn>> stand_ins;
  std::vector<std::string> listening;
};

}  // namespace carobbank
