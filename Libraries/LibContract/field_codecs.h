// Codecs of the member types: numbers, strings, choices, nested structs and
// lists.
// Private to LibContract.

#pragma once

#include <limits>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibContract/fields.h"
#include "LibContract/text_rules.h"

namespace carobbank {

template <typename S>
class IntegerCodec final : public FieldCodec<S> {
 public:
  IntegerCodec(std::int64_t S::*member, std::int64_t low, std::int64_t high)
      : member(member), low(low), high(high) {}

  void Read(const YAML::Node& node,
            const std::string& key,
            YamlDiagnostics& diagnostics,
            S& target) const override {
    const auto number = YamlInteger(node);
    const std::string remedy = "use a whole number in " + this->Range();
    if (!number) {
      diagnostics.ReportType(node, key, "a whole number", remedy);
      return;
    }
    if (*number < this->low || *number > this->high) {
      diagnostics.Report(node.Mark(), key,
                         "out of range: " + std::to_string(*number), remedy);
      return;
    }
    target.*this->member = *number;
  }
  void Write(const S& source, YAML::Emitter& emitter) const override {
    emitter << source.*this->member;
  }
  std::string Range() const override {
    return std::to_string(this->low) + " to " + std::to_string(this->high);
  }
  std::string DefaultText(const S& defaults) const override {
    return std::to_string(defaults.*this->member);
  }

 private:
  std::int64_t S::*member;
  std::int64_t low;
  std::int64_t high;
};

template <typename S>
class RealCodec final : public FieldCodec<S> {
 public:
  RealCodec(double S::*member, double low, double high)
      : member(member), low(low), high(high) {}

  void Read(const YAML::Node& node,
            const std::string& key,
            YamlDiagnostics& diagnostics,
            S& target) const override {
    const auto number = YamlReal(node);
    const std::string remedy = "use a number in " + this->Range();
    if (!number) {
      diagnostics.ReportType(node, key, "a number", remedy);
      return;
    }
    if (*number < this->low || *number > this->high) {
      diagnostics.Report(node.Mark(), key, "out of range: " + RealText(*number),
                         remedy);
      return;
    }
    target.*this->member = *number;
  }
  void Write(const S& source, YAML::Emitter& emitter) const override {
    emitter << RealText(source.*this->member);
  }
  std::string Range() const override {
    return RealText(this->low) + " to " + RealText(this->high);
  }
  std::string DefaultText(const S& defaults) const override {
    return RealText(defaults.*this->member);
  }

 private:
  double S::*member;
  double low;
  double high;
};

template <typename S>
class BooleanCodec final : public FieldCodec<S> {
 public:
  explicit BooleanCodec(bool S::*member) : member(member) {}

  void Read(const YAML::Node& node,
            const std::string& key,
            YamlDiagnostics& diagnostics,
            S& target) const override {
    const auto value = YamlBoolean(node);
    if (!value) {
      diagnostics.ReportType(node, key, "true or false", "write true or false");
      return;
    }
    target.*this->member = *value;
  }
  void Write(const S& source, YAML::Emitter& emitter) const override {
    emitter << source.*this->member;
  }
  std::string Range() const override { return "true, false"; }
  std::string DefaultText(const S& defaults) const override {
    return defaults.*this->member ? "true" : "false";
  }

 private:
  bool S::*member;
};

template <typename S>
class TextCodec final : public FieldCodec<S> {
 public:
  TextCodec(std::string S::*member, const TextRule& rule)
      : member(member), rule(rule) {}

  void Read(const YAML::Node& node,
            const std::string& key,
            YamlDiagnostics& diagnostics,
            S& target) const override {
    const std::string remedy = "use " + std::string(this->rule.range);
    if (!node.IsScalar()) {
      diagnostics.ReportType(node, key, "text", remedy);
      return;
    }
    if (!this->rule.accepts(node.Scalar())) {
      // The issue omits the value, since it may be a secret.
      diagnostics.Report(node.Mark(), key, "not an acceptable value", remedy);
      return;
    }
    target.*this->member = node.Scalar();
  }
  void Write(const S& source, YAML::Emitter& emitter) const override {
    emitter << YAML::DoubleQuoted << source.*this->member;
  }
  std::string Range() const override { return std::string(this->rule.range); }
  std::string DefaultText(const S& defaults) const override {
    const std::string& text = defaults.*this->member;
    return text.empty() ? "none" : "`" + text + "`";
  }

 private:
  std::string S::*member;
  TextRule rule;
};

template <typename E>
struct ChoiceName {
  E value;
  std::string_view name;
};

template <typename S, typename E>
class ChoiceCodec final : public FieldCodec<S> {
 public:
  ChoiceCodec(E S::*member, std::span<const ChoiceName<E>> names)
      : member(member), names(names) {}

