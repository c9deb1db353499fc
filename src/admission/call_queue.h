#pragma once
/// @file
/// The waiting room of live calls: puts `AdmissionControl`'s queue to work with timers, and offers
/// room to those who wait whenever some may have appeared.
/// Threads: the owner's event loop only.

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
  kServed,      ///< It left the queue: sent, or ended.
  kNoCapacity,  ///< It goes on waiting.
};

/// A call that can wait in the queue.
class WaitingCallOwner {
 public:
  virtual ~WaitingCallOwner() = default;
  /// Room may have appeared: send now if there is.
  virtual ServeResult ServeFromQueue() = 0;
  /// It has left the queue and must be answered now.
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
  /// Queues a call, whose `id` is chosen here. @return its id, or the refusal.
  EnqueueResult Wait(WaitingCall call, std::weak_ptr<WaitingCallOwner> owner);
  /// The owner left by itself.
  void Remove(WaitId id);
  std::size_t Waiting(const std::string& backend) const { return admission_.Waiting(backend); }

  /// Offers room to the waiting calls soon (once, however often it is asked).
  void ScheduleDispatch();
  Duration RetryAfter(const std::string& backend) const;

 private:
  struct Waiter {
    std::weak_ptr<WaitingCallOwner> owner;
    std::string backend;
  };

  void Dispatch();
  void DispatchBackend(const std::string& backend);
  /// Offers room to the first few. @return whether any of them left the queue.
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
