// Valid documents and settings, which tests modify.

#pragma once

#include <string>
#include <string_view>

namespace carobbank {

inline constexpr std::string_view kTokenDigest =
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

// Eight lines, valid.
inline std::string DocumentText(std::string_view name,
                                std::string_view team,
                                int share = 100) {
  return "name: " + std::string(name) + "\nteam: " + std::string(team) +
         "\nkind: model\npool: scorer-lm\nmodel: scorer-lm\nclass: training\n"
         "share: " +
         std::to_string(share) + "\ncallers: [{name: trainer, token_sha256: " +
         std::string(kTokenDigest) + "}]\n";
}

inline std::string EntryText() {
  return "place: {instance: entry-1, data_center: mvd-a, region: uy-sur}\n"
         "platform: {log_url: 'http://127.0.0.1:7000', instance_list_url: "
         "'http://127.0.0.1:7001'}\n"
         "peer: {secret: sixteen-or-more-characters}\n";
}

inline std::string SidecarText() {
  return EntryText() +
         "pool: scorer-lm\n"
         "backend: {url: 'http://127.0.0.1:9000', kind: engine, model: m}\n";
}

// `text` with the first `from` replaced by `to`.
inline std::string Replaced(std::string text,
                            std::string_view from,
                            std::string_view to) {
  const std::size_t position = text.find(from);
  return position == std::string::npos
             ? text
             : text.replace(position, from.size(), to);
}

}  // namespace carobbank
