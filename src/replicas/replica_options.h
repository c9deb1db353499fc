#pragma once
/// @file
/// Options for reading the replica list and for health checks, with their defaults.

#include <functional>
#include <memory>
#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace cloverbank {

class HttpClient;
class ReplicaListReader;

/// How the platform's list of replicas is read.
struct ReplicaListOptions {
  Endpoint endpoint;
  std::string path = "/replicas";
  Duration interval = milliseconds(500);  ///< From the start of one read to the next.
  Duration deadline = milliseconds(450);  ///< Of one read.
  /// A list older than this is not acted on, because the process must have been frozen.
  Duration stale_after = seconds(2);
  /// Creates the reader of the list; empty: the reader of `GET path` (`MakeJsonListReader`).
  std::function<std::unique_ptr<ReplicaListReader>(HttpClient&)> make_reader = {};
  /// Whether gateways read the list from other gateways (`SharedListReader`).
  bool shared = false;
};

/// How replicas are probed.
struct ProbeOptions {
  /// Whether replicas are probed. If not, health is determined from the list and from calls only.
  bool enabled = true;
  std::string path = "/health";
  Duration interval = seconds(1);  ///< Between probes of one replica; grows with many replicas.
  Duration slow_start_interval = milliseconds(150);  ///< Interval for a replica in slow start.
  Duration deadline = milliseconds(700);             ///< Of one probe.
  Duration minimum_gap = milliseconds(20);           ///< Between any two probes of this gateway.
};

}  // namespace cloverbank
