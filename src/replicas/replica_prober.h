#pragma once
/// @file
/// Sends health checks to replicas in turn, spread evenly over the interval, new replicas first.
/// The rate of one gateway is bounded; with many replicas the interval grows instead. Threads: the
/// owner's event loop only.

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
  /// @param answered whether the replica responded as healthy.
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

  void Start();
  /// Replaces the set of replicas to probe. Those in `first` are probed before all others.
  void SetTargets(const std::vector<Target>& targets, const std::vector<std::string>& urgent);
  /// Probes a replica again before its turn, after `ProbeOptions::eager_interval`.
  void RepeatSoon(const std::string& id);

 private:
  void Tick();
  void AddUrgent(const std::string& id);
  void Probe(const Target& target);
  Duration Gap() const;
  /// @return the time between two probes of the ordinary round over all targets.
  Duration RoundGap() const;

  Environment& environment_;
  HttpClient& client_;
  ProbeOptions options_;
  ResultHandler on_result_;
  std::map<std::string, Target> targets_;
  std::deque<std::string> round_;   ///< Next targets; each once.
  std::deque<std::string> urgent_;  ///< New targets, probed first.
  std::map<std::string, std::shared_ptr<HttpCall>> running_;
  TimePoint next_in_round_{};
  bool last_was_urgent_ = false;
  TimerId timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
