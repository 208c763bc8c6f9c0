/// @file
/// Asio and Beast, compiled once.

#include <utility>

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
