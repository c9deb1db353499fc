#pragma once
/// @file
/// One replica of the emulator: serves a `ModelReplica` or a plain service over HTTP, and can be
/// given faults. Threads: the loop's thread only.

#include <map>
#include <memory>
#include <string>

#include "deployment/deployment.h"
#include "emulation/model_replica.h"
#include "emulator/witness_log.h"
#include "net/beast_http_server.h"
#include "net/event_loop.h"

namespace cloverbank {

class EmulatedReplica {
 public:
  EmulatedReplica(EventLoop& loop, Metrics& metrics, WitnessLog& witness,
                  const DeployedReplica& description, const BackendBehaviour& behaviour);
  ~EmulatedReplica();
  EmulatedReplica(const EmulatedReplica&) = delete;
  EmulatedReplica& operator=(const EmulatedReplica&) = delete;

  /// Starts a new instance, which listens and refuses calls until its model is loaded. Does nothing
  /// if the replica is up.
  Status Start();
  /// Simulates the end of the process: breaks all connections and stops listening.
  void Crash();
  /// While `dark`, the replica accepts connections and requests but never responds; running calls
  /// continue.
  void SetDark(bool dark) { dark_ = dark; }
  /// Multiplies the duration of every step by `factor`; 1 is normal.
  void SetSlowdown(double factor);

  const DeployedReplica& description() const { return description_; }
  const std::string& instance_id() const { return instance_id_; }
  bool up() const { return server_ != nullptr; }

 private:
  struct OpenCall {
    std::shared_ptr<HttpResponder> responder;
    std::string call_id;
    bool head_sent = false;
  };

  void ServeHealth(const std::shared_ptr<HttpResponder>& responder);
  void ServeGenerate(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void ServePlain(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
  void AnswerPlain(const proto::CallRequest& call, const std::shared_ptr<HttpResponder>& responder);
  void Refuse(const std::shared_ptr<HttpResponder>& responder, int http_status,
              const std::string& call_id, const std::string& reason);
  void Emit(const EmittedChunk& emitted);
  void ScheduleAdvance();
  HttpHeaders LoadHeader() const;

  EventLoop& loop_;
  Metrics& metrics_;
  WitnessLog& witness_;
  DeployedReplica description_;
  BackendBehaviour behaviour_;
  std::unique_ptr<BeastHttpServer> server_;
  std::unique_ptr<ModelReplica> model_;
  std::map<std::string, OpenCall> calls_;  ///< Running model calls by their key.
  TimerId advance_timer_ = 0;
  std::string instance_id_;
  std::uint64_t instances_ = 0;
  std::uint64_t next_call_key_ = 0;
  std::uint32_t plain_running_ = 0;
  double slowdown_ = 1;
  bool dark_ = false;
  /// Created for each instance, so that timers of an earlier instance see that it has ended and do
  /// nothing.
  std::shared_ptr<int> instance_;
};

}  // namespace cloverbank
