#pragma once

#include <boost/system/error_code.hpp>

namespace tarragonspar::http::detail {

/// @brief Has the kernel drop requests to open a connection, while those that are being opened
/// still reach the listening socket's queue.
///
/// Closing a listening socket resets what is in its queue, and between the last accept and the
/// close another connection may come in; its caller would take it as opened.
/// @param listening_socket  descriptor of a listening TCP socket
/// @return an error where the system has no such filter
[[nodiscard]] boost::system::error_code drop_new_connections(int listening_socket);

} // namespace tarragonspar::http::detail
