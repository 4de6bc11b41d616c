// Guards against a snapshot that never ends because of a key that another
// writer of the store has chosen.

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
constexpr std::uint64_t kEnd = 1'000;
constexpr std::size_t kKeysPerPage = 3;

// Keyed records of one partition, returned by pages in order of their keys.
class FakeStorePages {
 public:
  // Values by key.
  std::map<std::string, std::string> values;

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
    return {kOk, {}, this->Page(parsed.Query("after").value_or(""))};
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

}  // namespace carobbank
