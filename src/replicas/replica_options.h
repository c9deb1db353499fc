#pragma once
/// @file
/// Bounds of what is read and learned of replicas, with their defaults.

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
  /// A list last asked for longer ago is not acted on: the process was frozen meanwhile.
  Duration stale_after = seconds(2);
  /// Makes what reads the list; empty reads it as `GET path`.
  std::function<std::unique_ptr<ReplicaListReader>(HttpClient&)> make_reader = {};
  /// Whether the gateways of a zone read the list from one of them.
  bool shared = false;
};

/// How replicas are probed.
struct ProbeOptions {
  /// Whether replicas are probed at all. If not, the list and the calls themselves tell who is
  /// well.
  bool enabled = true;
  std::string path = "/health";
  Duration interval = seconds(1);               ///< Of one replica, while few are known.
  Duration eager_interval = milliseconds(150);  ///< Of one that is in slow start.
  Duration deadline = milliseconds(700);
  Duration least_gap =
      milliseconds(20);  ///< Between two probes of this gateway, whatever their number.
};

}  // namespace cloverbank
