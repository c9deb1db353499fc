#pragma once
/// @file
/// Holds, for a short time, calls that were received while this gateway had no configuration or no
/// valid lease. Threads: the owner's event loop only.

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <vector>

#include "gateway/incoming_call.h"
#include "net/http_types.h"
#include "runtime/environment.h"

namespace cloverbank {

class ConfigurationWaitQueue {
 public:
  using Responder = std::shared_ptr<HttpResponder>;
  /// Runs when a call has waited for its longest time; must respond to the client.
  using TimeoutHandler = std::function<void(HttpResponder&)>;

  ConfigurationWaitQueue(Environment& environment, TimeoutHandler on_timeout);
  ~ConfigurationWaitQueue();
  ConfigurationWaitQueue(const ConfigurationWaitQueue&) = delete;
  ConfigurationWaitQueue& operator=(const ConfigurationWaitQueue&) = delete;

  struct Entry {
    std::uint64_t number = 0;
    IncomingCall call;
    Responder responder;
    TimePoint deadline;  ///< When the client's timeout ends.
    TimerId timer = 0;
  };

  /// Queues a call. It leaves the queue if its client disconnects.
  /// @param wait longest time in the queue. @param timeout how long the client waits in all.
  void Add(IncomingCall call, const Responder& responder, Duration wait, Duration timeout);
  /// Empties the queue. @return all its calls in order of arrival.
  std::list<Entry> TakeAll();
  std::size_t size() const { return entries_.size(); }

 private:
  void HandleTimeout(std::uint64_t number);
  /// @return the responder of the removed call, or nullptr if the call is not in the queue.
  Responder Remove(std::uint64_t number);

  Environment& environment_;
  TimeoutHandler on_timeout_;
  std::list<Entry> entries_;
  std::uint64_t next_number_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
