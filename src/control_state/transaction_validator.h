#pragma once
/// @file
/// Validates a transaction against the configuration that it would change. Pure functions. They
/// report all problems at once; each names the object and how to fix the problem.
///
/// The texts of the problems, and those of the refusals in configuration_store.cc, must not change:
/// `OperationRecords` stores them in the replicated state and counts their bytes, so members that
/// run different builds would have different states.

#include <string>
#include <vector>

#include "control_state/configuration_objects.h"
#include "proto/configuration.pb.h"

namespace cloverbank {

/// Longest name of a route, zone, tenant or back end, and longest operation id, in bytes.
inline constexpr std::size_t kMaximumNameBytes = 128;
/// Longest author or comment, in bytes.
inline constexpr std::size_t kMaximumCommentBytes = 4096;
/// Maximum number of changes in one transaction.
inline constexpr int kMaximumChanges = 50'000;
/// Longest deadline of a route: a day.
inline constexpr std::uint32_t kMaximumDeadlineMs = 24U * 60 * 60 * 1000;
/// Maximum number of problems listed in a result; further ones are only counted.
inline constexpr std::size_t kMaximumProblems = 1'000;

/// @return the problems of the operation id. Without a valid one no result can be recorded.
std::vector<std::string> CheckOperationId(const proto::ConfigurationTransaction& transaction);

/// @return the problems of everything but the operation id and the single changes: the lengths of
/// author and comment, the expected version and the number of changes.
std::vector<std::string> CheckEnvelope(const proto::ConfigurationTransaction& transaction);

/// @return the problems of all changes applied together to `current`; empty if they are valid.
std::vector<std::string> CheckChanges(const ConfigurationObjects& current,
                                      const proto::ConfigurationTransaction& transaction);

}  // namespace cloverbank
