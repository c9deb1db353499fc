#pragma once
/// @file
/// Batches of the HTTP routes: the client chooses their ids, their items are forwarded unchanged,
/// and positions of results count from 0. Any gateway serves them by calling the queue node that
/// owns the batch's partition. Batches of a host are spread over all partitions; the queue nodes
/// jointly enforce the limit of a route's open tokens.
///
/// Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/status.h"
#include "control_client/node_agent.h"
#include "gateway/batch_owner_client.h"
#include "gateway/result_witness.h"
#include "proto/batch.pb.h"
#include "runtime/environment.h"

namespace cloverbank {

/// A batch that a client submits.
struct BatchSubmission {
  std::string host;
  std::string path;      ///< Of the submission, without the query.
  std::string batch_id;  ///< Chosen by the client; a submission with the same id is the same batch.
  std::vector<proto::BatchItem> items;
};

/// The result of one item.
struct BatchResult {
  std::string item_id;
  bool completed = false;  ///< Whether `text` is the complete output; else the item failed.
  std::string text;
};

/// Part of a batch's results, in order of completion.
struct BatchResults {
  std::uint64_t total = 0;  ///< Number of items of the batch.
  std::uint64_t next = 0;   ///< Position after the last result of this part.
  std::vector<BatchResult> results;
};

class BatchService {
 public:
  /// Receives the result of a call, once, unless the service is destroyed before.
  template <typename Value>
  using Done = std::function<void(Result<Value>)>;

  BatchService(Environment& environment, NodeAgent& agent);

  /// Submits a batch to `route`; the queue node accepts it completely or not at all. Errors:
  /// kResourceExhausted: too many open tokens; kUnavailable: not accepted; kUnknownOutcome: may
  /// have been accepted; kInvalidArgument and kConflict: the queue node refused it.
  void Submit(const proto::Route& route, BatchSubmission submission, Done<proto::BatchStatus> done);
  /// Finds the accepted batch that the submission repeats, for submissions whose path has no route
  /// any more. kNotFound only if there certainly is none.
  void FindAccepted(BatchSubmission submission, Done<proto::BatchStatus> done);
  /// Reads results from `position` (counted from 0) on. kNotFound only if there certainly is no
  /// such batch.
  void Read(const std::string& host, const std::string& batch_id, std::uint64_t position,
            Done<BatchResults> done);
  /// Reads an item that has no result yet.
  void ReadItem(const std::string& host, const std::string& batch_id, const std::string& item_id,
                Done<proto::BatchItem> done);
  /// Cancels a batch; no item of it is started from then on.
  void End(const std::string& host, const std::string& batch_id, Done<proto::BatchStatus> done);

 private:
  /// @return OK if this gateway has a valid lease and knows the number of partitions, else
  /// kUnavailable.
  Status CheckServing() const;
  std::uint64_t FindPartition(std::string_view host, std::string_view batch_id) const;
  /// Counts and logs a page that contradicts what this gateway has shown of the batch.
  /// @param shown_before as for `ResultWitness::Record`.
  void CheckAgainstEarlierReads(const WitnessedBatch& batch, std::uint64_t owner,
                                std::uint64_t position, std::uint64_t shown_before,
                                const BatchResults& page);
  /// @return the request with what the client sent alone.
  proto::SubmitBatchRequest MakeRequest(BatchSubmission submission) const;

  Environment& environment_;
  NodeAgent& agent_;
  ResultWitness witness_;
  BatchOwnerClient owners_;  ///< Its calls use the members above until it is destroyed.
};

}  // namespace cloverbank
