#pragma once
/// @file
/// A walk through the product on a whole fleet: live calls, a batch, operators' transactions,
/// refusals, and, if asked for, the loss of the leading coordinator and of the queue node that owns
/// a half-done batch. Every step says what happened and whether what it promises held.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "client/api_client.h"
#include "fleet/fleet.h"
#include "proto/batch.pb.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// Names that differ between the deployments, found in their first configuration.
struct DemoRoutes {
  std::string streamed;  ///< A model route for live calls.
  std::string service;   ///< A plain service's route.
  std::string batch;     ///< A route that accepts batches and must not repeat.
  std::string tenant;
};

class Demo {
 public:
  /// @param configuration_json the first transaction of the deployment.
  /// @param judge_times whether service must be back within its limit.
  Demo(Fleet& fleet, std::string configuration_json, bool judge_times);

  /// @return whether everything held.
  bool Run(bool with_failures);

 private:
  bool BringUp();
  bool ApplyFirstConfiguration();
  void LiveCalls();
  void Batch();
  void ConfigurationChange();
  void Refusals();
  void LoseLeadingCoordinator();
  void LoseBatchOwner();
  void CheckWitness();

  /// @return whether `time` is within the limit for service to be back, if that is judged.
  bool SoonEnough(Duration time) const;
  /// Prints one line and remembers a failure.
  void Report(bool held, const std::string& what);
  ApiClient MakeClient(Duration patience) const;
  /// @return all lines of a streamed call, sent again while it is refused as not run.
  std::string StreamBody(const std::string& prompt, std::uint32_t tokens);
  bool StreamedCallCompletes(const std::string& prompt, std::uint32_t tokens, std::string* text);
  bool ServiceCallWorks(const std::string& prompt, Duration patience);
  proto::TransactionResult ChangeDeadline(const std::string& operation_id, std::uint64_t version,
                                          std::uint32_t deadline_ms, ApiError* error);
  std::uint64_t CurrentVersion();
  std::string Submit(const std::string& key, int items, std::uint32_t tokens);
  bool WaitFinished(const std::string& batch_id, Duration limit, proto::BatchStatus* status);
  std::vector<proto::ItemResult> ResultsOf(const std::string& batch_id);
  void CheckResults(const std::string& batch_id, int items,
                    const std::vector<proto::ItemResult>& seen_before);
  std::string MachineAt(const proto::Endpoint& endpoint) const;

  Fleet& fleet_;
  std::string configuration_json_;
  bool judge_times_;
  DemoRoutes routes_;
  bool all_passed_ = true;
};

}  // namespace cloverbank
