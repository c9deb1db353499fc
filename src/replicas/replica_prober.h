#pragma once
/// @file
/// Sends health checks (probes) to replicas in rounds, evenly spaced over the interval, to new
/// replicas first. The rate of probes of one gateway is bounded; with many replicas the interval
/// grows instead. Threads: the owner's event loop only.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http_types.h"
#include "replicas/replica_options.h"
#include "runtime/environment.h"

namespace cloverbank {

class ReplicaProber {
 public:
  /// Runs on the event loop when a probe has ended. @param healthy whether the replica responded
  /// with a status below 500. @param headers of the response.
  using ResultHandler = std::function<void(const std::string& id, const std::string& instance_id,
                                           bool healthy, const HttpHeaders& headers)>;
  struct Target {
    std::string id;
    Endpoint endpoint;
    std::string instance_id;
  };

  ReplicaProber(Environment& environment, HttpClient& client, ProbeOptions options,
                ResultHandler on_result);
  ~ReplicaProber();
  ReplicaProber(const ReplicaProber&) = delete;
  ReplicaProber& operator=(const ReplicaProber&) = delete;

  /// Starts to probe.
  void Start();
  /// Replaces the set of replicas to probe. Those in `urgent` are probed out of turn, before
  /// all others.
  void SetTargets(const std::vector<Target>& targets, const std::vector<std::string>& urgent);
  /// Probes a replica again out of turn, after `ProbeOptions::slow_start_interval`.
  void RepeatSoon(const std::string& id);

 private:
  /// Sends the next probe if one is due, and schedules the next tick.
  void Tick();
  void AddUrgent(const std::string& id);
  void Probe(const Target& target);
  /// @return the time until the next tick.
  Duration Gap() const;
  /// @return the time between two probes of the regular round over all targets.
  Duration RoundGap() const;

  Environment& environment_;
  HttpClient& client_;
  ProbeOptions options_;
  ResultHandler on_result_;
  std::map<std::string, Target> targets_;
  std::deque<std::string> round_;   ///< Ids of all targets, each once; the next one first.
  std::deque<std::string> urgent_;  ///< Ids of targets to probe out of turn, such as new ones.
  std::map<std::string, std::shared_ptr<HttpCall>> running_;  ///< Probes in progress, by id.
  TimePoint next_in_round_{};
  bool last_was_urgent_ = false;
  TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
