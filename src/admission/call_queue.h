#pragma once
/// @file
/// The wait queue of live calls. Expires waits in the queue of `AdmissionControl` by a timer, and
/// dispatches waiting calls whenever a replica may have capacity. Threads: the owner's event loop
/// only.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/admission_control.h"
#include "runtime/environment.h"

namespace cloverbank {

/// Result of an attempt to send a waiting call.
enum class ServeResult : std::uint8_t {
  kServed,      ///< The call was sent or has ended; it leaves the queue.
  kNoCapacity,  ///< No replica has capacity; the call remains in the queue.
};

/// Owner of a call that waits in the queue. `CallQueue` calls it on its event loop.
class WaitingCallOwner {
 public:
  virtual ~WaitingCallOwner() = default;
  /// Sends the call if a replica has capacity for it.
  virtual ServeResult ServeFromQueue() = 0;
  /// Called after the queue has removed the call without sending it. The owner must send a response
  /// to the client.
  virtual void OnQueueRefusal(const RefusalNotice& notice) = 0;
};

class CallQueue {
 public:
  CallQueue(Environment& environment, AdmissionOptions options);
  ~CallQueue();
  CallQueue(const CallQueue&) = delete;
  CallQueue& operator=(const CallQueue&) = delete;

  AdmissionControl& admission() { return admission_; }

  struct EnqueueResult {
    WaitId id = 0;
    std::optional<RefusalNotice> refusal;
  };
  /// Queues a call under a new id; `call.id` is ignored. Calls `OnQueueRefusal` of the calls that
  /// it displaces before it returns, but not that of `owner`.
  /// @return the id, or the refusal if the call is not queued.
  EnqueueResult Enqueue(WaitingCall call, std::weak_ptr<WaitingCallOwner> owner);
  /// Removes a call whose owner has ended the wait; ignores ids that do not wait.
  void Remove(WaitId id);
  /// @return the number of calls that wait for `backend`.
  std::size_t Waiting(const std::string& backend) const { return admission_.Waiting(backend); }

  /// Dispatches waiting calls in the next turn of the event loop. Calls before that turn have no
  /// further effect.
  void ScheduleDispatch();
  /// @return as `AdmissionControl::RetryAfter`.
  Duration RetryAfter(const std::string& backend) const;

 private:
  struct Waiter {
    std::weak_ptr<WaitingCallOwner> owner;
    std::string backend;
  };

  /// Refuses calls whose wait has expired, then sends calls of each backend while capacity lasts.
  void Dispatch();
  void DispatchBackend(const std::string& backend);
  /// Tries to send the first few calls of the queue. @return whether any of them left it.
  bool ServeFirst(const std::string& backend);
  /// Removes the call and notifies its owner.
  void Refuse(WaitId id, Refusal refusal);
  /// Schedules the next periodic `Dispatch`, unless one is scheduled or no call waits.
  void ScheduleTick();

  Environment& environment_;
  AdmissionControl admission_;
  std::unordered_map<WaitId, Waiter> waiters_;
  WaitId next_id_ = 1;
  TimerId dispatch_timer_ = 0;
  TimerId tick_timer_ = 0;
};

}  // namespace cloverbank
