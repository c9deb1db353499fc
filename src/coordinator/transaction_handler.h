#pragma once
/// @file
/// Proposes transactions on the routing configuration and acknowledges each once it is in force.
/// That is when no gateway can use an older version any more, because each gateway has confirmed
/// this version or a newer one or its lease has expired (docs/DESIGN.md section 4). Threads: the
/// owner's event loop only.

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "base/status.h"
#include "coordinator/leader_reply.h"
#include "leader/command_proposer.h"
#include "leader/leader_context.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// @return the highest version that every gateway with a lease has confirmed. It can be recorded as
/// the version in force.
ConfigurationVersion VersionConfirmedByAll(const ControlState& state, const LeaseTable& leases,
                                           TimePoint now);
/// @return the live gateways that may still use a version below the current one.
std::vector<NodeId> FindGatewaysBehind(const ControlState& state, const LeaseTable& leases,
                                       TimePoint now);
/// @return the live gateways that have not confirmed `version`. If it is in force, the leases of
/// these gateways have expired.
std::vector<NodeId> FindUnconfirmedGateways(const ControlState& state, const LeaseTable& leases,
                                            ConfigurationVersion version);

class TransactionHandler {
 public:
  TransactionHandler(LeaderContext& context, CommandProposer& proposer)
      : context_(context), proposer_(proposer) {}

  /// Replies once the transaction is in force or refused; a dry run at once. A transaction that is
  /// sent again waits in the same way. Errors: those of the proposal; kNotLeader if leadership is
  /// lost while the transaction waits; those of `AdmitOrder` for one that applies to any version.
  void Submit(const proto::SubmitTransactionRequest& request,
              const Reply<proto::SubmitTransactionResponse>& reply);
  /// Proposes to record the version in force, if it is a new one, and acknowledges the transactions
  /// that are in force. Call it after each confirmation, applied command and tick.
  void Review();
  /// Refuses the waiting transactions with kNotLeader. Call it when leadership is lost; the next
  /// leader waits for them when they are sent again.
  void RefuseAll();

 private:
  struct PendingTransaction {
    proto::TransactionResult result;
    TimePoint since;  ///< When it was applied.
    Reply<proto::SubmitTransactionResponse> reply;
  };

  /// @return whether the operation has a result already, which it then gets again.
  bool HasResult(const proto::ConfigurationTransaction& transaction) const;
  /// @return whether the transaction names what it builds on, or is admitted by its guard.
  Status Admit(const proto::SubmitTransactionRequest& request);
  /// @param log_result runs once the transaction has a result.
  void Propose(const proto::ConfigurationTransaction& transaction,
               const Reply<proto::SubmitTransactionResponse>& reply,
               std::function<void(const proto::TransactionResult&)> log_result);
  /// Replies at once if the transaction was not applied; an applied one waits until it is in force.
  void HandleApplied(const proto::TransactionResult& result,
                     const Reply<proto::SubmitTransactionResponse>& reply);
  /// Proposes to record the version that all gateways have confirmed, if it is a new one.
  void ProposeInForce();
  /// Acknowledges the waiting transactions whose version is in force.
  void AnswerInForce();
  /// Removes the transactions whose version is in force from `pending_` and returns them.
  std::list<PendingTransaction> TakeInForce();
  void Answer(const PendingTransaction& pending);
  /// Logs and counts that leases of gateways expired before these confirmed `version`; once per
  /// version.
  void RecordUnconfirmed(ConfigurationVersion version);
  void CountRefusal(const proto::TransactionResult& result);

  LeaderContext& context_;
  CommandProposer& proposer_;
  std::list<PendingTransaction> pending_;
  ConfigurationVersion last_unconfirmed_version_;
};

}  // namespace cloverbank
