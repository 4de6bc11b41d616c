// A binary heap with removal and update of any element. A table holds the
// position of each slot; several heaps may share the table if each slot is in
// at most one of them.

#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace carobbank {

// Positions by slot number.
using HeapPositions = std::vector<std::uint32_t>;

inline constexpr std::uint32_t kNotInHeap = UINT32_MAX;

// Smallest key first. Push, Remove and Update cost O(log n).
template <typename Key>
class IndexedHeap {
 public:
  struct Node {
    Key key;
    std::uint32_t slot;
  };

  bool Empty() const { return this->nodes.empty(); }
  std::size_t Size() const { return this->nodes.size(); }
  const Node& Top() const { return this->nodes.front(); }
  // A leaf: no element on its path from the root sorts after it.
  const Node& Back() const { return this->nodes.back(); }

  void Push(HeapPositions& positions, std::uint32_t slot, Key key) {
    if (positions.size() <= slot) {
      positions.resize(slot + 1, kNotInHeap);
    }
    this->nodes.push_back({std::move(key), slot});
    this->MoveUp(positions, this->nodes.size() - 1);
  }

  // `slot` must be in this heap.
  void Remove(HeapPositions& positions, std::uint32_t slot) {
    const std::size_t hole = positions[slot];
    positions[slot] = kNotInHeap;
    Node last = std::move(this->nodes.back());
    this->nodes.pop_back();
    if (hole == this->nodes.size()) {
      return;
    }
    this->nodes[hole] = std::move(last);
    this->RestoreOrder(positions, hole);
  }

  void Update(HeapPositions& positions, std::uint32_t slot, Key key) {
    const std::size_t index = positions[slot];
    this->nodes[index].key = std::move(key);
    this->RestoreOrder(positions, index);
  }

 private:
  void RestoreOrder(HeapPositions& positions, std::size_t index) {
    const std::size_t moved_to = this->MoveUp(positions, index);
    if (moved_to == index) {
      this->MoveDown(positions, index);
    }
  }

  std::size_t MoveUp(HeapPositions& positions, std::size_t index) {
    Node moving = std::move(this->nodes[index]);
    while (index > 0) {
      const std::size_t parent = (index - 1) / 2;
      if (!(moving.key < this->nodes[parent].key)) {
        break;
      }
      this->Put(positions, index, std::move(this->nodes[parent]));
      index = parent;
    }
    this->Put(positions, index, std::move(moving));
    return index;
  }

  void MoveDown(HeapPositions& positions, std::size_t index) {
    Node moving = std::move(this->nodes[index]);
    const std::size_t size = this->nodes.size();
    while (true) {
      std::size_t child = 2 * index + 1;
      if (child >= size) {
        break;
      }
      const bool right_is_smaller =
          child + 1 < size &&
          this->nodes[child + 1].key < this->nodes[child].key;
      child += right_is_smaller ? 1 : 0;
      if (!(this->nodes[child].key < moving.key)) {
        break;
      }
      this->Put(positions, index, std::move(this->nodes[child]));
      index = child;
    }
    this->Put(positions, index, std::move(moving));
  }

  void Put(HeapPositions& positions, std::size_t index, Node node) {
    positions[node.slot] = static_cast<std::uint32_t>(index);
    this->nodes[index] = std::move(node);
  }

  std::vector<Node> nodes;
};

}  // namespace carobbank
