#pragma once
/// @file
/// Settings of a `NodeAgent`.

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

struct NodeAgentOptions {
  proto::Role role = proto::ROLE_UNSPECIFIED;
  std::string machine;  ///< Name from the settings.
  std::string zone;
  Endpoint client_endpoint;                     ///< Gateways: where callers reach it.
  bool spare = false;                           ///< Backups on front machines.
  std::string disk_id;                          ///< Backups: id stored on their disk.
  std::vector<Endpoint> coordinators;           ///< Seeds; members learned later come first.
  Duration heartbeat_hold = milliseconds(800);  ///< Limit of a heartbeat's long poll.
  Duration heartbeat_deadline = milliseconds(1500);
  Duration retry_delay = milliseconds(100);  ///< Between attempts, with jitter.
};

}  // namespace cloverbank
