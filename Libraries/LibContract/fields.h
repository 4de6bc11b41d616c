// Tables of fields: one table per struct says how each of its members is read
// from YAML, checked, written and described. Private to LibContract.

#pragma once

#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibContract/field_description.h"
#include "LibContract/yaml_text.h"

namespace carobbank {

// How one member of S is read, written and described.
template <typename S>
class FieldCodec {
 public:
  virtual ~FieldCodec() = default;
  // Reports what is wrong under `key`, a dotted path.
  virtual void Read(const YAML::Node& node,
                    const std::string& key,
                    YamlContext& context,
                    S& target) const = 0;
  virtual void Write(const S& source, YAML::Emitter& emitter) const = 0;
  virtual std::string Range() const = 0;
  virtual std::string DefaultText(const S& defaults) const = 0;
  // Rows for the members inside, for maps and lists of maps.
  virtual void DescribeInner(const std::string& key,
                             std::vector<FieldDescription>& rows) const {
    (void)key;
    (void)rows;
  }
};

enum class Presence { kRequired, kOptional };

template <typename S>
struct Field {
  std::string_view key;
  Presence presence = Presence::kOptional;
  std::string_view unit;
  std::string_view meaning;
  std::shared_ptr<const FieldCodec<S>> codec;
};

// The table of S; specialised beside each struct's reader.
template <typename S>
const std::vector<Field<S>>& FieldsOf();

template <typename S>
const Field<S>* FindField(std::string_view key) {
  for (const Field<S>& field : FieldsOf<S>()) {
    if (field.key == key) {
      return &field;
    }
  }
  return nullptr;
}

template <typename S>
std::string KnownKeys() {
  std::string text;
  for (const Field<S>& field : FieldsOf<S>()) {
    text += text.empty() ? "" : ", ";
    text += field.key;
  }
  return text;
}

inline std::string JoinKey(const std::string& prefix, std::string_view key) {
  return prefix.empty() ? std::string(key) : prefix + "." + std::string(key);
}

// Reads one member, unless its key is unknown or was given before.
template <typename S>
void ReadMember(const YAML::Node& key_node,
                const YAML::Node& value,
                const std::string& prefix,
                YamlContext& context,
                std::set<std::string>& seen,
                S& target) {
  if (!key_node.IsScalar()) {
    context.ReportType(key_node, prefix, "a key", "use a plain word as key");
    return;
  }
  const std::string& name = key_node.Scalar();
  const std::string key = JoinKey(prefix, name.substr(0, 64));
  const Field<S>* field = FindField<S>(name);
  if (field == nullptr) {
    context.Report(key_node.Mark(), key, "unknown key",
                   "remove it, or use one of: " + KnownKeys<S>());
    return;
  }
  if (!seen.insert(name).second) {
    context.Report(key_node.Mark(), key, "given twice", "keep one of the two");
    return;
  }
  if (value.IsNull()) {
    // yaml-cpp marks an empty value where the next token stands.
    context.Report(key_node.Mark(), key, "has no value",
                   "remove the key, or use " + field->codec->Range());
    return;
  }
  field->codec->Read(value, key, context, target);
}

// Reads a map into `target`; members that are not given keep their value.
template <typename S>
void ReadFields(const YAML::Node& node,
                const std::string& prefix,
                YamlContext& context,
                S& target) {
  if (!node.IsMap()) {
    context.ReportType(node, prefix, "a map", "write `key: value` lines");
    return;
  }
  std::set<std::string> seen;
  for (const auto& member : node) {
    ReadMember(member.first, member.second, prefix, context, seen, target);
  }
  for (const Field<S>& field : FieldsOf<S>()) {
    const bool missing = !seen.contains(std::string(field.key));
    if (field.presence == Presence::kRequired && missing) {
      context.Report(node.Mark(), JoinKey(prefix, field.key), "missing",
                     "add it: " + std::string(field.meaning) + ", " +
                         field.codec->Range());
    }
  }
}

template <typename S>
void WriteFields(const S& source, YAML::Emitter& emitter) {
  emitter << YAML::BeginMap;
  for (const Field<S>& field : FieldsOf<S>()) {
    emitter << YAML::Key << std::string(field.key) << YAML::Value;
    field.codec->Write(source, emitter);
  }
  emitter << YAML::EndMap;
}

template <typename S>
void DescribeFields(const std::string& prefix,
                    std::vector<FieldDescription>& rows) {
  const S defaults;
  for (const Field<S>& field : FieldsOf<S>()) {
    const std::string key = JoinKey(prefix, field.key);
    const bool required = field.presence == Presence::kRequired;
    rows.push_back({key, std::string(field.unit), field.codec->Range(),
                    required ? "required" : field.codec->DefaultText(defaults),
                    std::string(field.meaning)});
    field.codec->DescribeInner(key, rows);
  }
}

}  // namespace carobbank
