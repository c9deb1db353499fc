#pragma once
/// @file
/// Strong types for identifiers and counters, so that the compiler rejects one kind in place of
/// another.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace cloverbank {

/// A 64-bit identifier or counter. `Tag` only makes each kind a distinct type.
template <typename Tag>
class StrongId {
 public:
  constexpr StrongId() = default;
  constexpr explicit StrongId(std::uint64_t value) : value_(value) {}
  constexpr std::uint64_t value() const { return value_; }
  /// @return whether this is a real id: zero is never assigned and means "none".
  constexpr bool valid() const { return value_ != 0; }
  constexpr StrongId Next() const { return StrongId(value_ + 1); }
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the 0 that `a < b` becomes.
  constexpr auto operator<=>(const StrongId&) const = default;
  std::string ToString() const { return std::to_string(value_); }

 private:
  std::uint64_t value_ = 0;
};

/// One incarnation of one role on one machine. The coordinators assign it; a restarted queue node
/// gets a new one (RAMCloud page, "Normal Operation Walkthrough" and recovery step 9).
using NodeId = StrongId<struct NodeIdTag>;
/// A segment within the log of one queue node.
using SegmentId = StrongId<struct SegmentIdTag>;
/// Generation number of the set of backups that store a log's head segment.
using HeadEpoch = StrongId<struct HeadEpochTag>;
/// Version of the routing configuration.
using ConfigurationVersion = StrongId<struct ConfigurationVersionTag>;
/// Version of the list of registered servers and partition owners.
using FleetVersion = StrongId<struct FleetVersionTag>;
/// Random number that a process draws when it starts, so that messages of an earlier incarnation
/// can be recognized.
using Incarnation = StrongId<struct IncarnationTag>;
/// A batch partition, numbered from 0 to the partition count - 1, so 0 is a partition and not
/// "none".
using PartitionId = StrongId<struct PartitionIdTag>;
/// Position of an entry in the total order of its partition, starting at 1.
using PartitionSequence = StrongId<struct PartitionSequenceTag>;
/// A lease that permits its holder to start one batch item.
using WorkLeaseId = StrongId<struct WorkLeaseIdTag>;

/// An IP address and port. The address is kept as text, because machines are identified by their IP
/// address.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): as above.
  auto operator<=>(const Endpoint&) const = default;
  bool valid() const { return !host.empty() && port != 0; }
  std::string ToString() const { return host + ":" + std::to_string(port); }
};

}  // namespace cloverbank

template <typename Tag>
struct std::hash<cloverbank::StrongId<Tag>> {
  std::size_t operator()(const cloverbank::StrongId<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>{}(id.value());
  }
};
template <>
struct std::hash<cloverbank::Endpoint> {
  std::size_t operator()(const cloverbank::Endpoint& endpoint) const noexcept {
    return std::hash<std::string>{}(endpoint.host) * 31 + endpoint.port;
  }
};
