#include "coordinator/order_admission.h"

#include "base/logging.h"

namespace cloverbank {

Status AdmitOrder(LeaderContext& context, const proto::OrderGuard& guard, const std::string& object,
                  const std::string& order) {
  if (context.revisions.Advance(object, guard.revision(), order)) {
    return Status::Ok();
  }
  if (guard.revision() != 0) {
    context.environment.metrics().Increment("coordinator_order_superseded_total");
    Log(LogLevel::kWarning, "order_superseded",
        {{"object", object},
         {"order", order},
         {"taken_by", guard.node()},
         {"age_ms", guard.age_ms()}});
  }
  return {StatusCode::kStaleEpoch,
          "a newer order for " + object + " or a new leader has overtaken it; send it again",
          std::to_string(context.revisions.Get(object))};
}

void LogZoneChanges(const proto::ConfigurationTransaction& transaction,
                    const proto::TransactionResult& result, const proto::OrderGuard& guard) {
  if (result.outcome() != proto::TRANSACTION_OUTCOME_APPLIED) {
    return;
  }
  for (const proto::ConfigurationChange& change : transaction.changes()) {
    if (change.has_set_zone()) {
      Log(LogLevel::kWarning, "zone_changed",
          {{"zone", change.set_zone().name()},
           {"state", proto::ZoneState_Name(change.set_zone().state())},
           {"version", result.version()},
           {"order", transaction.operation_id()},
           {"author", transaction.author()},
           {"taken_by", guard.node()},
           {"age_ms", guard.age_ms()}});
    }
  }
}

}  // namespace cloverbank
