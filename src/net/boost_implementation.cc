// Compiles the implementations of Asio and Beast once for all of net/
// (BOOST_ASIO_SEPARATE_COMPILATION and BOOST_BEAST_SEPARATE_COMPILATION are set for the target).
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
