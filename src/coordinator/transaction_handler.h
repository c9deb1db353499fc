#pragma once
/// @file
/// Proposes transactions on the routing configuration and acknowledges each once it is in force:
/// when no gateway can use an older version any more, because each has confirmed a newer one or its
/// lease has expired (docs/DESIGN.md section 4). Threads: the owner's event loop only.

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "base/status.h"
#include "coordinator/leader_reply.h"
#include "leader/command_proposer.h"
#include "leader/leader_context.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// @return the highest version that every gateway with a lease has confirmed: the version in force.
ConfigurationVersion VersionConfirmedByAll(const ControlState& state, const LeaseTable& leases,
                                           TimePoint now);
/// @return live gateways that may still use a version below the current one.
std::vector<NodeId> FindGatewaysBehind(const ControlState& state, const LeaseTable& leases,
                                       TimePoint now);
/// @return live gateways that have not confirmed `version`. If it is in force, their leases have
/// expired.
std::vector<NodeId> FindUnconfirmedGateways(const ControlState& state, const LeaseTable& leases,
                                            ConfigurationVersion version);

class TransactionHandler {
 public:
  TransactionHandler(LeaderContext& context, CommandProposer& proposer)
      : context_(context), proposer_(proposer) {}

  /// Replies once the transaction is in force or refused. A resent one waits in the same way.
  void Submit(const proto::SubmitTransactionRequest& request,
              const Reply<proto::SubmitTransactionResponse>& reply);
  /// Proposes to record the version in force and acknowledges the transactions that waited for it.
  /// Call it after each confirmation, applied command and tick.
  void Review();
  /// Leadership was lost: refuses the waiting transactions; the next leader waits for them again.
  void RefuseAll();

 private:
  struct PendingTransaction {
    proto::TransactionResult result;
    TimePoint since;
    Reply<proto::SubmitTransactionResponse> reply;
  };

  void HandleApplied(const proto::TransactionResult& result,
                     const Reply<proto::SubmitTransactionResponse>& reply);
  /// Proposes to record the version that all gateways have confirmed, if it is a new one.
  void ProposeInForce();
  void AnswerInForce();
  std::list<PendingTransaction> TakeInForce();
  void Answer(const PendingTransaction& pending);
  /// Logs and counts gateways whose leases expired before they confirmed `version`; once a version.
  void RecordUnconfirmed(ConfigurationVersion version);
  void CountRefusal(const proto::TransactionResult& result);

  LeaderContext& context_;
  CommandProposer& proposer_;
  std::list<PendingTransaction> pending_;
  ConfigurationVersion last_unconfirmed_version_;
};

}  // namespace cloverbank
