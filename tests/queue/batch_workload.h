#pragma once
/// @file
/// Simulated clients and one gateway that runs batch items, on a `FleetWorld`. They check these
/// guarantees during the whole run:
/// - an accepted batch stays listed at its position;
/// - listed results neither change nor move;
/// - an item that is not idempotent is started once at most;
/// - no item of a cancelled batch starts later than 3 s after the cancellation was acknowledged;
/// - in the end every item of every accepted batch has exactly one result.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/checksum.h"
#include "proto/batch.pb.h"
#include "proto/configuration.pb.h"
#include "queue/fleet_world.h"

namespace cloverbank {

class BatchWorkload {
 public:
  /// @param retention_s time in seconds after which finished batches may be removed. With 0, a
  /// batch that is no longer listed is a violation.
  explicit BatchWorkload(FleetWorld& fleet, std::uint64_t retention_s = 0)
      : fleet_(fleet), world_(fleet.world), retention_s_(retention_s) {}

  /// Starts to submit and list batches and to run their items, for as long as the world runs.
  void Start() {
    Configure();
    SubmitLoop();
    ListLoop();
    for (const std::string& store : fleet_.store_machines) {
      AcquireLoop(store);
    }
    ReportLoop();
  }
  /// Submits no new batches from now on. Pending submissions and accepted batches go on.
  void StopSubmitting() { submitting_ = false; }

  /// Whether the configuration is applied, every accepted batch was listed with all its results (or
  /// was removed), and no submission is pending.
  bool AllFinished() const {
    for (const auto& [id, batch] : accepted_) {
      if (!batch.finished()) {
        return false;
      }
    }
    return configured_ && pending_submissions_ == 0;
  }
  std::size_t accepted() const { return accepted_.size(); }
  std::size_t runs() const { return run_count_; }
  /// @return the number of listed results with this outcome.
  std::size_t CountOutcome(proto::ItemOutcome outcome) const {
    std::size_t count = 0;
    for (const auto& [id, batch] : accepted_) {
      for (const proto::ItemResult& result : batch.results) {
        count += result.outcome() == outcome ? 1 : 0;
      }
    }
    return count;
  }
  /// Whether every partition has answered a ListBatches request since `time`.
  bool AllPartitionsListedSince(TimePoint time) const {
    for (std::uint64_t partition = 0; partition < FleetWorld::kPartitions; ++partition) {
      const auto listed = last_listed_at_.find(partition);
      if (listed == last_listed_at_.end() || listed->second < time) {
        return false;
      }
    }
    return true;
  }
  /// @return the violations of the guarantees so far, as texts.
  const std::vector<std::string>& violations() const { return violations_; }
  /// @return what `AllFinished` still waits for, for the failure message of a test.
  std::string DescribeUnfinished() const;

 private:
  struct AcceptedBatch {
    int items = 0;
    bool idempotent = false;
    std::uint64_t partition = 0;
    std::string tenant;
    std::vector<proto::ItemResult> results;
    std::optional<TimePoint> cancelled_at;  ///< When the cancel was acknowledged.
    bool removed = false;                   ///< Is no longer listed, and must not be listed again.
    bool finished() const { return removed || results.size() == static_cast<std::size_t>(items); }
  };
  /// A grant of an item, from its arrival until its report is accepted.
  struct Run {
    proto::WorkGrant grant;
    TimePoint ends;
    proto::WorkDisposition disposition = proto::WORK_DISPOSITION_FINISHED;
    std::string output;
    bool reporting = false;
  };
  struct ItemKey {
    std::string batch_id;
    std::uint64_t index = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    auto operator<=>(const ItemKey&) const = default;
  };

  void RecordViolation(const std::string& what) { violations_.push_back(what); }
  template <typename Response, typename Request>
  void Call(const std::string& machine, std::string_view method, const Request& request,
            Duration deadline, std::function<void(Result<Response>)> done) {
    fleet_.Call<Response>(machine, method, request, deadline, std::move(done));
  }
  const std::string& RandomStoreMachine() { return fleet_.RandomStoreMachine(); }
  static std::uint64_t PartitionOf(const std::string& tenant) {
    return Checksum(tenant) % FleetWorld::kPartitions;
  }

  void Configure();
  void SubmitLoop();
  void Submit(const std::shared_ptr<proto::SubmitBatchRequest>& request);
  void HandleAccepted(const proto::SubmitBatchRequest& request, const proto::BatchStatus& status);
  void Cancel(const std::string& batch_id);
  void ListLoop();
  void CheckList(const std::string& tenant, const proto::BatchList& list,
                 const std::vector<std::string>& expected);
  void ListTenant(const std::string& tenant);
  void ListResults(const std::string& store, const std::string& batch_id);
  void AcquireLoop(const std::string& store);
  void HandleGrant(const proto::WorkGrant& grant, TimePoint sent);
  void ReportLoop();
  void Report(const std::string& store);

  static constexpr std::uint64_t kGatewayNodeId = 1'000'000;
  static constexpr std::uint64_t kTenantCount = 12;  ///< Enough to use every partition.
  FleetWorld& fleet_;
  SimulatedWorld& world_;
  bool configured_ = false;
  bool submitting_ = true;
  std::uint64_t retention_s_;
  int submitted_ = 0;
  int pending_submissions_ = 0;
  std::size_t run_count_ = 0;
  std::map<std::string, AcceptedBatch> accepted_;
  std::map<std::string, std::map<std::uint64_t, std::string>>
      listed_positions_;                  ///< By tenant: position to batch id.
  std::map<std::uint64_t, Run> running_;  ///< By lease; grants whose report is not accepted yet.
  std::map<ItemKey, std::vector<std::string>> run_outputs_;  ///< The output of each run of an item.
  std::map<std::uint64_t, TimePoint> last_listed_at_;  ///< Time of the last list, by partition.
  std::vector<std::string> violations_;
};

}  // namespace cloverbank
