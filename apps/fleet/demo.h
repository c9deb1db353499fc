#pragma once
/// @file
/// A demonstration on a whole fleet: live calls, a batch, operators' transactions, refusals and, if
/// asked for, the loss of the leading coordinator and of the queue node that owns a half-done
/// batch. Every step prints what happened and whether the result was as expected.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "client/api_client.h"
#include "fleet/fleet.h"
#include "proto/batch.pb.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// Routes and tenant that the demo uses. Their names differ between the deployments, so the demo
/// finds them in the first configuration.
struct DemoRoutes {
  std::string streamed;  ///< A streamed model route for live calls.
  std::string service;   ///< The route of a plain service.
  std::string batch;     ///< A route for batches that is not idempotent: no item may run twice.
  std::string tenant;
};

class Demo {
 public:
  /// @param fleet must outlive this object.
  /// @param configuration_json the first configuration transaction of the deployment.
  /// @param check_times whether a step fails if service is not back within the limit (12 s) after a
  /// failure.
  Demo(Fleet& fleet, std::string configuration_json, bool check_times);

  /// Starts the fleet and runs all steps. @param with_failures also kills two processes and starts
  /// them again. @return whether every check passed.
  bool Run(bool with_failures);

 private:
  /// A batch of which some results are listed.
  struct HalfDoneBatch {
    std::string id;
    std::string owner;  ///< Machine of the queue node that owns its partition.
    std::vector<proto::ItemResult> results;
  };

  bool StartFleet();
  bool ApplyFirstConfiguration();
  void LiveCalls();
  void Batch();
  void ConfigurationChange();
  void Refusals();
  void KillLeadingCoordinator();
  void KillBatchOwner();
  void CheckWitnessLog();

  /// @return whether `time` is within the limit for service to be back; true if times are not
  /// checked.
  bool WithinTimeLimit(Duration time) const;
  /// Prints one line with the result of a check; a failed check makes `Run` return false.
  void Report(bool passed, const std::string& what);
  ApiClient MakeClient(Duration patience) const;
  /// Makes a streamed call; repeats it while the gateway refuses it as not executed.
  /// @return all lines of the response, or the reason if there are none.
  std::string StreamBody(const std::string& prompt, std::uint32_t tokens);
  bool StreamedCallCompletes(const std::string& prompt, std::uint32_t tokens, std::string* text);
  bool ServiceCallWorks(const std::string& prompt, Duration patience);
  proto::TransactionResult ChangeDeadline(const std::string& operation_id, std::uint64_t version,
                                          std::uint32_t deadline_ms, ApiError* error);
  std::uint64_t CurrentVersion();
  std::string Submit(const std::string& key, int items, std::uint32_t tokens);
  /// Submits batches until one has some results, but not all.
  /// @return the last one.
  HalfDoneBatch SubmitHalfDoneBatch();
  /// @return the machine of the queue node that owns the batch's partition.
  std::string OwnerOf(const std::string& batch_id);
  bool WaitFinished(const std::string& batch_id, Duration limit, proto::BatchStatus* status);
  std::vector<proto::ItemResult> ResultsOf(const std::string& batch_id);
  void CheckResults(const std::string& batch_id, int items,
                    const std::vector<proto::ItemResult>& earlier_results);
  std::string MachineAt(const proto::Endpoint& endpoint) const;

  Fleet& fleet_;
  std::string configuration_json_;
  bool check_times_;
  DemoRoutes routes_;
  bool all_passed_ = true;
};

}  // namespace cloverbank
