// Asio's separately compiled implementation.
#include <asio/impl/src.hpp>
#include <asio/ssl/impl/src.hpp>
