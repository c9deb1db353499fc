#pragma once
/// @file
/// Clients and a gateway's worker over a `FleetWorld`, and the promises they check all the time: an
/// accepted batch stays listed at its position, results never move, an item that must not repeat is
/// started once, nothing of a cancelled batch starts 3 s after the acknowledgement, and in the end
/// every item of every accepted batch has exactly one result.

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
  /// @param retention_s after which finished batches are removed; 0 keeps them.
  explicit BatchWorkload(FleetWorld& fleet, std::uint64_t retention_s = 0)
      : fleet_(fleet), world_(fleet.world), retention_s_(retention_s) {}

  /// Begins to submit, list and work, for as long as the world runs.
  void Start() {
    Configure();
    SubmitLoop();
    ListLoop();
    for (const std::string& store : fleet_.stores) {
      AcquireLoop(store);
    }
    ReportLoop();
  }
  /// Submits nothing new from now on; what is under way goes on.
  void StopSubmitting() { submitting_ = false; }

  /// Whether every accepted batch was seen finished and nothing is under way.
  bool Done() const {
    for (const auto& [id, batch] : accepted_) {
      if (!batch.finished()) {
        return false;
      }
    }
    return configured_ && pending_submissions_ == 0;
  }
  std::size_t accepted() const { return accepted_.size(); }
  std::size_t runs() const { return runs_; }
  std::size_t CountOutcome(proto::ItemOutcome outcome) const {
    std::size_t count = 0;
    for (const auto& [id, batch] : accepted_) {
      for (const proto::ItemResult& result : batch.results) {
        count += result.outcome() == outcome ? 1 : 0;
      }
    }
    return count;
  }
  /// Whether every partition's list was answered since `time`.
  bool ServedSince(TimePoint time) const {
    for (std::uint64_t partition = 0; partition < FleetWorld::kPartitions; ++partition) {
      const auto answered = answered_.find(partition);
      if (answered == answered_.end() || answered->second < time) {
        return false;
      }
    }
    return true;
  }
  const std::vector<std::string>& violations() const { return violations_; }
  /// For messages when a run does not end.
  std::string Unfinished() const;

 private:
  struct AcceptedBatch {
    int items = 0;
    bool idempotent = false;
    std::uint64_t partition = 0;
    std::string tenant;
    std::vector<proto::ItemResult> results;
    std::optional<TimePoint> cancelled_at;  ///< When the cancel was acknowledged.
    bool removed = false;                   ///< No longer listed; must not come back.
    bool finished() const { return removed || results.size() == static_cast<std::size_t>(items); }
  };
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

  void Violation(const std::string& what) { violations_.push_back(what); }
  template <typename Response, typename Request>
  void Call(const std::string& machine, std::string_view method, const Request& request,
            Duration deadline, std::function<void(Result<Response>)> done) {
    fleet_.Call<Response>(machine, method, request, deadline, std::move(done));
  }
  const std::string& AnyStore() { return fleet_.AnyStore(); }
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

  static constexpr std::uint64_t kGateway = 1'000'000;
  static constexpr std::uint64_t kTenants = 12;  ///< Enough to use every partition.
  FleetWorld& fleet_;
  SimulatedWorld& world_;
  bool configured_ = false;
  bool submitting_ = true;
  std::uint64_t retention_s_;
  int submitted_ = 0;
  int pending_submissions_ = 0;
  std::size_t runs_ = 0;
  std::map<std::string, AcceptedBatch> accepted_;
  std::map<std::string, std::map<std::uint64_t, std::string>> listed_;  ///< Position to batch.
  std::map<std::uint64_t, Run> running_;                                ///< By lease.
  std::map<ItemKey, std::vector<std::string>> starts_;  ///< Outputs of every run of an item.
  std::map<std::uint64_t, TimePoint> answered_;         ///< Last list, by partition.
  std::vector<std::string> violations_;
};

}  // namespace cloverbank
