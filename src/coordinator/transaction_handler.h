#pragma once
/// @file
/// Takes transactions on the routing configuration and acknowledges each when it is in force: when
/// no gateway can act by an older version any more, because each has confirmed a newer one or its
/// lease has run out (docs/DESIGN.md section 4).

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

/// @return the highest version that every gateway that may act holds: the version in force. Pure.
ConfigurationVersion VersionConfirmedByAll(const ControlState& state, const LeaseTable& leases,
                                           TimePoint now);
/// @return live gateways that may still act by a version below the current one.
std::vector<NodeId> FindGatewaysBehind(const ControlState& state, const LeaseTable& leases,
                                       TimePoint now);
/// @return live gateways that have not confirmed `version`: where it is in force, their leases have
/// run out.
std::vector<NodeId> FindUnconfirmedGateways(const ControlState& state, const LeaseTable& leases,
                                            ConfigurationVersion version);

class TransactionHandler {
 public:
  TransactionHandler(LeaderContext& context, CommandProposer& proposer)
      : context_(context), proposer_(proposer) {}

  /// Answers once the transaction is in force, or refused. A resend waits in the same way.
  void Submit(const proto::SubmitTransactionRequest& request,
              const Reply<proto::SubmitTransactionResponse>& reply);
  /// Records versions that are in force by now and answers those that wait for them: call it after
  /// each confirmation, change and tick.
  void Review();
  /// Leadership was lost: those that wait are sent on to the next leader, which waits anew.
  void RefuseAll();

 private:
  struct Waiting {
    proto::TransactionResult result;
    TimePoint since;
    Reply<proto::SubmitTransactionResponse> reply;
  };

  void HandleApplied(const proto::TransactionResult& result,
                     const Reply<proto::SubmitTransactionResponse>& reply);
  /// Proposes to record the version that all gateways have confirmed, if it is a new one.
  void ProposeInForce();
  void AnswerInForce();
  std::list<Waiting> TakeInForce();
  void Answer(const Waiting& waiting);
  /// Tells of gateways that a version in force does not wait for; once a version.
  void RecordUnconfirmed(ConfigurationVersion version);
  void CountRefusal(const proto::TransactionResult& result);

  LeaderContext& context_;
  CommandProposer& proposer_;
  std::list<Waiting> waiting_;
  ConfigurationVersion last_unconfirmed_version_;
};

}  // namespace cloverbank
