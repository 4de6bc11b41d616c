// Strict parsers of the platform's responses: a missing or mistyped member is
// an error.

#include "LibPlatform/platform_parsers.h"

#include <algorithm>

#include "LibPlatform/json_members.h"

namespace carobbank {

namespace {

// Malformed JSON is kCorrupt, as is JSON with missing or mistyped members.
Result<Json::Value> ParseResponseBody(std::string_view text) {
  const auto parsed = Capture([text] { return ParseJson(text); });
  if (!parsed.Ok()) {
    return Fail(ErrorKind::kCorrupt, parsed.GetError().message,
                "check that the address names the right service");
  }
  return parsed.Value();
}

LogRecord ReadLogRecord(const Json::Value& value, JsonObjectReader& page) {
  JsonObjectReader members(value, "log record");
  LogRecord record;
  record.offset = members.Unsigned("offset");
  record.time_ms = members.Integer("time_ms");
  record.payload = members.String("payload");
  if (!members.Ok()) {
    page.Reject("contains a record with a missing or mistyped member");
  }
  return record;
}

bool OffsetsAreConsecutive(const LogPage& page) {
  std::uint64_t expected =
      page.records.empty() ? 0 : page.records.front().offset;
  for (const LogRecord& record : page.records) {
    if (record.offset != expected) {
      return false;
    }
    ++expected;
  }
  return true;
}

bool OffsetsAreWithinStream(const LogPage& page) {
  if (page.records.empty()) {
    return true;
  }
  return page.records.front().offset >= page.first_retained &&
         page.records.back().offset < page.end;
}

InstanceRole ReadRole(JsonObjectReader& members) {
  const std::string role = members.String("role");
  if (role == "entry") {
    return InstanceRole::kEntry;
  }
  if (role != "backend_server") {
    members.Reject("has an unknown role");
  }
  return InstanceRole::kBackendServer;
}

InstanceState ReadState(JsonObjectReader& members) {
  const std::string state = members.String("state");
  if (state == "leaving") {
    return InstanceState::kLeaving;
  }
  if (state != "live") {
    members.Reject("has an unknown state");
  }
  return InstanceState::kLive;
}

Result<ListedInstance> ReadInstance(const Json::Value& value) {
  JsonObjectReader members(value, "listed instance");
  ListedInstance instance;
  instance.id = members.String("id");
  instance.role = ReadRole(members);
  instance.state = ReadState(members);
  instance.data_center = members.String("data_center");
  instance.pool = members.String("pool");
  instance.address = members.String("address");
  instance.incarnation = members.Unsigned("incarnation");
  BOOST_LEAF_CHECK(members.Finish());
  return instance;
}

Result<CacheEvent> ReadCacheEvent(const Json::Value& value) {
  JsonObjectReader members(value, "cache event");
  CacheEvent event;
  event.sequence = members.Unsigned("sequence");
  event.stored = members.Boolean("stored");
  event.prefix_hash = members.DecimalString("prefix");
  BOOST_LEAF_CHECK(members.Finish());
  return event;
}

}  // namespace

Result<std::uint64_t> ParseAppendResponse(std::string_view text) {
  BOOST_LEAF_AUTO(value, ParseResponseBody(text));
  JsonObjectReader members(value, "append response");
  const std::uint64_t offset = members.Unsigned("offset");
  BOOST_LEAF_CHECK(members.Finish());
  return offset;
}

Result<LogPage> ParseLogPage(std::string_view text) {
  BOOST_LEAF_AUTO(value, ParseResponseBody(text));
  JsonObjectReader members(value, "log page");
  LogPage page;
  page.first_retained = members.Unsigned("first_retained");
  page.end = members.Unsigned("end");
  for (const Json::Value& record : members.Array("records")) {
    page.records.push_back(ReadLogRecord(record, members));
  }
  if (!OffsetsAreConsecutive(page) || !OffsetsAreWithinStream(page)) {
    members.Reject(
        "has records whose offsets are out of range or not consecutive");
  }
  BOOST_LEAF_CHECK(members.Finish());
  return page;
}

Result<InstanceListing> ParseInstanceListing(std::string_view text) {
  BOOST_LEAF_AUTO(value, ParseResponseBody(text));
  JsonObjectReader members(value, "instance listing");
  InstanceListing listing;
  listing.version = members.Unsigned("version");
  for (const Json::Value& row : members.Array("instances")) {
    BOOST_LEAF_AUTO(instance, ReadInstance(row));
    listing.instances.push_back(std::move(instance));
  }
  BOOST_LEAF_CHECK(members.Finish());
  return listing;
}

Result<ModelVersions> ParseModelVersions(std::string_view text) {
  BOOST_LEAF_AUTO(value, ParseResponseBody(text));
  JsonObjectReader members(value, "model versions");
  ModelVersions result;
  result.model = members.String("model");
  for (const Json::Value& version : members.Array("versions")) {
    if (!version.isUInt64()) {
      members.Reject("has a version that is not an unsigned integer");
      break;
    }
    result.versions.push_back(version.asUInt64());
  }
  BOOST_LEAF_CHECK(members.Finish());
  std::sort(result.versions.begin(), result.versions.end());
  return result;
}

Result<EngineState> ParseEngineState(std::string_view text) {
  BOOST_LEAF_AUTO(value, ParseResponseBody(text));
  JsonObjectReader members(value, "engine state");
  EngineState state;
  state.model = members.String("model");
  state.version = members.Unsigned("version");
  state.loading = members.Boolean("loading");
  state.last_order_id = members.String("last_order_id");
  state.last_order_failed = members.Boolean("last_order_failed");
  state.fencing_token = members.Unsigned("fencing");
  state.incarnation = members.Unsigned("incarnation");
  BOOST_LEAF_CHECK(members.Finish());
  return state;
}

Result<EngineLoad> ParseEngineLoad(std::string_view text) {
  BOOST_LEAF_AUTO(value, ParseResponseBody(text));
  JsonObjectReader members(value, "engine load");
  EngineLoad load;
  load.as_of_ms = members.Integer("as_of_ms");
  load.running = members.Unsigned32("running");
  load.waiting = members.Unsigned32("waiting");
  load.max_batch = members.Unsigned32("max_batch");
  load.cache_tokens_used = members.Unsigned("cache_tokens_used");
  load.cache_tokens_total = members.Unsigned("cache_tokens_total");
  load.token_interval_us = members.Unsigned("token_interval_us");
  BOOST_LEAF_CHECK(members.Finish());
  return load;
}

Result<CacheEvents> ParseCacheEvents(std::string_view text) {
  BOOST_LEAF_AUTO(value, ParseResponseBody(text));
  JsonObjectReader members(value, "cache event page");
  CacheEvents page;
  page.first_retained = members.Unsigned("first");
  for (const Json::Value& item : members.Array("events")) {
    BOOST_LEAF_AUTO(event, ReadCacheEvent(item));
    page.events.push_back(event);
  }
  BOOST_LEAF_CHECK(members.Finish());
  return page;
}

}  // namespace carobbank
