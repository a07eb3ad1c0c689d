// Asio's own code, compiled once.
#include <asio/impl/src.hpp>
#include <asio/ssl/impl/src.hpp>
