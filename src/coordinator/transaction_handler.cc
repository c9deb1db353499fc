#include "coordinator/transaction_handler.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "coordinator/order_admission.h"

namespace cloverbank {
namespace {

constexpr char kInForceKey[] = "in_force";

proto::SubmitTransactionResponse Respond(const proto::TransactionResult& result) {
  proto::SubmitTransactionResponse response;
  *response.mutable_result() = result;
  return response;
}

}  // namespace

ConfigurationVersion VersionConfirmedByAll(const ControlState& state, const LeaseTable& leases,
                                           TimePoint now) {
  ConfigurationVersion lowest = state.configuration().version();
  for (const proto::Server* gateway : state.servers().FindLiveServers(proto::ROLE_GATEWAY)) {
    const auto used = leases.FindLowestVersionInUse(NodeId(gateway->node_id()), now);
    lowest = std::min(lowest, used.value_or(lowest));
  }
  return lowest;
}

std::vector<NodeId> FindUnconfirmedGateways(const ControlState& state, const LeaseTable& leases,
                                            ConfigurationVersion version) {
  std::vector<NodeId> unconfirmed;
  for (const proto::Server* gateway : state.servers().FindLiveServers(proto::ROLE_GATEWAY)) {
    const NodeId node(gateway->node_id());
    if (leases.FindConfirmedVersion(node) < version) {
      unconfirmed.push_back(node);
    }
  }
  return unconfirmed;
}

std::vector<NodeId> FindGatewaysBehind(const ControlState& state, const LeaseTable& leases,
                                       TimePoint now) {
  std::vector<NodeId> behind;
  for (const proto::Server* gateway : state.servers().FindLiveServers(proto::ROLE_GATEWAY)) {
    const NodeId node(gateway->node_id());
    const auto used = leases.FindLowestVersionInUse(node, now);
    if (used.has_value() && *used < state.configuration().version()) {
      behind.push_back(node);
    }
  }
  return behind;
}

void TransactionHandler::Submit(const proto::SubmitTransactionRequest& request,
                                const Reply<proto::SubmitTransactionResponse>& reply) {
  const proto::ConfigurationTransaction& transaction = request.transaction();
  if (transaction.dry_run()) {
    reply(Respond(context_.state.configuration().Validate(transaction)));
    return;
  }
  if (HasResult(transaction)) {
    Propose(transaction, reply, [](const proto::TransactionResult&) {});
    return;
  }
  if (const Status admitted = Admit(request); !admitted.ok()) {
    reply(admitted);
    return;
  }
  Propose(transaction, reply, [request](const proto::TransactionResult& result) {
    LogZoneChanges(request.transaction(), result, request.guard());
  });
}

bool TransactionHandler::HasResult(const proto::ConfigurationTransaction& transaction) const {
  return context_.state.configuration().FindOperation(transaction.operation_id()) != nullptr;
}

Status TransactionHandler::Admit(const proto::SubmitTransactionRequest& request) {
  const proto::ConfigurationTransaction& transaction = request.transaction();
  if (!transaction.any_version()) {
    return Status::Ok();
  }
  if (transaction.changes_size() != 1) {
    return {StatusCode::kInvalidArgument, "a transaction on any version must have one change"};
  }
  return AdmitOrder(context_, request.guard(), ObjectKeyFor(transaction.changes(0)).ToString(),
                    transaction.operation_id());
}

void TransactionHandler::Propose(const proto::ConfigurationTransaction& transaction,
                                 const Reply<proto::SubmitTransactionResponse>& reply,
                                 std::function<void(const proto::TransactionResult&)> log_result) {
  proto::ControlCommand command;
  proto::ApplyTransactionCommand& apply = *command.mutable_apply_transaction();
  *apply.mutable_transaction() = transaction;
  apply.set_wall_ms(context_.environment.WallMilliseconds());
  proposer_.Propose(command, [this, reply, log_result = std::move(log_result)](
                                 const Result<proto::ControlCommandResult>& applied) {
    if (applied.ok()) {
      log_result(applied->transaction());
      HandleApplied(applied->transaction(), reply);
    } else {
      reply(applied.status());
    }
  });
}

void TransactionHandler::HandleApplied(const proto::TransactionResult& result,
                                       const Reply<proto::SubmitTransactionResponse>& reply) {
  if (result.outcome() != proto::TRANSACTION_OUTCOME_APPLIED) {
    CountRefusal(result);
    reply(Respond(result));
    return;
  }
  pending_.push_back({result, context_.environment.Now(), reply});
  AnswerInForce();
}

void TransactionHandler::CountRefusal(const proto::TransactionResult& result) {
  const bool conflict = result.outcome() == proto::TRANSACTION_OUTCOME_VERSION_CONFLICT;
  context_.environment.metrics().Increment("coordinator_transaction_refused_total",
                                           {{"reason", conflict ? "version_conflict" : "invalid"}});
}

void TransactionHandler::Review() {
  if (!context_.CanAnswerRequests()) {
    RefuseAll();
    return;
  }
  ProposeInForce();
  AnswerInForce();
}

void TransactionHandler::ProposeInForce() {
  const ConfigurationStore& configuration = context_.state.configuration();
  if (configuration.in_force_version() >= configuration.version()) {
    return;
  }
  const ConfigurationVersion confirmed =
      VersionConfirmedByAll(context_.state, context_.leases, context_.environment.Now());
  if (confirmed <= configuration.in_force_version()) {
    return;
  }
  RecordUnconfirmed(confirmed);
  proto::ControlCommand command;
  command.mutable_record_in_force()->set_version(confirmed.value());
  command.mutable_record_in_force()->set_wall_ms(context_.environment.WallMilliseconds());
  proposer_.ProposeOnce(kInForceKey, command);
}

void TransactionHandler::RecordUnconfirmed(ConfigurationVersion version) {
  if (version <= last_unconfirmed_version_) {
    return;
  }
  last_unconfirmed_version_ = version;
  const std::vector<NodeId> unconfirmed =
      FindUnconfirmedGateways(context_.state, context_.leases, version);
  if (unconfirmed.empty()) {
    return;
  }
  context_.environment.metrics().Increment("coordinator_in_force_unconfirmed_total");
  Log(LogLevel::kWarning, "in_force_by_lease_expiry",
      {{"version", version.value()},
       {"gateways", unconfirmed.size()},
       {"first", unconfirmed.front().value()}});
}

void TransactionHandler::AnswerInForce() {
  for (const PendingTransaction& pending : TakeInForce()) {
    Answer(pending);
  }
}

std::list<TransactionHandler::PendingTransaction> TransactionHandler::TakeInForce() {
  const ConfigurationVersion in_force = context_.state.configuration().in_force_version();
  std::list<PendingTransaction> in_force_now;
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    const auto next = std::next(entry);
    if (ConfigurationVersion(entry->result.version()) <= in_force) {
      in_force_now.splice(in_force_now.end(), pending_, entry);
    }
    entry = next;
  }
  return in_force_now;
}

void TransactionHandler::Answer(const PendingTransaction& pending) {
  const std::chrono::duration<double> waited = context_.environment.Now() - pending.since;
  context_.environment.metrics().ObserveSeconds("coordinator_in_force_wait_seconds",
                                                waited.count());
  const proto::OperationRecord* record =
      context_.state.configuration().FindOperation(pending.result.operation_id());
  pending.reply(Respond(record == nullptr ? pending.result : record->result()));
}

void TransactionHandler::RefuseAll() {
  for (const PendingTransaction& pending : std::exchange(pending_, {})) {
    pending.reply(context_.MakeNotLeaderStatus());
  }
}

}  // namespace cloverbank
