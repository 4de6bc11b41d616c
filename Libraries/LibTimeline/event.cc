// Names of event kinds and the JSON form of events.

#include "LibTimeline/event.h"

#include <array>

namespace carobbank {

namespace {

struct KindName {
  EventKind kind;
  std::string_view name;
};

constexpr std::array kKindNames = {
    KindName{EventKind::kAdmit, "admit"},
    KindName{EventKind::kQueue, "queue"},
    KindName{EventKind::kSend, "send"},
    KindName{EventKind::kFirstToken, "first_token"},
    KindName{EventKind::kVersionChange, "version_change"},
    KindName{EventKind::kOrder, "order"},
    KindName{EventKind::kRefusal, "refusal"},
    KindName{EventKind::kCommit, "commit"},
    KindName{EventKind::kDeliver, "deliver"},
    KindName{EventKind::kFinish, "finish"},
    KindName{EventKind::kLease, "lease"},
    KindName{EventKind::kDrain, "drain"},
    KindName{EventKind::kConfiguration, "configuration"},
    KindName{EventKind::kMembership, "membership"},
    KindName{EventKind::kLinkReplaced, "link_replaced"},
    KindName{EventKind::kQuarantine, "quarantine"},
    KindName{EventKind::kRetry, "retry"},
    KindName{EventKind::kCancel, "cancel"},
    KindName{EventKind::kPreempt, "preempt"},
    KindName{EventKind::kDuplicate, "duplicate"},
    KindName{EventKind::kClaim, "claim"},
    KindName{EventKind::kStepOwnership, "ownership"},
    KindName{EventKind::kPlatformReachability, "platform"},
    KindName{EventKind::kProcess, "process"},
};

struct TextMember {
  const char* key;
  std::string Event::*member;
};

constexpr std::array kTextMembers = {
    TextMember{"request", &Event::request},
    TextMember{"step", &Event::step},
    TextMember{"sample", &Event::sample},
    TextMember{"attempt", &Event::attempt},
    TextMember{"instance", &Event::instance},
    TextMember{"data_center", &Event::data_center},
    TextMember{"service", &Event::service},
    TextMember{"server", &Event::server},
    TextMember{"detail", &Event::detail},
};

}  // namespace

std::string_view EventKindName(EventKind kind) {
  for (const KindName& known : kKindNames) {
    if (known.kind == kind) {
      return known.name;
    }
  }
  return "process";
}

std::optional<EventKind> ParseEventKind(std::string_view name) {
  for (const KindName& known : kKindNames) {
    if (known.name == name) {
      return known.kind;
    }
  }
  return std::nullopt;
}

std::span<const EventKind> AllEventKinds() {
  static const auto kinds = [] {
    std::array<EventKind, kKindNames.size()> made{};
    for (std::size_t index = 0; index < made.size(); ++index) {
      made[index] = kKindNames[index].kind;
    }
    return made;
  }();
  return kinds;
}

Json::Value EventToJson(const Event& event) {
  Json::Value value(Json::objectValue);
  value["time"] = event.time.Text();
  value["kind"] = std::string(EventKindName(event.kind));
  for (const TextMember& text : kTextMembers) {
    const std::string& content = event.*text.member;
    if (!content.empty()) {
      value[text.key] = content;
    }
  }
  if (event.number != 0) {
    value["number"] = Json::Int64(event.number);
  }
  return value;
}

Result<Event> EventFromJson(const Json::Value& value) {
  const std::string kind_name = JsonString(value, "kind");
  const auto kind = ParseEventKind(kind_name);
  if (!kind) {
    return Fail(ErrorKind::kCorrupt, "unknown event kind '" + kind_name + "'",
                "read the timeline with a carobbank of the same version");
  }
  Event event;
  BOOST_LEAF_ASSIGN(event.time, HybridTime::Parse(JsonString(value, "time")));
  event.kind = *kind;
  for (const TextMember& text : kTextMembers) {
    event.*text.member = JsonString(value, text.key);
  }
  event.number = JsonInteger(value, "number");
  return event;
}

}  // namespace carobbank
