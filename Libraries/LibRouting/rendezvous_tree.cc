// Weighted rendezvous hashing on a trie of server hashes.

#include "LibRouting/rendezvous_tree.h"

#include <cmath>

namespace carobbank {

namespace {

constexpr std::uint32_t kRoot = 0;
constexpr std::uint32_t kNoNode = 0;

std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58'476d'1ce4'e5b9;
  value = (value ^ (value >> 27)) * 0x94d0'49bb'1331'11eb;
  return value ^ (value >> 31);
}

// Identifies a position in the trie by the hash bits on the path to it, so that
// a server's scores don't depend on the order of insertion.
std::uint64_t PositionHash(std::uint64_t path, int child) {
  return Mix(path * 31 + static_cast<std::uint64_t>(child) + 1);
}

// Score of weighted rendezvous hashing: weight / -ln(u), u uniform in (0, 1).
double Score(std::uint64_t key, std::uint64_t position, std::uint32_t weight) {
  const std::uint64_t mixed = Mix(key ^ position);
  const double unit = (static_cast<double>(mixed >> 11) + 0.5) * 0x1.0p-53;
  return static_cast<double>(weight) / -std::log(unit);
}

}  // namespace

RendezvousTree::RendezvousTree() : nodes(1) {}

std::uint32_t RendezvousTree::NewNode() {
  if (!this->free_nodes.empty()) {
    const std::uint32_t node = this->free_nodes.back();
    this->free_nodes.pop_back();
    this->nodes[node] = Node();
    return node;
  }
  this->nodes.emplace_back();
  return static_cast<std::uint32_t>(this->nodes.size() - 1);
}

int RendezvousTree::ChildOf(std::uint64_t hash, int depth) {
  return static_cast<int>((hash >> (depth * kBits)) & (kFanout - 1));
}

bool RendezvousTree::Contains(std::uint64_t hash) const {
  std::uint32_t node = kRoot;
  for (int depth = 0; !this->nodes[node].leaf; ++depth) {
    node = this->nodes[node].children[ChildOf(hash, depth)];
    if (node == kNoNode) {
      return false;
    }
  }
  return this->nodes[node].count > 0 && this->nodes[node].hash == hash;
}

void RendezvousTree::Insert(std::uint64_t hash, std::uint32_t value) {
  if (this->Contains(hash)) {
    return;
  }
  std::uint32_t node = kRoot;
  for (int depth = 0;; ++depth) {
    if (this->nodes[node].count == 0) {
      this->nodes[node].count = 1;
      this->nodes[node].hash = hash;
      this->nodes[node].value = value;
      return;
    }
    if (this->nodes[node].leaf) {
      this->Split(node, depth);
    }
    ++this->nodes[node].count;
    const int child = ChildOf(hash, depth);
    if (this->nodes[node].children[child] == kNoNode) {
      const std::uint32_t created = this->NewNode();
      this->nodes[node].children[child] = created;
    }
    node = this->nodes[node].children[child];
  }
}

void RendezvousTree::Split(std::uint32_t node, int depth) {
  const std::uint32_t created = this->NewNode();
  Node& parent = this->nodes[node];
  Node& below = this->nodes[created];
  below.count = 1;
  below.hash = parent.hash;
  below.value = parent.value;
  parent.children[ChildOf(parent.hash, depth)] = created;
  parent.leaf = false;
  parent.value = kNone;
}

void RendezvousTree::Erase(std::uint64_t hash, std::uint32_t value) {
  std::vector<std::uint32_t> path;
  std::uint32_t node = kRoot;
  for (int depth = 0; !this->nodes[node].leaf; ++depth) {
    path.push_back(node);
    node = this->nodes[node].children[ChildOf(hash, depth)];
    if (node == kNoNode) {
      return;
    }
  }
  const Node& leaf = this->nodes[node];
  if (leaf.count == 0 || leaf.hash != hash || leaf.value != value) {
    return;
  }
  this->nodes[node] = Node();
  std::uint32_t emptied = node;
  for (int depth = static_cast<int>(path.size()) - 1; depth >= 0; --depth) {
    Node& parent = this->nodes[path[depth]];
    --parent.count;
    if (emptied != kNoNode) {
      parent.children[ChildOf(hash, depth)] = kNoNode;
      this->free_nodes.push_back(emptied);
    }
    emptied = parent.count == 0 ? path[depth] : kNoNode;
    if (parent.count == 0) {
      parent = Node();
    }
  }
}

std::uint32_t RendezvousTree::Find(std::uint64_t key) const {
  std::uint32_t node = kRoot;
  std::uint64_t path = 0;
  while (!this->nodes[node].leaf) {
    const Node& parent = this->nodes[node];
    double best_score = -1;
    std::uint32_t best = kNoNode;
    std::uint64_t best_path = path;
    for (int child = 0; child < kFanout; ++child) {
      const std::uint32_t candidate = parent.children[child];
      if (candidate == kNoNode) {
        continue;
      }
      const std::uint64_t position = PositionHash(path, child);
      const double score = Score(key, position, this->nodes[candidate].count);
      if (score > best_score) {
        best_score = score;
        best = candidate;
        best_path = position;
      }
    }
    node = best;
    path = best_path;
  }
  return this->nodes[node].value;
}

}  // namespace carobbank
