#include "leader/order_revisions.h"

namespace cloverbank {

std::uint64_t OrderRevisions::Get(const std::string& object) {
  Entry& entry = objects_[object];
  if (entry.current == 0) {
    entry.current = MakeRevision();
  }
  return entry.current;
}

bool OrderRevisions::Advance(const std::string& object, std::uint64_t revision,
                             const std::string& order) {
  const auto found = objects_.find(object);
  if (found == objects_.end() || revision == 0) {
    return false;
  }
  Entry& entry = found->second;
  if (revision == entry.previous) {
    return order == entry.last_order;
  }
  if (revision != entry.current) {
    return false;
  }
  entry = {MakeRevision(), revision, order};
  return true;
}

std::uint64_t OrderRevisions::MakeRevision() {
  std::uint64_t revision = 0;
  while (revision == 0) {
    revision = random_();
  }
  return revision;
}

}  // namespace cloverbank
