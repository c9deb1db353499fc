#pragma once
/// @file
/// A deterministic world for the services: machines with a disk and one process each, a network
/// that delays, loses, duplicates and cuts, and one seeded queue of events. The same seed always
/// gives the same run, so a failing seed can be replayed. Nothing here reads the real clock.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "runtime/environment.h"
#include "storage/data_folder.h"

namespace cloverbank {

/// How the network treats messages. Every request and every reply is drawn independently.
struct NetworkBehaviour {
  Duration minimum_delay = milliseconds(1);
  Duration maximum_delay = milliseconds(5);
  double request_loss = 0;         ///< Probability that a request never arrives.
  double reply_loss = 0;           ///< Probability that an answer never arrives.
  double request_duplication = 0;  ///< Probability that a request is carried out twice.
  /// What a machine's link sends in a second; messages wait for those before them. 0: no bound.
  std::uint64_t link_bytes_per_second = 0;
};

/// How disks behave when they are not being lost.
struct DiskBehaviour {
  Duration minimum_sync = milliseconds(1);
  Duration maximum_sync = milliseconds(8);
  /// Whether a power loss may keep a random prefix of the unsynced bytes (a torn tail).
  bool torn_tails = true;
};

class SimulatedWorld;

/// A machine: an address, a disk, and at most one running process.
class SimulatedMachine {
 public:
  /// Builds everything the process runs; the returned object is destroyed when the process ends.
  using Program = std::function<std::shared_ptr<void>(Environment&, DataFolder&)>;

  virtual ~SimulatedMachine() = default;
  virtual const std::string& name() const = 0;
  virtual const Endpoint& endpoint() const = 0;
  virtual bool running() const = 0;

  virtual void SetProgram(Program program) = 0;
  /// Starts a new process run. Requires that none is running.
  virtual void Start() = 0;
  /// kill -9: the process ends at once; bytes passed to the system stay.
  virtual void Kill() = 0;
  /// Power loss: like Kill, and unsynced bytes are dropped (or torn).
  virtual void LosePower() = 0;
  /// Kill, and the disk comes back empty.
  virtual void LoseDisk() = 0;
  /// SIGSTOP: timers and messages wait; those due meanwhile run at once after `Wake`, in order, as
  /// real sockets and timers would deliver them. Callers' deadlines run on.
  virtual void Freeze() = 0;
  virtual void Wake() = 0;
  /// The disk, for checks and for planting damage.
  virtual DataFolder& disk() = 0;
  /// Flips one bit of a stored file. @return kNotFound if there is no such file or byte.
  virtual Status FlipBit(const std::string& file, std::uint64_t byte) = 0;
  /// From now on writes that would make the disk hold more than `bytes` fail with
  /// kResourceExhausted.
  virtual void SetDiskLimit(std::uint64_t bytes) = 0;
  /// While `fail` is set every sync fails with kIoError. A file whose sync failed takes no more
  /// writes in this process run, and the bytes concerned are lost in the next.
  virtual void FailSyncs(bool fail) = 0;
};

class SimulatedWorld {
 public:
  explicit SimulatedWorld(std::uint64_t seed);
  ~SimulatedWorld();
  SimulatedWorld(const SimulatedWorld&) = delete;
  SimulatedWorld& operator=(const SimulatedWorld&) = delete;

  TimePoint Now() const;
  /// The world's own random numbers, for schedules of faults (same seed, same numbers).
  std::uint64_t Random();
  /// @return a number in [0, bound).
  std::uint64_t RandomBelow(std::uint64_t bound);

  NetworkBehaviour& network();
  DiskBehaviour& disks();

  /// Adds a machine with peer port 7401. It stays until the world ends.
  SimulatedMachine& AddMachine(const std::string& name, const std::string& host);
  SimulatedMachine& machine(std::string_view name);

  /// Cuts messages from `from` to `to` (one way). Requests or answers that cross it are lost.
  void Cut(std::string_view from, std::string_view to);
  /// Cuts both ways between `name` and every other machine.
  void Isolate(std::string_view name);
  /// Mends every cut.
  void HealAll();
  /// Mends every cut from or to `name`.
  void Heal(std::string_view name);

  /// Runs `action` at a time from now, outside any process (for fault schedules and clients).
  void ScheduleAfter(Duration delay, std::function<void()> action);
  /// Makes a peer call from outside any machine (never cut), e.g. as a test's client.
  void CallPeer(const Endpoint& to, std::string_view method, std::string body, Duration deadline,
                PeerReplyCallback done);

  void RunFor(Duration time);
  /// Runs until `condition` holds or `limit` has passed. @return whether it held.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace cloverbank
