#pragma once
/// @file
/// The emulator: all replicas of a deployment, the platform's list of replicas, and the admin
/// interface for injecting faults into replicas. Threads: the loop's thread only.

#include <map>
#include <memory>
#include <string>

#include "deployment/deployment.h"
#include "emulation/platform_list.h"
#include "emulator/emulated_replica.h"
#include "emulator/witness_log.h"

namespace cloverbank {

class Emulator {
 public:
  Emulator(EventLoop& loop, Deployment deployment);

  /// Starts every replica and the two HTTP interfaces. @param witness_path file of the witness log;
  /// empty for none. @return the first error.
  Status Start(const std::string& witness_path);

 private:
  void ServeList(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void ServeFault(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void ServeCounts(const std::shared_ptr<HttpResponder>& responder);
  /// @return kNotFound for an unknown replica, kInvalidArgument for an unknown fault, or the error
  /// of a replica that cannot start.
  Status ApplyFault(const std::string& replica_id, const std::string& fault);
  void Publish(const EmulatedReplica& replica, proto::ReplicaState state);

  EventLoop& loop_;
  Deployment deployment_;
  Metrics metrics_;
  WitnessLog witness_;
  PlatformList list_;
  std::map<std::string, std::unique_ptr<EmulatedReplica>> replicas_;
  std::unique_ptr<BeastHttpServer> list_server_;
  std::unique_ptr<BeastHttpServer> admin_server_;
};

}  // namespace cloverbank
