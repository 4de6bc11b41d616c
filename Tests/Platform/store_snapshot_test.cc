// Guards against a snapshot that never ends, or that lacks readable records,
// because of keys, values or pages that other writers of the store have caused.

#include "Tests/Support/fake_http.h"
#include "Tests/Support/loop_runner.h"
#include "platform/store_log.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace carobbank {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kServiceUnavailable = 503;
constexpr std::uint64_t kEnd = 1'000;
constexpr std::uint64_t kFirstRetained = 700;
constexpr std::size_t kKeysPerPage = 3;

// Keyed records of one partition, returned by pages in order of their keys.
class FakeStorePages {
 public:
  // Values by key.
  std::map<std::string, std::string> values;
  // Pages, by the key that they follow, that the store responds with instead.
  std::map<std::string, ScriptedResponse> responses;
  // Keys that the store takes for no key at all when they are a cursor.
  std::string forgotten_cursor;
  // An item that is returned as it is, instead of the record of its key.
  std::map<std::string, std::string> raw_items;

  ScriptedResponse Respond(const HttpClientRequest& request) const {
    HttpRequest parsed;
    parsed.target = request.url.substr(std::string("http://store:1").size());
    const bool is_valid =
        std::ranges::all_of(parsed.target, [](unsigned char character) {
          return character > ' ' && character < 0x7f;
        });
    if (!is_valid) {
      ScriptedResponse unsent;
      unsent.ending = ScriptedResponse::Ending::kNotSent;
      return unsent;
    }
    if (parsed.Path() == "/v1/log-read") {
      return {kGone, {}, R"({"first":700})"};
    }
    std::string after = parsed.Query("after").value_or("");
    if (const auto found = this->responses.find(after);
        found != this->responses.end()) {
      return found->second;
    }
    if (!after.empty() && after == this->forgotten_cursor) {
      after.clear();
    }
    return {kOk, {}, this->Page(after)};
  }

 private:
  std::string Page(const std::string& after) const {
    std::string items;
    std::size_t count = 0;
    auto entry = this->values.upper_bound(after);
    for (; entry != this->values.end() && count < kKeysPerPage; ++entry) {
      items += (count++ == 0 ? "" : ",") + this->Item(entry->first);
    }
    const bool has_more = entry != this->values.end();
    return R"({"items":[)" + items + R"(],"has_more":)" +
           (has_more ? "true" : "false") + R"(,"end":)" + std::to_string(kEnd) +
           "}";
  }

  std::string Item(const std::string& key) const {
    if (const auto raw = this->raw_items.find(key);
        raw != this->raw_items.end()) {
      return raw->second;
    }
    Json::Value item;
    item["key"] = key;
    item["value"] = EncodeBase64(this->values.at(key));
    item["offset"] = Json::UInt64(
        std::distance(this->values.begin(), this->values.find(key)));
    return WriteJson(item);
  }
};

}  // namespace

TEST_GROUP(StoreSnapshot) {
  LoopRunner runner;
  FakeHttpClient client{runner.loop};
  FakeStorePages store;
  std::unique_ptr<PartitionedLog> log =
      MakeStoreLog(client, {.address = "store:1"});
  std::optional<Outcome<KeyedSnapshot>> outcome;

  void setup() override {
    this->client.answer = [this](const HttpClientRequest& request) {
      return this->store.Respond(request);
    };
    for (const char* const key : {"a", "b", "x", "y", "z"}) {
      this->store.values[key] = "value";
    }
  }

  const Outcome<KeyedSnapshot>& Read() {
    this->outcome.reset();
    this->log->ReadSnapshot({"keyed.servers", 0}, [this](auto read) {
      this->outcome.emplace(std::move(read));
    });
    constexpr std::size_t kMaxCalls = 200;
    this->runner.RunUntil([this] {
      return this->outcome || this->client.seen.size() > kMaxCalls;
    });
    CHECK_TRUE_TEXT(this->outcome.has_value(), "the snapshot doesn't end");
    return *this->outcome;
  }

  bool HasKeys(const std::vector<std::string>& keys) const {
    return this->outcome->Ok() &&
           std::ranges::all_of(keys, [this](const std::string& key) {
             return std::ranges::any_of(this->outcome->Value().records,
                                        [&key](const KeyedLogRecord& record) {
                                          return record.record.key == key;
                                        });
           });
  }
};

TEST(StoreSnapshot, EndsThoughAPageEndsWithAKeyOfReservedCharacters) {
  for (const std::string key :
       {"c&d", "c+d", "c#d", "c%41", "c d", "c/\xc3\xbc\"\\", "c\td", "c\nd",
        "c\x01", "c?d=e", "c&after=a"}) {
    this->store.values[key] = "value";
    this->client.seen.clear();
    const Outcome<KeyedSnapshot>& read = this->Read();
    CHECK_TRUE_TEXT(read.Ok(), key.c_str());
    CHECK_TRUE_TEXT(this->HasKeys({"a", "b", key, "x", "y", "z"}), key.c_str());
    LONGS_EQUAL(6, read.Value().records.size());
    this->store.values.erase(key);
  }
}

