#pragma once
/// @file
/// Named HTTP status codes (RFC 9110 section 15).

namespace cloverbank {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpAccepted = 202;
inline constexpr int kHttpTemporaryRedirect = 307;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpRequestTimeout = 408;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpPreconditionFailed = 412;
inline constexpr int kHttpMisdirected = 421;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpUnavailable = 503;
inline constexpr int kHttpGatewayTimeout = 504;

}  // namespace cloverbank
