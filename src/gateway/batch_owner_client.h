#pragma once
/// @file
/// Calls to the owners of batch partitions with typed requests and responses. Threads: the owner's
/// event loop only.

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "gateway/batch_owner_call.h"

namespace cloverbank {

class BatchOwnerClient {
 public:
  /// @param malformed the status reported for a response that cannot be parsed.
  BatchOwnerClient(Environment& environment, NodeAgent& agent, Status malformed)
      : environment_(environment), agent_(agent), malformed_(std::move(malformed)) {}

  /// Calls `method` at the owner of the partition that `request` names. `done` runs once, unless
  /// this client is destroyed before; see `BatchOwnerCall::Start` for the errors.
  /// @param deadline time for the whole call, retries included, from now.
  template <typename Response, typename Request>
  void Call(std::string_view method, const Request& request, Duration deadline,
            std::function<void(Result<Response>)> done) const {
    OwnerCallOptions options;
    options.method = std::string(method);
    options.body = request.SerializeAsString();
    options.partition = PartitionId(request.partition_id());
    options.deadline = deadline;
    BatchOwnerCall::Start(environment_, agent_, alive_, std::move(options),
                          [malformed = malformed_, done = std::move(done)](PeerReply reply) {
                            Response response;
                            if (!reply.status.ok()) {
                              done(std::move(reply.status));
                            } else if (!response.ParseFromString(reply.body)) {
                              done(malformed);
                            } else {
                              done(std::move(response));
                            }
                          });
  }

 private:
  Environment& environment_;
  NodeAgent& agent_;
  const Status malformed_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