TEST(StoreSnapshot, EndsThoughKeysOfManyPagesShareTheTextBeforeAnAmpersand) {
  for (int i = 0; i < 10; ++i) {
    this->store.values["c&" + std::to_string(i)] = "value";
  }
  CHECK_TRUE(this->Read().Ok());
  LONGS_EQUAL(15, this->outcome->Value().records.size());
}

TEST(StoreSnapshot, LeavesOutOnlyAnItemThatIsNotJson) {
  for (const std::string raw :
       {R"({"key":"c\x","value":"eA==","offset":2})",
        R"({"key":"c\ud800","value":"eA==","offset":2})",
        R"({"key":"c","value":"]},{","offset":nope})", R"({"key":c})",
        R"({"key":"","value":"eA==","offset":2})", "7", "[1,{}]"}) {
    this->store.values["c"] = "value";
    this->store.raw_items["c"] = raw;
    this->client.seen.clear();
    CHECK_TRUE_TEXT(this->Read().Ok(), raw.c_str());
    CHECK_TRUE_TEXT(this->HasKeys({"a", "b", "x", "y", "z"}), raw.c_str());
    LONGS_EQUAL(5, this->outcome->Value().records.size());
  }
}

TEST(StoreSnapshot, LeavesOutOnlyAValueThatIsNotBase64) {
  this->store.raw_items["b"] = R"({"key":"b","value":"*","offset":1})";
  CHECK_TRUE(this->Read().Ok());
  CHECK_TRUE(this->HasKeys({"a", "x", "y", "z"}));
}

TEST(StoreSnapshot, EndsThoughTheStoreBeginsAnewAfterAKey) {
  this->store.values["c"] = "value";
  this->store.forgotten_cursor = "c";
  CHECK_TRUE(this->Read().Ok());
  CHECK_TRUE(this->HasKeys({"a", "b", "c", "x", "y", "z"}));
  LONGS_EQUAL(6, this->outcome->Value().records.size());
}

TEST(StoreSnapshot, EndsThoughTheStoreRefusesAKeyAsTheCursor) {
  for (const int status : {kBadRequest, kNotFound}) {
    this->store.values["c"] = "value";
    this->store.responses["c"] = {status, {}, ""};
    this->client.seen.clear();
    CHECK_TRUE(this->Read().Ok());
    CHECK_TRUE(this->HasKeys({"a", "b", "c", "x", "y", "z"}));
  }
}

TEST(StoreSnapshot, EndsThoughThePageAfterAKeyCannotBeRead) {
  this->store.values["c"] = "value";
  this->store.responses["c"] = {kOk, {}, R"({"items":[{"key)"};
  CHECK_TRUE(this->Read().Ok());
  CHECK_TRUE(this->HasKeys({"a", "b", "c", "x", "y", "z"}));
}

TEST(StoreSnapshot, NamesWhatIsMissingWhenNoFurtherPageCanBeRead) {
  for (const char* const key : {"a", "b", "x"}) {
    this->store.responses[key] = {kOk, {}, "garbage"};
  }
  CHECK_TRUE(this->Read().Ok());
  CHECK_TRUE(this->HasKeys({"a", "b", "x"}));
  CHECK_FALSE(this->outcome->Value().missing.empty());
  LONGS_EQUAL(kFirstRetained, this->outcome->Value().end);
}

TEST(StoreSnapshot, IsReadOnFromTheOldestRecordWhenNoPageCanBeRead) {
  this->store.responses[""] = {kOk, {}, "garbage"};
  CHECK_TRUE(this->Read().Ok());
  LONGS_EQUAL(0, this->outcome->Value().records.size());
  CHECK_FALSE(this->outcome->Value().missing.empty());
  LONGS_EQUAL(kFirstRetained, this->outcome->Value().end);
}

TEST(StoreSnapshot, IsCompleteAfterAPageOnceCouldNotBeRead) {
  bool first = true;
  this->client.answer = [this, &first](const HttpClientRequest& request) {
    ScriptedResponse response = this->store.Respond(request);
    if (std::exchange(first, false)) {
      response.body = "garbage";
    }
    return response;
  };
  CHECK_TRUE(this->Read().Ok());
  LONGS_EQUAL(5, this->outcome->Value().records.size());
  CHECK_TRUE(this->outcome->Value().missing.empty());
}

TEST(StoreSnapshot, OmitsRecordsPastTheLowestEndOfItsPages) {
  this->store.raw_items["b"] = R"({"key":"b","value":"eA==","offset":999})";
  this->store.responses["x"] = {
      kOk,
      {},
      R"({"items":[{"key":"y","value":"eA==","offset":998}],"end":999})"};
  CHECK_TRUE(this->Read().Ok());
  LONGS_EQUAL(999, this->outcome->Value().end);
  CHECK_TRUE(this->HasKeys({"a", "x", "y"}));
  CHECK_FALSE(this->HasKeys({"b"}));
}

TEST(StoreSnapshot, FailsWhenTheStoreIsUnavailable) {
  this->store.responses["x"] = {kServiceUnavailable, {}, ""};
  CHECK_FALSE(this->Read().Ok());
  CHECK_TRUE(this->outcome->GetError().kind == ErrorKind::kUnavailable);
}

}  // namespace carobbank
