#pragma once
/// @file
/// Logs at warning when a gateway begins to use another state of a zone, with the configuration
/// version that has it. Threads: the owner's event loop only.

#include <map>
#include <string>

#include "proto/configuration.pb.h"

namespace cloverbank {

class ZoneStateLog {
 public:
  /// Logs each zone that `configuration` has in another state than the configuration before. Zones
  /// that are open in the first one are left out.
  void Record(const proto::RoutingConfiguration& configuration);

 private:
  std::map<std::string, proto::ZoneState> states_;  ///< By zone.
};

}  // namespace cloverbank
