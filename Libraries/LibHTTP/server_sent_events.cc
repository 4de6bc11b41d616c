// Line-based reader and writer of text/event-stream.

#include "LibHTTP/server_sent_events.h"

#include <algorithm>

namespace carobbank {

namespace {

// The value after the colon, without one leading space.
std::string_view FieldValue(std::string_view line, std::size_t colon) {
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

}  // namespace

bool IsEventStream(const HttpHeaders& headers) {
  std::string_view type = FindHeader(headers, "content-type").value_or("");
  type = type.substr(0, type.find(';'));
  while (type.ends_with(' ') || type.ends_with('\t')) {
    type.remove_suffix(1);
  }
  return HeaderNamesEqual(type, "text/event-stream");
}

std::string WriteServerSentEvent(const ServerSentEvent& event) {
  std::string text;
  text.reserve(event.event.size() + event.data.size() + 24);
  if (!event.event.empty()) {
    text.append("event: ").append(event.event).append("\n");
  }
  if (!event.id.empty()) {
    text.append("id: ").append(event.id).append("\n");
  }
  for (const ServerSentField& field : event.extension_fields) {
    text.append(field.name).append(": ").append(field.value).append("\n");
  }
  std::string_view rest = event.data;
  while (true) {
    // A CR also ends a line, so the data is split at a CR as well.
    const std::size_t end = rest.find_first_of("\r\n");
    text.append("data: ").append(rest.substr(0, end)).append("\n");
    if (end == std::string_view::npos) {
      break;
    }
    rest.remove_prefix(end + 1);
  }
  text.append("\n");
  return text;
}

Result<std::vector<ServerSentEvent>> ServerSentEventReader::Feed(
    std::string_view bytes) {
  std::vector<ServerSentEvent> events;
  while (!bytes.empty()) {
    // A line ends with CR, LF or both; the LF after a CR is skipped.
    if (this->after_carriage_return) {
      this->after_carriage_return = false;
      if (bytes.front() == '\n') {
        bytes.remove_prefix(1);
        continue;
      }
    }
    const std::size_t end = std::min(bytes.find_first_of("\r\n"), bytes.size());
    this->pending_line.append(bytes.substr(0, end));
    if (this->event_bytes + this->pending_line.size() > this->max_event_bytes) {
      return Fail(ErrorKind::kCorrupt,
                  "a server-sent event is longer than " +
                      std::to_string(this->max_event_bytes) + " bytes",
                  "send smaller events, or raise the reader's limit");
    }
    if (end == bytes.size()) {
      break;
    }
    this->after_carriage_return = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    this->ProcessLine(events);
  }
  return events;
}

void ServerSentEventReader::ProcessLine(std::vector<ServerSentEvent>& events) {
  const std::string_view line = this->pending_line;
  if (line.empty()) {
    this->Dispatch(events);
    return;
  }
  const std::size_t colon = std::min(line.find(':'), line.size());
  this->event_bytes += colon == 0 ? 0 : line.size();
  const std::string_view value =
      colon == line.size() ? std::string_view() : FieldValue(line, colon);
  this->ProcessField(line.substr(0, colon), value);
  this->pending_line.clear();
}

void ServerSentEventReader::ProcessField(std::string_view name,
                                         std::string_view value) {
  if (name == "event") {
    this->current.event = value;
  } else if (name == "data") {
    if (this->has_data) {
      this->current.data.push_back('\n');
    }
    this->current.data.append(value);
    this->has_data = true;
  } else if (name == "id") {
    this->current.id = value;
  } else if (!name.empty() && name != "retry") {
    this->current.extension_fields.push_back(
        {std::string(name), std::string(value)});
  }
  // A comment has an empty name and is ignored, as the specification requires.
}

void ServerSentEventReader::Dispatch(std::vector<ServerSentEvent>& events) {
  if (this->has_data) {
    events.push_back(std::move(this->current));
  }
  this->current = ServerSentEvent();
  this->has_data = false;
  this->event_bytes = 0;
}

bool ServerSentEventReader::AtEventBoundary() const {
  return this->pending_line.empty() && !this->has_data &&
         this->current.event.empty();
}

}  // namespace carobbank