  void Read(const YAML::Node& node,
            const std::string& key,
            YamlDiagnostics& diagnostics,
            S& target) const override {
    for (const ChoiceName<E>& known : this->names) {
      if (node.IsScalar() && node.Scalar() == known.name) {
        target.*this->member = known.value;
        return;
      }
    }
    diagnostics.ReportType(node, key, "one of " + this->Range(),
                           "choose one of these");
  }
  void Write(const S& source, YAML::Emitter& emitter) const override {
    emitter << std::string(this->Name(source));
  }
  std::string Range() const override {
    std::string text;
    for (const ChoiceName<E>& known : this->names) {
      text += text.empty() ? "" : ", ";
      text += known.name;
    }
    return text;
  }
  std::string DefaultText(const S& defaults) const override {
    return "`" + std::string(this->Name(defaults)) + "`";
  }

 private:
  std::string_view Name(const S& source) const {
    for (const ChoiceName<E>& known : this->names) {
      if (known.value == source.*this->member) {
        return known.name;
      }
    }
    return "";
  }

  E S::*member;
  std::span<const ChoiceName<E>> names;
};

template <typename S, typename Inner>
class NestedCodec final : public FieldCodec<S> {
 public:
  explicit NestedCodec(Inner S::*member) : member(member) {}

  void Read(const YAML::Node& node,
            const std::string& key,
            YamlDiagnostics& diagnostics,
            S& target) const override {
    ReadFields(node, key, diagnostics, target.*this->member);
  }
  void Write(const S& source, YAML::Emitter& emitter) const override {
    WriteFields(source.*this->member, emitter);
  }
  std::string Range() const override { return "map"; }
  std::string DefaultText(const S&) const override { return "see below"; }
  void DescribeInner(const std::string& key,
                     std::vector<FieldDescription>& rows) const override {
    DescribeFields<Inner>(key, rows);
  }

 private:
  Inner S::*member;
};

template <typename S, typename Inner>
class ListCodec final : public FieldCodec<S> {
 public:
  ListCodec(std::vector<Inner> S::*member, std::size_t low, std::size_t high)
      : member(member), low(low), high(high) {}

  void Read(const YAML::Node& node,
            const std::string& key,
            YamlDiagnostics& diagnostics,
            S& target) const override {
    const std::string remedy = "write a " + this->Range();
    if (!node.IsSequence()) {
      diagnostics.ReportType(node, key, "a list", remedy);
      return;
    }
    if (node.size() < this->low || node.size() > this->high) {
      diagnostics.Report(node.Mark(), key,
                         "has " + std::to_string(node.size()) + " items",
                         remedy);
      return;
    }
    std::vector<Inner> items;
    for (const auto& item : node) {
      const std::string index_suffix = "[" + std::to_string(items.size()) + "]";
      ReadFields(item, key + index_suffix, diagnostics, items.emplace_back());
    }
    target.*this->member = std::move(items);
  }
  void Write(const S& source, YAML::Emitter& emitter) const override {
    emitter << YAML::BeginSeq;
    for (const Inner& item : source.*this->member) {
      WriteFields(item, emitter);
    }
    emitter << YAML::EndSeq;
  }
  std::string Range() const override {
    return "list of " + std::to_string(this->low) + " to " +
           std::to_string(this->high);
  }
  std::string DefaultText(const S&) const override { return "empty"; }
  void DescribeInner(const std::string& key,
                     std::vector<FieldDescription>& rows) const override {
    DescribeFields<Inner>(key + "[]", rows);
  }

 private:
  std::vector<Inner> S::*member;
  std::size_t low;
  std::size_t high;
};

// Functions that build the codecs of a field table.

template <typename S>
auto Integer(std::int64_t S::*member, std::int64_t low, std::int64_t high) {
  return std::make_shared<IntegerCodec<S>>(member, low, high);
}

template <typename S>
auto Real(double S::*member, double low, double high) {
  return std::make_shared<RealCodec<S>>(member, low, high);
}

template <typename S>
auto Boolean(bool S::*member) {
  return std::make_shared<BooleanCodec<S>>(member);
}

template <typename S>
auto Text(std::string S::*member, const TextRule& rule) {
  return std::make_shared<TextCodec<S>>(member, rule);
}

template <typename S, typename E, std::size_t N>
auto Choice(E S::*member, const std::array<ChoiceName<E>, N>& names) {
  return std::make_shared<ChoiceCodec<S, E>>(member, names);
}

template <typename S, typename Inner>
auto Nested(Inner S::*member) {
  return std::make_shared<NestedCodec<S, Inner>>(member);
}

template <typename S, typename Inner>
auto List(std::vector<Inner> S::*member, std::size_t low, std::size_t high) {
  return std::make_shared<ListCodec<S, Inner>>(member, low, high);
}

}  // namespace carobbank
