#pragma once
/// @file
/// Runs batch items at replicas: never waits, never takes room that a live call waits for.
/// Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "gateway/backend_caller.h"
#include "gateway/call_runner.h"

namespace cloverbank {

class ReplicaBackendCaller final : public BackendCaller {
 public:
  explicit ReplicaBackendCaller(const CallContext& context) : context_(context) {}

  std::uint32_t FreeBatchSlots(const std::string& backend) const override;
  std::shared_ptr<BackendCall> RunBatchItem(const proto::Route& route,
                                            const proto::CallRequest& request, Duration deadline,
                                            std::function<bool()> may_start,
                                            std::function<void(BackendOutcome)> done) override;

 private:
  bool MayStartBatches(const std::string& backend) const;

  CallContext context_;
  std::uint64_t next_item_ = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<CallRunner>> running_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
