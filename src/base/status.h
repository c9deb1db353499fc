#pragma once
/// @file
/// Error handling without exceptions. `Status` is success or a kind of failure with a message;
/// `Result<T>` is a value or the `Status` that explains why there is none.
/// Both are `[[nodiscard]]`: callers must handle an error or pass it on, never drop it.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cloverbank {

/// The kind of a failure. The numbers are part of the peer protocol: append, never renumber.
enum class StatusCode : std::uint8_t {
  kOk = 0,
  kInvalidArgument = 1,  ///< The request itself is wrong; repeating it cannot succeed.
  kNotFound = 2,         ///< The named object does not exist.
  kConflict = 3,         ///< The named version is no longer current, or another owner won.
  kUnavailable = 4,      ///< The operation was not carried out; a later attempt may succeed.
  kUnknownOutcome = 5,   ///< Sent, but no reply came: it may or may not have been carried out.
  kFenced = 6,           ///< The sender's node id was declared dead; the sender must stop using it.
  kStaleEpoch = 7,       ///< The sender used an epoch that a newer one has replaced.
  kNotLeader = 8,        ///< This coordinator is not the leader; `detail` may hold the leader.
  kLeaseExpired = 9,     ///< The lease that permits the operation has expired.
  kResourceExhausted = 10,  ///< A limit (memory, disk, quota, queue) would be exceeded.
  kCorrupt = 11,            ///< Stored or received bytes failed validation, e.g. their checksum.
  kIoError = 12,            ///< A file or socket operation of the operating system failed.
  kCancelled = 13,          ///< The caller withdrew the request.
  kInternal = 14,           ///< An invariant of this program is violated: a bug.
};

/// @return the stable lower-case name of `code`, as used in logs, metrics and JSON errors.
std::string_view StatusCodeName(StatusCode code);

/// Outcome of an operation: OK, or an error code with a human-readable message.
class [[nodiscard]] Status {
 public:
  Status() = default;
  Status(StatusCode code, std::string message, std::string detail = {})
      : code_(code), message_(std::move(message)), detail_(std::move(detail)) {}

  static Status Ok() { return {}; }

  bool ok() const { return code_ == StatusCode::kOk; }
  StatusCode code() const { return code_; }
  /// Human-readable: what went wrong and how to fix it.
  const std::string& message() const { return message_; }
  /// Machine-readable addition whose meaning depends on the code (e.g. the leader's "ip:port").
  const std::string& detail() const { return detail_; }
  /// @return "<code name>: <message>", or only the code name if the message is empty ("ok").
  std::string ToString() const;

 private:
  StatusCode code_ = StatusCode::kOk;
  std::string message_;
  std::string detail_;
};

/// A value of type `T`, or the failure that explains why there is none.
template <typename T>
class [[nodiscard]] Result {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): `return value;` is the normal use.
  Result(T value) : value_(std::move(value)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): `return status;` is the normal use.
  Result(Status status) : status_(std::move(status)) {}

  bool ok() const { return value_.has_value(); }
  const Status& status() const { return status_; }
  /// The accessors below require `ok()`; otherwise their behavior is undefined.
  const T& value() const& { return *value_; }
  T& value() & { return *value_; }
  T&& value() && { return std::move(*value_); }
  const T* operator->() const { return &*value_; }
  T* operator->() { return &*value_; }
  const T& operator*() const { return *value_; }
  T& operator*() { return *value_; }

 private:
  std::optional<T> value_;
  Status status_;
};

}  // namespace cloverbank
