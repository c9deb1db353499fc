#include "leader/death_declarer.h"

#include <string>

#include "base/logging.h"

namespace cloverbank {
namespace {

/// Time without a heartbeat after which a node counts as unresponsive: partitions are then assigned
/// to it only as a last resort.
constexpr Duration kUnresponsiveAfter = milliseconds(1500);

}  // namespace

std::string_view DeathReasonName(DeathReason reason) {
  return reason == DeathReason::kUnresponsive ? "silent" : "superseded";
}

void DeathDeclarer::Step() {
  context_.leases.Expire(context_.environment.Now());
  const std::set<NodeId> live = FindLiveNodes();
  UpdateUnresponsive(live);
  // All due deaths are collected before the first is proposed, because a proposal may change the
  // state.
  const std::vector<DueDeath> due = FindDueDeaths(live);
  context_.detector.ForgetAllBut(live);
  std::erase_if(context_.loads, [&live](const auto& entry) { return !live.contains(entry.first); });
  for (const DueDeath& death : due) {
    ProposeDeath(death);
  }
}

std::set<NodeId> DeathDeclarer::FindLiveNodes() const {
  std::set<NodeId> live;
  for (const auto& [id, server] : context_.state.servers().servers()) {
    if (IsLive(server)) {
      live.insert(id);
    }
  }
  return live;
}

void DeathDeclarer::UpdateUnresponsive(const std::set<NodeId>& live) {
  const TimePoint now = context_.environment.Now();
  context_.unresponsive.clear();
  for (const NodeId node : live) {
    if (now - context_.detector.LastHeardFrom(node) >= kUnresponsiveAfter) {
      context_.unresponsive.insert(node);
    }
  }
}

std::vector<DeathDeclarer::DueDeath> DeathDeclarer::FindDueDeaths(
    const std::set<NodeId>& live) const {
  std::vector<DueDeath> due;
  for (const NodeId node : live) {
    const proto::Server& server = *context_.state.servers().Find(node);
    const std::optional<DeathReason> reason = FindDeathReason(server);
    if (reason.has_value() && !context_.pending_deaths.contains(node)) {
      due.push_back({server, *reason});
    }
  }
  return due;
}

std::optional<DeathReason> DeathDeclarer::FindDeathReason(const proto::Server& server) const {
  const NodeId node(server.node_id());
  const TimePoint now = context_.environment.Now();
  if (context_.detector.IsDead(node, context_.leases, now)) {
    return DeathReason::kUnresponsive;
  }
  const bool superseded = context_.state.servers().FindLaterIncarnation(server).valid();
  if (superseded && now >= context_.leases.FindLeaseEnd(node)) {
    return DeathReason::kSuperseded;
  }
  return std::nullopt;
}

void DeathDeclarer::ProposeDeath(const DueDeath& death) {
  const NodeId node(death.server.node_id());
  const std::string reason(DeathReasonName(death.reason));
  Log(LogLevel::kWarning, "node_declared_dead",
      {{"node_id", node.value()}, {"machine", death.server.machine()}, {"reason", reason}});
  context_.environment.metrics().Increment("coordinator_node_declared_dead_total",
                                           {{"reason", reason}});
  context_.pending_deaths.insert(node);
  proto::ControlCommand command;
  command.mutable_declare_server_dead()->set_node_id(node.value());
  command.mutable_declare_server_dead()->set_reason(reason);
  proposer_.ProposeOnce("dead:" + node.ToString(), command,
                        [this, node](const Result<proto::ControlCommandResult>& result) {
                          HandleDeathResult(node, result);
                        });
}

void DeathDeclarer::HandleDeathResult(NodeId node,
                                      const Result<proto::ControlCommandResult>& result) {
  // A failure means that leadership was lost. `pending_deaths` is cleared when a member becomes
  // leader.
  if (result.ok()) {
    context_.pending_deaths.erase(node);
  }
}

}  // namespace cloverbank
