#pragma once
/// @file
/// Remembers which batch results this gateway has shown, and finds reads that contradict them. The
/// position and the content of a result never change, so a contradiction proves that the owners of
/// the partition lost or reordered results. It serves logs and metrics only: no response depends
/// on it.
///
/// Does no I/O; not thread-safe.

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cloverbank {

/// Number of batches that a witness remembers; the one that was read longest ago is forgotten
/// first.
inline constexpr std::size_t kDefaultWitnessedBatches = 256;

enum class ContradictionKind : std::uint8_t {
  kChanged,  ///< A position holds another result than before.
  kMoved,    ///< An item stands at two positions.
  kMissing,  ///< A position that was shown has no result.
};
/// @return the stable snake_case name, for metrics and logs.
std::string_view ContradictionKindName(ContradictionKind kind);

/// A batch as its client names it.
struct WitnessedBatch {
  std::string tenant;
  std::string id;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
  auto operator<=>(const WitnessedBatch&) const = default;
};

/// One result of a page that is being shown.
struct ShownResult {
  std::string_view item_id;
  bool completed = false;
  std::string_view text;
};

/// A page of results, from `position` (counted from 0) on.
struct ShownPage {
  std::uint64_t position = 0;
  std::uint64_t owner = 0;  ///< Node id of the queue node that answered.
  std::vector<ShownResult> results;
};

/// The first contradiction between a page and the pages before it.
struct ResultContradiction {
  ContradictionKind kind = ContradictionKind::kChanged;
  std::uint64_t position = 0;
  std::uint64_t earlier_position = 0;  ///< Where the item stood; differs for kMoved only.
  std::uint64_t earlier_owner = 0;     ///< Node id of the queue node that gave the earlier result.
};

class ResultWitness {
 public:
  /// @param maximum_batches at least 1.
  explicit ResultWitness(std::size_t maximum_batches = kDefaultWitnessedBatches)
      : maximum_batches_(maximum_batches) {}

  /// @return the number of positions of the batch that were shown so far. To be called when a read
  /// is sent: a response to a read that was sent earlier may be older than what was shown since.
  std::uint64_t CountShown(const WitnessedBatch& batch) const;
  /// Remembers the page. @param shown_before `CountShown` when the read was sent.
  std::optional<ResultContradiction> Record(const WitnessedBatch& batch, const ShownPage& page,
                                            std::uint64_t shown_before);

 private:
  struct Position {
    std::uint64_t item = 0;    ///< Checksum of the item's id.
    std::uint64_t result = 0;  ///< Checksum of the whole result.
    std::uint64_t owner = 0;
  };
  struct Batch {
    std::vector<Position> positions;
    std::list<WitnessedBatch>::iterator last_read;
  };

  /// @return the batch, now the one read last; forgets another one if there are too many.
  Batch& Touch(const WitnessedBatch& key);
  static Position MakePosition(const ShownResult& result, std::uint64_t owner);
  static std::optional<ResultContradiction> Compare(const std::vector<Position>& known,
                                                    std::uint64_t position, const Position& shown);

  const std::size_t maximum_batches_;
  std::map<WitnessedBatch, Batch> batches_;
  std::list<WitnessedBatch> by_last_read_;  ///< The batch that was read last comes first.
};

}  // namespace cloverbank
