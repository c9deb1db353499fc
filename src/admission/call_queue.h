#pragma once
/// @file
/// The wait queue of live calls: drives the queue of `AdmissionControl` by timers, and dispatches
/// waiting calls whenever a replica may have capacity. Threads: the owner's event loop only.

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

enum class ServeResult : std::uint8_t {
  kServed,      ///< Left the queue: sent, or ended.
  kNoCapacity,  ///< Remains in the queue.
};

/// A call that can wait in the queue.
class WaitingCallOwner {
 public:
  virtual ~WaitingCallOwner() = default;
  /// A replica may have capacity: send now if it has.
  virtual ServeResult ServeFromQueue() = 0;
  /// The call was removed from the queue; its client must get a response.
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
  /// Queues a call and assigns its `id`. @return the id, or the refusal.
  EnqueueResult Enqueue(WaitingCall call, std::weak_ptr<WaitingCallOwner> owner);
  /// The owner ended the wait.
  void Remove(WaitId id);
  std::size_t Waiting(const std::string& backend) const { return admission_.Waiting(backend); }

  /// Dispatches waiting calls in the next turn of the event loop, once for any number of requests.
  void ScheduleDispatch();
  Duration RetryAfter(const std::string& backend) const;

 private:
  struct Waiter {
    std::weak_ptr<WaitingCallOwner> owner;
    std::string backend;
  };

  void Dispatch();
  void DispatchBackend(const std::string& backend);
  /// Serves the first few calls. @return whether any of them left the queue.
  bool ServeFirst(const std::string& backend);
  void Refuse(WaitId id, Refusal refusal);
  void ScheduleTick();

  Environment& environment_;
  AdmissionControl admission_;
  std::unordered_map<WaitId, Waiter> waiters_;
  WaitId next_id_ = 1;
  TimerId dispatch_timer_ = 0;
  TimerId tick_timer_ = 0;
};

}  // namespace cloverbank
