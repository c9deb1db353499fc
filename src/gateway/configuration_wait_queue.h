#pragma once
/// @file
/// Calls that were received before this gateway had a configuration or a lease wait here for a
/// short time. Threads: the owner's event loop only.

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
  /// The wait of a call ended without a configuration: the client must get a response now.
  using TimeoutHandler = std::function<void(HttpResponder&)>;

  ConfigurationWaitQueue(Environment& environment, TimeoutHandler on_timeout);
  ~ConfigurationWaitQueue();
  ConfigurationWaitQueue(const ConfigurationWaitQueue&) = delete;
  ConfigurationWaitQueue& operator=(const ConfigurationWaitQueue&) = delete;

  struct Entry {
    std::uint64_t number = 0;
    IncomingCall call;
    Responder responder;
    TimePoint deadline;  ///< Of the client.
    TimerId timer = 0;
  };

  /// @param wait longest time in the queue. @param timeout how long the client waits in all.
  void Add(IncomingCall call, const Responder& responder, Duration wait, Duration timeout);
  /// @return all calls in order of arrival; they wait no longer.
  std::list<Entry> TakeAll();
  std::size_t size() const { return entries_.size(); }

 private:
  void HandleTimeout(std::uint64_t number);
  /// @return the responder of a call that still waited, or nullptr.
  Responder Remove(std::uint64_t number);

  Environment& environment_;
  TimeoutHandler on_timeout_;
  std::list<Entry> entries_;
  std::uint64_t next_number_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cloverbank
