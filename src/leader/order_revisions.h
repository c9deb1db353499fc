#pragma once
/// @file
/// Keeps orders that name no version to build on, such as evacuations, from being carried out after
/// a newer order for the same object. Each object has a current revision. An order names the
/// revision that was current when its operator still wanted it, and is carried out only while that
/// revision is current; the order itself makes another one current. So a copy of an order that was
/// held up anywhere on its way does nothing. Not replicated: the revisions of a term end with it.
/// Does no I/O.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace cloverbank {

class OrderRevisions {
 public:
  /// @param random returns numbers that do not repeat over restarts and leaders.
  explicit OrderRevisions(std::function<std::uint64_t()> random) : random_(std::move(random)) {}

  /// Ends all revisions. Call it at the beginning of each term.
  void Clear() { objects_.clear(); }
  /// @return the current revision of `object`; never 0.
  std::uint64_t Get(const std::string& object);
  /// Makes a new revision of `object` current if `revision` is the current one. The order that did
  /// so last may come again.
  /// @param order identifies the order among those for the object.
  /// @return whether the order may be carried out.
  bool Advance(const std::string& object, std::uint64_t revision, const std::string& order);

 private:
  struct Entry {
    std::uint64_t current = 0;
    std::uint64_t previous = 0;
    std::string last_order;  ///< Made `current` out of `previous`.
  };

  std::uint64_t MakeRevision();

  std::function<std::uint64_t()> random_;
  std::unordered_map<std::string, Entry> objects_;
};

}  // namespace cloverbank
