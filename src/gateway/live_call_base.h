#pragma once
/// @file
/// Base class of the live calls of both HTTP interfaces: runs the call, writes a stream to the
/// client with back-pressure, reports when the client disconnects, and records the outcome in
/// metrics. Threads: the owner's event loop only.

#include <functional>
#include <memory>
#include <string>

#include "calls/call_runner.h"
#include "net/http_types.h"

namespace cloverbank {

class LiveCallBase : public std::enable_shared_from_this<LiveCallBase> {
 public:
  /// Runs once, when `Finish` is called: after the response was sent or the client disconnected.
  using FinishedHandler = std::function<void()>;

  LiveCallBase(const LiveCallBase&) = delete;
  LiveCallBase& operator=(const LiveCallBase&) = delete;

  /// Ends the call if its response has not begun, because the process is about to end: the client
  /// learns whether the call ran, instead of a closed connection.
  void EndUnanswered();

 protected:
  LiveCallBase(const CallContext& context, std::shared_ptr<HttpResponder> responder,
               FinishedHandler on_finished);
  virtual ~LiveCallBase() = default;

  /// Runs when the call has ended; its client may have disconnected before.
  virtual void OnDone(const CallResult& result) = 0;
  /// Runs when the client disconnects while the call is running, at most once.
  virtual void OnClientDisconnected() = 0;

  /// Starts the call.
  void Run(CallSpec spec);
  /// Cancels the call. @return whether it was executed, as far as is known.
  proto::Executed CancelRunner() { return runner_->Cancel(); }
  /// Sends the head of a streamed response, and records the time since the call began.
  void StartStream(int status, HttpHeaders headers);
  /// @param more runs when the client's socket has taken `bytes`, so that the gateway reads from
  /// the replica no faster than the client reads. Does not run if the client has disconnected.
  void WriteChunk(std::string bytes, std::function<void()> more);
  /// Records the outcome and the duration of the call in metrics.
  void RecordOutcome(const std::string& outcome);
  /// Releases the runner and runs the `FinishedHandler`, which may destroy this object.
  void Finish();

  HttpResponder& responder() { return *responder_; }
  const CallContext& context() const { return context_; }
  Environment& environment() { return context_.attempt.environment; }
  const std::string& route() const { return route_; }
  TimePoint started_at() const { return started_at_; }
  bool stream_started() const { return stream_started_; }
  bool client_disconnected() const { return client_disconnected_; }

 private:
  void HandleDisconnect();

  CallContext context_;
  std::shared_ptr<HttpResponder> responder_;
  FinishedHandler on_finished_;
  std::shared_ptr<CallRunner> runner_;
  std::string route_;
  TimePoint started_at_;
  bool stream_started_ = false;
  bool client_disconnected_ = false;
};

}  // namespace cloverbank
