#pragma once
/// @file
/// Validates a transaction against the configuration it would change. Pure. All problems are found
/// at once; each names the object and how to fix it.

#include <string>
#include <vector>

#include "control_state/configuration_objects.h"
#include "proto/configuration.pb.h"

namespace cloverbank {

/// Longest name of a route, zone, tenant or back end, and longest operation id, in bytes.
inline constexpr std::size_t kMaximumNameBytes = 128;
/// Longest author or comment, in bytes.
inline constexpr std::size_t kMaximumCommentBytes = 4096;
/// Changes in one transaction.
inline constexpr int kMaximumChanges = 50'000;
/// Longest deadline of a route: a day.
inline constexpr std::uint32_t kMaximumDeadlineMs = 24U * 60 * 60 * 1000;
/// Problems listed in a result; further ones are only counted.
inline constexpr std::size_t kMaximumProblems = 1'000;

/// @return problems of the operation id. Without a valid one no result can be recorded.
std::vector<std::string> CheckOperationId(const proto::ConfigurationTransaction& transaction);

/// @return problems of the other fields that are not changes: expected version, sizes, texts.
std::vector<std::string> CheckEnvelope(const proto::ConfigurationTransaction& transaction);

/// @return problems of all changes applied together to `current`; empty if valid.
std::vector<std::string> CheckChanges(const ConfigurationObjects& current,
                                      const proto::ConfigurationTransaction& transaction);

}  // namespace cloverbank
