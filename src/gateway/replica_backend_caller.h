#pragma once
/// @file
/// Runs batch items at replicas. It never waits for capacity, and never uses capacity that a live
/// call waits for. Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "calls/backend_caller.h"
#include "calls/call_runner.h"

namespace cloverbank {

class ReplicaBackendCaller final : public BackendCaller {
 public:
  /// @param names header names for forwarded items; must outlive this object.
  ReplicaBackendCaller(const CallContext& context, const ReplicaHeaderNames& names)
      : context_(context), names_(names) {}

  std::uint32_t FreeBatchSlots(const std::string& backend) const override;
  std::shared_ptr<BackendCall> RunBatchItem(const BatchItemCall& item,
                                            std::function<bool()> can_start,
                                            std::function<void(BackendOutcome)> done) override;

 private:
  /// Fills in the outcome of a call that has ended with the content of its response.
  using OutcomeReader = std::function<void(BackendOutcome*)>;
  /// The exchange of one item, and the function that reads the outcome from it.
  struct ItemExchange {
    std::shared_ptr<CallExchange> exchange;
    OutcomeReader read_outcome;
  };

  /// Whether batch items may start now: they are not paused, no live call of `backend` waits, and
  /// this gateway has permission to serve and a usable list of replicas.
  bool CanStartBatches(const std::string& backend) const;
  static ItemExchange MakeJsonExchange(const proto::CallRequest& request);
  ItemExchange MakeForwardExchange(const proto::Route& route,
                                   const proto::CallRequest& request) const;
  std::shared_ptr<BackendCall> Run(CallSpec spec, OutcomeReader read_outcome,
                                   std::function<void(BackendOutcome)> done);

  CallContext context_;
  const ReplicaHeaderNames& names_;
  std::uint64_t next_item_id_ = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<CallRunner>> running_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
