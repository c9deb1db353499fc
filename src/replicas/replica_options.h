#pragma once
/// @file
/// Options of reading the replica list and of health checks, with their defaults.

#include <functional>
#include <memory>
#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace cloverbank {

class HttpClient;
class ReplicaListReader;

/// How the platform's list is read.
struct ReplicaListOptions {
  Endpoint endpoint;
  std::string path = "/replicas";
  Duration interval = milliseconds(500);
  Duration deadline = milliseconds(450);
  /// A list older than this is not acted on: the process was frozen meanwhile.
  Duration stale_after = seconds(2);
  /// Makes the reader of the list; empty: `GET path`.
  std::function<std::unique_ptr<ReplicaListReader>(HttpClient&)> make_reader = {};
  /// Whether gateways read the list from another gateway (`SharedListReader`).
  bool shared = false;
};

/// How replicas are probed.
struct ProbeOptions {
  /// Whether replicas are probed. If not, health is learned from the list and from calls alone.
  bool enabled = true;
  std::string path = "/health";
  Duration interval = seconds(1);  ///< Between probes of one replica; longer if there are many.
  Duration slow_start_interval = milliseconds(150);  ///< The same for a replica in slow start.
  Duration deadline = milliseconds(700);
  Duration minimum_gap =
      milliseconds(20);  ///< Between two probes of this gateway, whatever their number.
};

}  // namespace cloverbank
