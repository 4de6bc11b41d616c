// Field tables: one table per struct defines how each member is read from YAML,
// validated, written and described. Private to LibContract.

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

// Reads, writes and describes one member of S.
template <typename S>
class FieldCodec {
 public:
  virtual ~FieldCodec() = default;
  // Reports issues under `key`, a dotted path.
  virtual void Read(const YAML::Node& node,
                    const std::string& key,
                    YamlDiagnostics& diagnostics,
                    S& target) const = 0;
  virtual void Write(const S& source, YAML::Emitter& emitter) const = 0;
  virtual std::string Range() const = 0;
  virtual std::string DefaultText(const S& defaults) const = 0;
  // Adds the rows of the inner members of a nested struct or a list of structs.
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

// The table of S; specialized beside the parser of each struct.
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

// Reads one member; reports an unknown or repeated key.
template <typename S>
void ReadMember(const YAML::Node& key_node,
                const YAML::Node& value,
                const std::string& prefix,
                YamlDiagnostics& diagnostics,
                std::set<std::string>& seen,
                S& target) {
  if (!key_node.IsScalar()) {
    diagnostics.ReportType(key_node, prefix, "a key",
                           "use a plain word as key");
    return;
  }
  const std::string& name = key_node.Scalar();
  const std::string key = JoinKey(prefix, name.substr(0, 64));
  const Field<S>* field = FindField<S>(name);
  if (field == nullptr) {
    diagnostics.Report(key_node.Mark(), key, "unknown key",
                       "remove it, or use one of: " + KnownKeys<S>());
    return;
  }
  if (!seen.insert(name).second) {
    diagnostics.Report(key_node.Mark(), key, "given twice",
                       "keep one of the two");
    return;
  }
  if (value.IsNull()) {
    // yaml-cpp marks an empty value at the position of the next token, so the
    // issue points at the key.
    diagnostics.Report(key_node.Mark(), key, "has no value",
                       "remove the key, or use " + field->codec->Range());
    return;
  }
  field->codec->Read(value, key, diagnostics, target);
}

// Reads a map into `target`; members without a key in the map keep their value.
template <typename S>
void ReadFields(const YAML::Node& node,
                const std::string& prefix,
                YamlDiagnostics& diagnostics,
                S& target) {
  if (!node.IsMap()) {
    diagnostics.ReportType(node, prefix, "a map", "write `key: value` lines");
    return;
  }
  std::set<std::string> seen;
  for (const auto& member : node) {
    ReadMember(member.first, member.second, prefix, diagnostics, seen, target);
  }
  for (const Field<S>& field : FieldsOf<S>()) {
    const bool missing = !seen.contains(std::string(field.key));
    if (field.presence == Presence::kRequired && missing) {
      diagnostics.Report(node.Mark(), JoinKey(prefix, field.key), "missing",
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
