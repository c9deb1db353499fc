#pragma once
/// @file
/// An accepted batch in the memory of its partition's owner, built from log entries alone.

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "proto/batch.pb.h"

namespace cloverbank {

enum class ItemPhase : std::uint8_t {
  kWaiting,   ///< No result, and never logged as started (only non-idempotent items are).
  kStarted,   ///< Logged as started; has no result.
  kFinished,  ///< Has its result; later ones are ignored.
};

/// The result of an item. Its position in `StoredBatch::results` never changes.
struct StoredResult {
  std::uint32_t item_index = 0;
  proto::ItemOutcome outcome = proto::ITEM_OUTCOME_UNSPECIFIED;
  std::string output;
  std::string error;
};

struct StoredBatch {
  proto::BatchAccepted accepted;
  proto::RouteReference route;  ///< By which the batch's route is found in each configuration.
  /// Sequence of its BatchAccepted entry: its position in its tenant's list.
  PartitionSequence position;
  std::vector<proto::BatchItem> items;
  std::vector<ItemPhase> phases;
  std::vector<StoredResult> results;
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cancelled_items = 0;
  bool cancelled = false;
  /// Tokens of items that have no result; 0 once the batch is cancelled.
  std::uint64_t open_tokens = 0;
  std::int64_t finished_at_ms = 0;  ///< 0 until every item has its result.

  bool AllFinished() const { return results.size() == items.size(); }
  std::uint64_t open_items() const { return items.size() - results.size(); }
  /// @return the key under which its tokens count against the limit of its route.
  const std::string& quota_key() const {
    return accepted.quota_key().empty() ? accepted.route() : accepted.quota_key();
  }
  proto::BatchState state() const;
  proto::BatchStatus ToStatus() const;
};

}  // namespace cloverbank
