#include "gateway/zone_state_log.h"

#include <utility>

#include "base/logging.h"

namespace cloverbank {

void ZoneStateLog::Record(const proto::RoutingConfiguration& configuration) {
  for (const proto::Zone& zone : configuration.zones()) {
    const auto [entry, inserted] = states_.try_emplace(zone.name(), proto::ZONE_STATE_OPEN);
    const proto::ZoneState before = std::exchange(entry->second, zone.state());
    if (before != zone.state()) {
      Log(LogLevel::kWarning, "zone_state_used",
          {{"zone", zone.name()},
           {"state", proto::ZoneState_Name(zone.state())},
           {"version", configuration.version()}});
    }
  }
}

}  // namespace cloverbank
