// Counts the callers' requests that servers began to run, for usage reports.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

class UsageRecorder {
 public:
  virtual ~UsageRecorder() = default;

  // A server began to run a request of the workspace at `at`.
  virtual void RecordBegun(std::string_view workspace, WallMilliseconds at) = 0;
  // The request of an earlier RecordBegun() with the same arguments did not
  // run.
  virtual void RecordNotRun(std::string_view workspace,
                            WallMilliseconds at) = 0;
};

// Counts one client attempt once, however often this gateway sends it: at the
// earliest send that may have run. A send counts at once and is reverted when
// the server says that it did not run the request: its response may come long
// after the window was reported.
class AttemptUsage {
 public:
  // `recorder` may be null: nothing is counted then, nor without a workspace.
  AttemptUsage(UsageRecorder* recorder, std::string_view workspace)
      : recorder(workspace.empty() ? nullptr : recorder),
        workspace(workspace) {}

  // A plain request is sent to a server.
  void OnSent(std::string_view server_id, WallMilliseconds at) {
    if (this->recorder == nullptr) {
      return;
    }
    this->sends.emplace_back(server_id, at);
    this->Update();
  }
  // The server did not run the request.
  void OnNotRun(std::string_view server_id) {
    for (auto send = this->sends.begin(); send != this->sends.end(); ++send) {
      if (send->first == server_id) {
        this->sends.erase(send);
        this->Update();
        return;
      }
    }
  }
  // The first event of a stream arrived.
  void OnFirstEvent(WallMilliseconds at) {
    if (this->recorder != nullptr && !this->counted_at) {
      this->counted_at = at;
      this->recorder->RecordBegun(this->workspace, at);
    }
  }

 private:
  void Update() {
    std::optional<WallMilliseconds> begun;
    if (!this->sends.empty()) {
      begun = this->sends.front().second;
    }
    if (begun == this->counted_at) {
      return;
    }
    if (this->counted_at) {
      this->recorder->RecordNotRun(this->workspace, *this->counted_at);
    }
    if (begun) {
      this->recorder->RecordBegun(this->workspace, *begun);
    }
    this->counted_at = begun;
  }

  UsageRecorder* recorder;
  std::string workspace;
  // Servers that may run or have run the request and when it was sent to them,
  // in this order.
  std::vector<std::pair<std::string, WallMilliseconds>> sends;
  // Time of the RecordBegun() in effect.
  std::optional<WallMilliseconds> counted_at;
};

}  // namespace carobbank
