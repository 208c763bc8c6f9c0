/// @file
/// Asio and Beast, compiled once.

// Asio's awaitable.hpp lacks <utility>, which therefore goes first.
// clang-format off
#include <utility>

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
// clang-format on
