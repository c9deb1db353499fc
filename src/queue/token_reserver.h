#pragma once
/// @file
/// Asks the keeper of a route's limit for room before a batch is taken (`TokenKeeper`).
/// Threads: the owner's event loop only. Made by `std::make_shared`.

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/ids.h"
#include "node/node_agent.h"
#include "proto/batch.pb.h"
#include "queue/token_keeper.h"
#include "runtime/environment.h"

namespace cloverbank {

/// What a batch needs of its route's limit.
struct TokenReservation {
  std::uint64_t tokens = 0;  ///< Of all its items.
  Duration longest_wait{};   ///< For room.
};

class TokenReserver : public std::enable_shared_from_this<TokenReserver> {
 public:
  using Done = std::function<void(Status)>;

  /// @param own_keeper answers where this node is the keeper itself.
  TokenReserver(Environment& environment, NodeAgent& agent,
                std::shared_ptr<TokenKeeper> own_keeper);

  /// `done` gets OK, kResourceExhausted, or kConflict with `kKeeperAwayDetail`. If OK, the tokens
  /// must count as open at `partition` before `done` returns.
  void Reserve(PartitionId partition, const proto::SubmitBatch& batch,
               const TokenReservation& reservation, Done done);
  /// All requests with a lower sequence are over, but for those of `pending`.
  std::uint64_t settled_below() const { return next_; }
  const std::set<std::uint64_t>& pending() const { return pending_; }

 private:
  void Finish(std::uint64_t sequence, const Done& done,
              const Result<proto::ReserveTokensResponse>& answer);

  Environment& environment_;
  NodeAgent& agent_;
  std::shared_ptr<TokenKeeper> own_keeper_;
  std::uint64_t next_ = 1;
  std::set<std::uint64_t> pending_;
};

}  // namespace cloverbank
