#pragma once
/// @file
/// Checks a transaction against the configuration it would change. Pure: every reason of a refusal
/// is found in one go, each naming the object and how to mend it.

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
/// Problems listed; further ones are counted.
inline constexpr std::size_t kMaximumProblems = 1'000;

/// @return what is wrong with the operation id; without a usable one nothing can be recorded.
std::vector<std::string> CheckOperationId(const proto::ConfigurationTransaction& transaction);

/// @return what is wrong with the rest of the envelope (expected version, size, texts).
std::vector<std::string> CheckEnvelope(const proto::ConfigurationTransaction& transaction);

/// @return what is wrong with the changes, taken together, on top of `current`; empty if nothing.
std::vector<std::string> CheckChanges(const ConfigurationObjects& current,
                                      const proto::ConfigurationTransaction& transaction);

}  // namespace cloverbank
