/// @file
/// Separate compilation of Asio and Beast: their function bodies are built here
/// only, not in each file that includes their headers.

// Asio's awaitable.hpp uses <utility> without including it, so <utility> must
// come first.
// clang-format off
#include <utility>

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
// clang-format on
