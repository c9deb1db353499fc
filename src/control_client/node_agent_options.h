#pragma once
/// @file
/// Settings of a `NodeAgent`.

#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "control_client/coordinator_directory.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

struct NodeAgentOptions {
  proto::Role role = proto::ROLE_UNSPECIFIED;
  std::string machine;  ///< Name of the machine in the settings.
  std::string zone;
  Endpoint client_endpoint;            ///< Gateways only: where clients connect.
  bool spare = false;                  ///< Backups only: runs on a front machine.
  std::string disk_id;                 ///< Backups only: id stored on the disk.
  std::vector<Endpoint> coordinators;  ///< Seeds, tried after the members received later.
  /// Shared by the agents of one process, so that each finds the coordinators that one of them has
  /// found; null: the agent makes one of its own from `coordinators`.
  std::shared_ptr<CoordinatorDirectory> directory;
  Duration heartbeat_hold = milliseconds(800);       ///< How long the leader may hold a heartbeat.
  Duration heartbeat_deadline = milliseconds(1500);  ///< Of one attempt at one coordinator.
  Duration retry_delay = milliseconds(100);  ///< First back-off between attempts, less jitter.
};

}  // namespace cloverbank
