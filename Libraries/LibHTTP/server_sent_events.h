// Reads and writes server-sent events (WHATWG HTML, section 9.2).

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "LibCore/core.h"
#include "LibHTTP/http_message.h"

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
  // Fields that the specification doesn't define, in order of arrival. Browsers
  // ignore them; servers of this system use them as event metadata.
  std::vector<ServerSentField> extension_fields = {};
};

// Whether Content-Type is text/event-stream, with any parameters.
bool IsEventStream(const HttpHeaders& headers);

std::string WriteServerSentEvent(const ServerSentEvent& event);

// Incremental parser: accepts the stream's bytes in fragments of any size.
class ServerSentEventReader {
 public:
  explicit ServerSentEventReader(std::size_t max_event_bytes = 1024 * 1024)
      : max_event_bytes(max_event_bytes) {}

  // Returns the events that `bytes` completes. Fails with kCorrupt when an
  // event exceeds the limit.
  Result<std::vector<ServerSentEvent>> Feed(std::string_view bytes);
  // True when no incomplete event is pending.
  bool AtEventBoundary() const;

 private:
  void ProcessLine(std::vector<ServerSentEvent>& events);
  void ProcessField(std::string_view name, std::string_view value);
  void Dispatch(std::vector<ServerSentEvent>& events);

  std::size_t max_event_bytes;
  // Invariant: contains no line terminator.
  std::string pending_line;
  ServerSentEvent current;
  bool has_data = false;
  // Of the current event's lines, but for comments.
  std::size_t event_bytes = 0;
  // The last byte was a CR, so a following LF belongs to the same line end.
  bool after_carriage_return = false;
};

}  // namespace carobbank
