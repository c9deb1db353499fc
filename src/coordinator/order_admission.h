#pragma once
/// @file
/// Admits orders that name no version to build on, by the revision that they name
/// (`OrderRevisions`), and logs what they change. Threads: the owner's event loop only.

#include <string>

#include "base/status.h"
#include "leader/leader_context.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {

/// @param object what the order changes.
/// @param order identifies the order among those of the object.
/// @return whether the order may be proposed now, without anything in between. Otherwise
/// kStaleEpoch, with the object's current revision as its detail.
Status AdmitOrder(LeaderContext& context, const proto::OrderGuard& guard, const std::string& object,
                  const std::string& order);

/// Logs each zone whose state `transaction` sets, at warning, if it was applied.
/// @param guard of the order; empty if the transaction names a version.
void LogZoneChanges(const proto::ConfigurationTransaction& transaction,
                    const proto::TransactionResult& result, const proto::OrderGuard& guard);

}  // namespace cloverbank
