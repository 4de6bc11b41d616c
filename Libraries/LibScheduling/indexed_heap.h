// A binary heap that also removes from its middle: each slot's position is kept
// in a table, which several heaps share when a slot is in one of them at most.

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
  // A leaf: nothing in the heap sorts behind it on its own path.
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
    this->Settle(positions, hole);
  }

  void Update(HeapPositions& positions, std::uint32_t slot, Key key) {
    const std::size_t place = positions[slot];
    this->nodes[place].key = std::move(key);
    this->Settle(positions, place);
  }

 private:
  void Settle(HeapPositions& positions, std::size_t place) {
    const std::size_t risen = this->MoveUp(positions, place);
    if (risen == place) {
      this->MoveDown(positions, place);
    }
  }

  std::size_t MoveUp(HeapPositions& positions, std::size_t place) {
    Node moving = std::move(this->nodes[place]);
    while (place > 0) {
      const std::size_t parent = (place - 1) / 2;
      if (!(moving.key < this->nodes[parent].key)) {
        break;
      }
      this->Put(positions, place, std::move(this->nodes[parent]));
      place = parent;
    }
    this->Put(positions, place, std::move(moving));
    return place;
  }

  void MoveDown(HeapPositions& positions, std::size_t place) {
    Node moving = std::move(this->nodes[place]);
    const std::size_t size = this->nodes.size();
    while (true) {
      std::size_t child = 2 * place + 1;
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
      this->Put(positions, place, std::move(this->nodes[child]));
      place = child;
    }
    this->Put(positions, place, std::move(moving));
  }

  void Put(HeapPositions& positions, std::size_t place, Node node) {
    positions[node.slot] = static_cast<std::uint32_t>(place);
    this->nodes[place] = std::move(node);
  }

  std::vector<Node> nodes;
};

}  // namespace carobbank
