// Server-sent events (WHATWG HTML, section 9.2): reading and writing.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"

namespace carobbank {

struct ServerSentField {
  std::string name;
  std::string value;
};

struct ServerSentEvent {
  // Empty means "message".
  std::string event;
  std::string data;
  // The event's own id field; empty when it has none.
  std::string id = {};
  // Fields that the specification doesn't name, in order of arrival. A browser
  // ignores them; servers of this system label events with them.
  std::vector<ServerSentField> extension_fields = {};
};

std::string WriteServerSentEvent(const ServerSentEvent& event);

// Incremental reader: feed bytes as they arrive, however they are cut.
class ServerSentEventReader {
 public:
  explicit ServerSentEventReader(std::size_t max_event_bytes = 1024 * 1024)
      : max_event_bytes(max_event_bytes) {}

  // The events that `bytes` completes. Fails with kCorrupt when one event
  // grows past the limit.
  Result<std::vector<ServerSentEvent>> Feed(std::string_view bytes);
  // True when no half-received event is pending.
  bool AtEventBoundary() const;

 private:
  void TakeLine(std::vector<ServerSentEvent>& events);
  void TakeField(std::string_view name, std::string_view value);
  void Dispatch(std::vector<ServerSentEvent>& events);

  std::size_t max_event_bytes;
  // Invariant: holds no line terminator.
  std::string pending_line;
  ServerSentEvent current;
  bool has_data = false;
  // The last byte was a CR, so an LF that follows ends no further line.
  bool after_carriage_return = false;
};

}  // namespace carobbank
