#include "stored_data/stored_coordinator.h"

namespace cloverbank::stored_data {
namespace {

constexpr std::uint64_t kNoOpIndex = 9;
constexpr std::uint64_t kMembershipIndex = 10;

std::string MakeRegister(proto::Role role, const std::string& machine, std::uint64_t incarnation) {
  proto::ControlCommand command;
  proto::Server& server = *command.mutable_register_server()->mutable_server();
  server.set_role(role);
  server.set_machine(machine);
  server.set_zone("a");
  server.set_incarnation(incarnation);
  server.mutable_peer_endpoint()->set_host(machine);
  server.mutable_peer_endpoint()->set_port(7401);
  if (role == proto::ROLE_BACKUP) {
    server.set_disk_id("disk of " + machine);
  }
  return command.SerializeAsString();
}

std::string MakeApplyTransaction() {
  proto::ControlCommand command;
  proto::ApplyTransactionCommand& apply = *command.mutable_apply_transaction();
  apply.set_wall_ms(1'700'000'000'000);
  apply.mutable_transaction()->set_operation_id("operation");
  apply.mutable_transaction()->set_expected_version(0);
  proto::Tenant& tenant = *apply.mutable_transaction()->add_changes()->mutable_set_tenant();
  tenant.set_name("studio");
  tenant.set_batch_weight(3);
  proto::Zone& zone = *apply.mutable_transaction()->add_changes()->mutable_set_zone();
  zone.set_name("a");
  zone.set_state(proto::ZONE_STATE_OPEN);
  return command.SerializeAsString();
}

std::string MakeRecordInForce() {
  proto::ControlCommand command;
  command.mutable_record_in_force()->set_version(1);
  command.mutable_record_in_force()->set_wall_ms(1'700'000'000'100);
  return command.SerializeAsString();
}

std::string MakeAssign(std::uint64_t node, std::uint64_t first, std::uint64_t second) {
  proto::ControlCommand command;
  command.mutable_assign_partitions()->set_queue_node_id(node);
  command.mutable_assign_partitions()->add_partition_ids(first);
  command.mutable_assign_partitions()->add_partition_ids(second);
  return command.SerializeAsString();
}

std::string MakeCommitHead(std::uint64_t node, std::uint64_t backup) {
  proto::ControlCommand command;
  proto::LogHead& head = *command.mutable_commit_head()->mutable_head();
  head.set_node_id(node);
  head.set_segment_id(1);
  head.set_epoch(2);
  head.add_backups(backup);
  return command.SerializeAsString();
}

std::string MakeRetireMachine() {
  proto::ControlCommand command;
  command.mutable_retire_machine()->set_machine("store-2");
  return command.SerializeAsString();
}

std::string MakeDeclareDead(std::uint64_t node) {
  proto::ControlCommand command;
  command.mutable_declare_server_dead()->set_node_id(node);
  command.mutable_declare_server_dead()->set_reason("silent");
  return command.SerializeAsString();
}

proto::RaftMember MakeMember(std::uint64_t id, bool learner, std::uint64_t replaces) {
  proto::RaftMember member;
  member.set_member_id(id);
  member.mutable_endpoint()->set_host("member-" + std::to_string(id));
  member.mutable_endpoint()->set_port(7400);
  member.set_learner(learner);
  member.set_replaces(replaces);
  return member;
}

proto::RaftConfiguration InitialGroup() {
  proto::RaftConfiguration group;
  *group.add_members() = MakeMember(kMember, false, 0);
  *group.add_members() = MakeMember(12, false, 0);
  *group.add_members() = MakeMember(kReplacedMember, false, 0);
  return group;
}

proto::RaftEntry MakeEntry(std::uint64_t index) {
  proto::RaftEntry entry;
  entry.set_index(index);
  entry.set_term(index < kNoOpIndex ? kTerm - 1 : kTerm);
  if (index == kNoOpIndex) {
    entry.mutable_no_op();
  } else if (index == kMembershipIndex) {
    *entry.mutable_configuration() = ChangedGroup();
  } else {
    entry.set_command(Commands()[index - 1]);
  }
  return entry;
}

std::vector<proto::RaftEntry> MakeEntries(std::uint64_t first, std::uint64_t last) {
  std::vector<proto::RaftEntry> entries;
  for (std::uint64_t index = first; index <= last; ++index) {
    entries.push_back(MakeEntry(index));
  }
  return entries;
}

RaftWrite MakeMetadataWrite(std::uint64_t term) {
  RaftWrite write;
  write.metadata.emplace().set_member_id(kMember);
  write.metadata->set_cluster_id(kClusterId);
  write.metadata->set_current_term(term);
  write.metadata->set_voted_for(12);
  return write;
}

std::shared_ptr<const proto::RaftSnapshot> MakeSnapshot() {
  ControlState state(kPartitions);
  for (std::uint64_t index = 1; index <= kSnapshotIndex; ++index) {
    state.Apply(index, Commands()[index - 1]);
  }
  auto snapshot = std::make_shared<proto::RaftSnapshot>();
  snapshot->set_last_included_index(kSnapshotIndex);
  snapshot->set_last_included_term(kTerm - 1);
  *snapshot->mutable_configuration() = InitialGroup();
  snapshot->set_state(state.TakeSnapshot());
  return snapshot;
}

}  // namespace

std::vector<std::string> Commands() {
  proto::ControlCommand initialize;
  initialize.mutable_initialize()->set_partition_count(kPartitions);
  // The state machine assigns node ids from 1 in the order of registration.
  return {initialize.SerializeAsString(),
          MakeRegister(proto::ROLE_QUEUE, "store-1", 101),
          MakeRegister(proto::ROLE_BACKUP, "store-1", 101),
          MakeRegister(proto::ROLE_QUEUE, "store-2", 102),
          MakeApplyTransaction(),
          MakeRecordInForce(),
          MakeAssign(1, 0, 1),
          MakeCommitHead(1, 2),
          "",
          "",
          MakeRetireMachine(),
          MakeDeclareDead(1)};
}

proto::RaftConfiguration ChangedGroup() {
  proto::RaftConfiguration group = InitialGroup();
  *group.add_members() = MakeMember(kNewMember, true, kReplacedMember);
  return group;
}

std::vector<RaftWrite> CoordinatorWrites() {
  std::vector<RaftWrite> writes(5);
  writes[0] = MakeMetadataWrite(kTerm - 1);
  writes[1].entries = MakeEntries(1, kSnapshotIndex);
  writes[2].snapshot = MakeSnapshot();
  writes[3] = MakeMetadataWrite(kTerm);
  writes[3].replaces_log = true;
  writes[3].base_index = kSnapshotIndex;
  writes[3].base_term = kTerm - 1;
  writes[3].entries = MakeEntries(kSnapshotIndex + 1, kMembershipIndex);
  writes[4].entries = MakeEntries(kMembershipIndex + 1, kLastIndex);
  for (std::size_t index = 0; index < writes.size(); ++index) {
    writes[index].id = index + 1;
  }
  return writes;
}

}  // namespace cloverbank::stored_data
